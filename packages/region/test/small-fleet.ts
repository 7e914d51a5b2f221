import { RandomStream, SimulatedJob } from '../src/index.js';
import type { Fault, Region, Script, ScriptedJob, SimulationScenario, Submission } from '../src/index.js';
import { shortDay } from './test-days.js';

const ZONES = ['north', 'south', 'east'];
const MACHINE_CPUS = 8;
/** Services that were started before go on running on a bad machine. */
const BAD_FROM_S = 28;

/** A job's shape, size and run time, and when its user submits and cancels it. Times in seconds. */
export interface SmallJob {
  readonly ref: string;
  readonly atS: number;
  readonly cancelAtS?: number;
  /** Its tasks fail on every machine. */
  readonly mistaken?: boolean;
  readonly runS?: number;
  readonly shape?: Submission['shape'];
  readonly urgency?: Submission['urgency'];
  readonly tasks?: number;
  readonly cpus?: number;
  readonly zone?: string;
}

/** A fleet that the cloud adds nothing to, and what happens there. */
export interface SmallFleet {
  readonly seed: number;
  readonly durationS: number;
  /** Zone of each machine, as an index. */
  readonly machines: readonly number[];
  /** Machines that fail every task that they start from `BAD_FROM_S` on, by their number. */
  readonly badMachines?: readonly number[];
  readonly jobs: readonly SmallJob[];
  readonly faults?: readonly Fault[];
}

/** Name of the nth zone. */
export const zoneName = (n: number): string => ZONES[n] ?? '';

function scriptedJob({ ref, atS, cancelAtS, mistaken = false, runS = 8, ...job }: SmallJob): ScriptedJob {
  const spec: Submission = {
    ...{ ref, jobclass: 'letters', owner: 'mail', shape: job.shape ?? 'sweep', urgency: job.urgency ?? 'standard' },
    ...{ pieces: job.tasks ?? 1, vcpus: job.cpus ?? 1, accelerators: 0, ram_gb: 1, hulls: null },
    ...{ berth: job.zone ?? null, same_place: false, scatter: false, flotsam: false, bundle: 'image', pull_gb: 0.1 },
    ...{ expected_s: job.shape === 'daemon' ? 0 : runS, mark_every_s: 0, mark_cost_s: 0, due_s: null },
  };
  return { atS, cancelAtS: cancelAtS ?? null, job: new SimulatedJob(spec, () => runS, mistaken) };
}

/** The day and the script of a small fleet. */
export function smallFleetDay(fleet: SmallFleet): { readonly day: SimulationScenario; readonly script: Script } {
  const base = shortDay(fleet.durationS, fleet.faults ?? [], fleet.seed);
  const counts = ZONES.map((_, zone) => fleet.machines.filter((at) => at === zone).length);
  const type = {
    ...{ name: 'desk', cpus: MACHINE_CPUS, gpus: 0, memory_gb: 32, price: 0.4, spot_price: 0.12, cache_gb: 40 },
    ...{ fetch_gb_per_s: 0.5, boot_s: 20, boot_fail: 0 },
  };
  const kinds = counts.flatMap((count, zone) => (count === 0 ? [] : [{ type: 'desk', zone: zoneName(zone), count }]));
  const day: SimulationScenario = {
    ...{ ...base, name: 'small', zones: ZONES, machine_types: [type] },
    machines: kinds.map((kind) => ({ ...kind, spot: false })),
    capacity: kinds.map(({ count, ...kind }) => ({ ...kind, ordinary: count, spot: 0 })),
    classes: base.classes.filter(({ name }) => name === 'letters'),
  };
  const bad = new Set((fleet.badMachines ?? []).map((n) => machineKey(fleet.machines, n)));
  const script: Script = {
    jobs: fleet.jobs.map(scriptedJob),
    machine: (kind, nth) => ({
      ...{ bootS: 0.5, diesAtS: null, takenBack: null, slowness: 1 },
      failsFromS: bad.has(`${kind} ${nth}`) ? BAD_FROM_S : null,
    }),
    crashes: [],
  };
  return { day, script };
}

/** How the script names the nth machine of the fleet. */
function machineKey(machines: readonly number[], n: number): string {
  const zone = machines[n] ?? 0;
  const earlier = machines.slice(0, n).filter((other) => other === zone).length;
  return `desk ${zoneName(zone)} ordinary ${earlier}`;
}

/** A service on each machine that takes most of it, so that it is not idle and is not given back. */
export const servicesOnEachMachine = (machines: readonly number[], cpus = 4.5): SmallJob[] =>
  machines.map((zone, n) => ({
    ...{ ref: `j-service-${n}`, atS: 20, shape: 'daemon', urgency: 'production', zone: zoneName(zone), cpus },
  }));

