import type { SimulationScenario, JobClass, Fault } from './schema.js';

/** Rounds to a whole number of at least one. */
const atLeastOne = (amount: number): number => Math.max(1, Math.round(amount));

/** CPUs and accelerators that the largest job of a class may use. A team's limit must admit it, or the job is refused. */
function largestUse(c: JobClass): { readonly cpus: number; readonly gpus: number } {
  const most = 'sizes' in c.tasks ? Math.max(...c.tasks.sizes) : 1;
  const tasks = c.shape === 'array' ? 1 : most;
  return { cpus: tasks * c.cpus, gpus: tasks * c.gpus };
}

/** Distributes a total over a number of places as evenly as whole numbers allow. */
const distributeEvenly = (total: number, places: number): number[] =>
  Array.from({ length: places }, (_, i) => Math.floor((total + i) / places));

type FleetEntry = SimulationScenario['machines'][number] | SimulationScenario['capacity'][number];

const sum = (entries: readonly FleetEntry[], count: (entry: FleetEntry) => number): number =>
  entries.reduce((total, entry) => total + count(entry), 0);

/** Scales the fleet: each machine type's total times `share`, distributed evenly over the zones that are kept. */
function scaleFleet(
  day: SimulationScenario,
  share: number,
  zones: readonly string[],
): Pick<SimulationScenario, 'machines' | 'capacity'> {
  const machines: SimulationScenario['machines'] = [];
  const capacity: SimulationScenario['capacity'] = [];
  for (const { name: type } of day.machine_types) {
    const typeCapacity = day.capacity.filter((entry) => entry.type === type);
    const spot = distributeEvenly(
      Math.round(share * sum(typeCapacity, (e) => ('spot' in e ? Number(e.spot) : 0))),
      zones.length,
    );
    const ordinary = distributeEvenly(
      Math.round(share * sum(typeCapacity, (e) => ('ordinary' in e ? e.ordinary : 0))),
      zones.length,
    );
    for (const spotMachines of [false, true]) {
      const machinesOfType = day.machines.filter((entry) => entry.type === type && entry.spot === spotMachines);
      const counts = distributeEvenly(
        Math.round(share * sum(machinesOfType, (e) => ('count' in e ? e.count : 0))),
        zones.length,
      );
      const limits = spotMachines ? spot : ordinary;
      zones.forEach((zone, i) => {
        const count = Math.min(counts[i] ?? 0, limits[i] ?? 0);
        if (count > 0) machines.push({ type, zone, spot: spotMachines, count });
      });
    }
    zones.forEach((zone, i) => capacity.push({ type, zone, ordinary: ordinary[i] ?? 0, spot: spot[i] ?? 0 }));
  }
  return { machines, capacity };
}

/** Scales the count of a fault, and maps its zone to one that is kept. */
function scaleFault(fault: Fault, share: number, day: SimulationScenario, zones: readonly string[]): Fault {
  const zone = 'zone' in fault ? fault.zone : undefined;
  const kept = zone === undefined ? undefined : zones[day.zones.indexOf(zone) % zones.length];
  const count = 'count' in fault && fault.count !== undefined ? atLeastOne(fault.count * share) : undefined;
  return {
    ...fault,
    ...(kept === undefined ? {} : { zone: kept }),
    ...(count === undefined ? {} : { count }),
  } as Fault;
}

/**
 * Scales a scenario to `share` of its size, greater than 0; 1 leaves it unchanged. Machines, capacity, arrivals, limits
 * and guarantees of teams, and counts of faults are multiplied by `share`. The number of zones shrinks such that the
 * number of machines per zone stays about the same. Jobs, the number of teams and controllers, and the rates of the state
 * service and the cloud do not change. A team's limit is never less than its largest job needs.
 */
export function scaleScenario(day: SimulationScenario, share: number): SimulationScenario {
  if (share === 1) return day;
  const zones = day.zones.slice(0, Math.min(day.zones.length, Math.max(1, Math.ceil(day.zones.length * share))));
  const largestUses = day.classes.map(largestUse);
  const scaled = (limit: number, needed: number): number => (limit === 0 ? 0 : Math.max(limit * share, needed));
  const cpusNeeded = Math.max(...largestUses.map(({ cpus }) => cpus));
  const gpusNeeded = Math.max(...largestUses.map(({ gpus }) => gpus));
  return {
    ...day,
    ...scaleFleet(day, share, zones),
    zones,
    teams: day.teams.map((team) => ({
      ...team,
      cpus: team.cpus * share,
      gpus: team.gpus * share,
      cpus_max: scaled(team.cpus_max, cpusNeeded),
      gpus_max: scaled(team.gpus_max, gpusNeeded),
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
    troubles: day.troubles.map((fault) => scaleFault(fault, share, day, zones)),
  };
}
