import type { Day, DayClass, Trouble } from './schema.js';

const atLeastOne = (amount: number): number => Math.max(1, Math.round(amount));

/** What the largest job of a class may use, in cpus and accelerators: a team's limit must admit it, or it is refused. */
function largestUse(c: DayClass): { readonly cpus: number; readonly gpus: number } {
  const most = 'sizes' in c.tasks ? Math.max(...c.tasks.sizes) : 1;
  const tasks = c.shape === 'array' ? 1 : most;
  return { cpus: tasks * c.cpus, gpus: tasks * c.gpus };
}

/** Distributes a total over as many places as evenly as whole numbers allow. */
const evenly = (total: number, places: number): number[] =>
  Array.from({ length: places }, (_, i) => Math.floor((total + i) / places));

type Entry = Day['machines'][number] | Day['capacity'][number];

const sum = (entries: readonly Entry[], count: (entry: Entry) => number): number =>
  entries.reduce((total, entry) => total + count(entry), 0);

/** The fleet of a part of the zones: each type's total times `share`, evenly over the zones that are kept. */
function scaledFleet(day: Day, share: number, zones: readonly string[]): Pick<Day, 'machines' | 'capacity'> {
  const machines: Day['machines'] = [];
  const capacity: Day['capacity'] = [];
  for (const { name: type } of day.machine_types) {
    const room = day.capacity.filter((entry) => entry.type === type);
    const spot = evenly(Math.round(share * sum(room, (e) => ('spot' in e ? Number(e.spot) : 0))), zones.length);
    const ordinary = evenly(Math.round(share * sum(room, (e) => ('ordinary' in e ? e.ordinary : 0))), zones.length);
    for (const spotMachines of [false, true]) {
      const there = day.machines.filter((entry) => entry.type === type && entry.spot === spotMachines);
      const counts = evenly(Math.round(share * sum(there, (e) => ('count' in e ? e.count : 0))), zones.length);
      const most = spotMachines ? spot : ordinary;
      zones.forEach((zone, i) => {
        const count = Math.min(counts[i] ?? 0, most[i] ?? 0);
        if (count > 0) machines.push({ type, zone, spot: spotMachines, count });
      });
    }
    zones.forEach((zone, i) => capacity.push({ type, zone, ordinary: ordinary[i] ?? 0, spot: spot[i] ?? 0 }));
  }
  return { machines, capacity };
}

function scaledTrouble(trouble: Trouble, share: number, day: Day, zones: readonly string[]): Trouble {
  const zone = 'zone' in trouble ? trouble.zone : undefined;
  const kept = zone === undefined ? undefined : zones[day.zones.indexOf(zone) % zones.length];
  const count = 'count' in trouble && trouble.count !== undefined ? atLeastOne(trouble.count * share) : undefined;
  return {
    ...trouble,
    ...(kept === undefined ? {} : { zone: kept }),
    ...(count === undefined ? {} : { count }),
  } as Trouble;
}

/**
 * The same day at `share` of its size (0 excluded, 1: as it is): machines, capacity, arrivals, limits and guarantees of
 * teams, and counted troubles times `share`, over as many zones as keep the machines of a zone about as many. What a job
 * is, the number of teams and controllers, and the state service's and the cloud's rates stay. A team's limit is never less
 * than its largest job needs.
 */
export function scaledDay(day: Day, share: number): Day {
  if (share === 1) return day;
  const zones = day.zones.slice(0, Math.min(day.zones.length, Math.max(1, Math.ceil(day.zones.length * share))));
  const uses = day.classes.map(largestUse);
  const limit = (most: number, needed: number): number => (most === 0 ? 0 : Math.max(most * share, needed));
  const cpusNeeded = Math.max(...uses.map(({ cpus }) => cpus));
  const gpusNeeded = Math.max(...uses.map(({ gpus }) => gpus));
  return {
    ...day,
    ...scaledFleet(day, share, zones),
    zones,
    teams: day.teams.map((team) => ({
      ...team,
      cpus: team.cpus * share,
      gpus: team.gpus * share,
      cpus_max: limit(team.cpus_max, cpusNeeded),
      gpus_max: limit(team.gpus_max, gpusNeeded),
    })),
    classes: day.classes.map((c) => ({
      ...c,
      ...(c.zone === undefined ? {} : { zone: zones[day.zones.indexOf(c.zone) % zones.length] ?? c.zone }),
      initial: c.initial === 0 ? 0 : atLeastOne(c.initial * share),
      per_minute: c.per_minute * share,
    })),
    pipelines: day.pipelines.map((p) => ({
      ...p,
      initial: p.initial === 0 ? 0 : atLeastOne(p.initial * share),
      per_minute: p.per_minute * share,
    })),
    troubles: day.troubles.map((trouble) => scaledTrouble(trouble, share, day, zones)),
  };
}