/** Up to five jobs with a mistake, each cancelled within 40 s, among jobs without one, on one to six machines. */
export function drawMistakes(seed: number): SmallFleet {
  const random = new RandomStream(seed, 'small fleets');
  const zones = 1 + random.integerBelow(3);
  const machines = Array.from({ length: 1 + random.integerBelow(6) }, () => random.integerBelow(zones));
  const services = random.chance(0.5) ? servicesOnEachMachine(machines) : [];
  const mistakes = Array.from({ length: 1 + random.integerBelow(5) }, (_, n): SmallJob => {
    const atS = random.uniform(30, 70);
    const shape = random.chance(0.2) ? 'ensemble' : 'sweep';
    const tasks = shape === 'ensemble' ? 1 + random.integerBelow(3) : 1 + random.integerBelow(40);
    return { ref: `j-mistake-${n}`, atS, cancelAtS: atS + random.uniform(0.5, 40), mistaken: true, shape, tasks };
  });
  const sound = Array.from({ length: 4 + random.integerBelow(8) }, (_, n): SmallJob => {
    const shape = random.pickOne(['sweep', 'sweep', 'ensemble', 'daemon'] as const) ?? 'sweep';
    const urgency = random.pickOne(['low', 'standard', 'urgent', 'production'] as const) ?? 'standard';
    const common = { ref: `j-sound-${n}`, atS: random.uniform(35, 120), shape, urgency };
    if (shape === 'daemon') return { ...common, cancelAtS: common.atS + 150, tasks: 1 };
    return { ...common, tasks: 1 + random.integerBelow(3), runS: random.uniform(4, 15) };
  });
  return { seed, durationS: 360, machines, jobs: [...services, ...mistakes, ...sound] };
}

/** Two to six machines of which one at least works, and arrays that keep coming for some minutes. */
export function drawBadMachines(seed: number): SmallFleet {
  const random = new RandomStream(seed, 'bad machines');
  const zones = 1 + random.integerBelow(3);
  const machines = Array.from({ length: 2 + random.integerBelow(5) }, () => random.integerBelow(zones));
  const badMachines = machines.map((_, n) => n).filter((n) => n > 0 && (n === 1 || random.chance(0.4)));
  const services = random.chance(0.7) ? servicesOnEachMachine(machines) : [];
  const jobs = Array.from({ length: 60 }, (_, n): SmallJob => {
    const urgency = random.pickOne(['low', 'standard', 'standard', 'urgent'] as const) ?? 'standard';
    const tasks = 1 + random.integerBelow(random.chance(0.2) ? 12 : 3);
    return { ref: `j-sound-${n}`, atS: random.uniform(30, 400), urgency, tasks, runS: random.uniform(4, 15) };
  });
  return { seed, durationS: 800, machines, badMachines, jobs: [...services, ...jobs] };
}

/** Arrays and services of one task each, which fit on any machine that has room. */
const drawSingleTasks = (random: RandomStream, count: number, fromS: number, toS: number): SmallJob[] =>
  Array.from({ length: count }, (_, n): SmallJob => {
    const urgency = random.pickOne(['low', 'standard', 'urgent', 'production'] as const) ?? 'standard';
    const common = { ref: `j-sound-${n}`, atS: random.uniform(fromS, toS), urgency };
    if (random.chance(0.2)) return { ...common, shape: 'daemon', cancelAtS: common.atS + 120 };
    return { ...common, runS: random.uniform(4, 15) };
  });

/** Machines that fail their tasks, or run them slower, for some seconds, on one to six machines with services. */
export function drawTransientFaults(seed: number): SmallFleet {
  const random = new RandomStream(seed, 'transient faults');
  const machines = Array.from({ length: 1 + random.integerBelow(6) }, () => random.integerBelow(3));
  const faults = Array.from({ length: 1 + random.integerBelow(3) }, (): Fault => {
    const window = { at_s: random.uniform(40, 90), for_s: random.uniform(3, 30), share: random.uniform(0.3, 1) };
    if (random.chance(0.5)) return { kind: 'machines_fail_tasks', ...window };
    return { kind: 'machines_slow', ...window, times: random.uniform(3, 8) };
  });
  const arrays = Array.from({ length: 6 }, (_, n): SmallJob => {
    const atS = random.uniform(30, 80);
    const tasks = 5 + random.integerBelow(60);
    return { ref: `j-array-${n}`, atS, cancelAtS: atS + random.uniform(5, 60), tasks, runS: random.uniform(1, 4) };
  });
  const jobs = [...servicesOnEachMachine(machines), ...arrays, ...drawSingleTasks(random, 8, 60, 160)];
  return { seed, durationS: 360, machines, jobs, faults: faults.sort((a, b) => a.at_s - b.at_s) };
}

/** The same as `drawMistakes`, with jobs of one task beside them, while controllers end or hand over. */
export function drawMistakesAndHandovers(seed: number): SmallFleet {
  const random = new RandomStream(seed, 'handovers');
  const fleet = drawMistakes(seed);
  const mistakes = fleet.jobs.filter(({ ref }) => !ref.startsWith('j-sound'));
  const faults = Array.from({ length: 1 + random.integerBelow(4) }, (): Fault => {
    const controller = random.pickOne([0, 1, 2, 'leader', 'all'] as const) ?? 0;
    return { kind: 'controller_crash', at_s: random.uniform(30, 110), controller, down_s: random.uniform(0.2, 20) };
  });
  const jobs = [...mistakes, ...drawSingleTasks(random, 8, 35, 150)];
  return { ...fleet, durationS: 420, jobs, faults: faults.sort((a, b) => a.at_s - b.at_s) };
}

/** References of the jobs without a mistake that were accepted and have not ended; services apart. */
export const soundJobsLeft = ({ parts }: Region): string[] =>
  parts.statistics.open.filter((ref) => {
    const job = parts.jobs.get(ref);
    return job !== undefined && !job.mistaken && job.spec.shape !== 'daemon';
  });
