import type { RandomStream, Script } from '../../../region/src/index.js';
import type { ScenarioJob, ScenarioMachine, Scenario } from '../night/index.js';

/**
 * Returns the behavior of each simulated machine: the nth machine of a kind behaves as the nth recorded one. Machines
 * beyond the recorded ones take a boot time drawn from the recorded boots. `offsetS` is added to all absolute times.
 */
export function machineScripts(
  scenario: Scenario,
  offsetS: number,
  random: RandomStream,
): { readonly byKind: ReadonlyMap<string, ScenarioMachine[]>; readonly scriptOf: Script['machine'] } {
  const byKind = new Map<string, ScenarioMachine[]>();
  // Machines that are up when the night begins come first, as in the simulated region.
  const order = [...scenario.machines].sort((a, b) => Number(b.initial) - Number(a.initial));
  for (const machine of order) {
    if (machine.initial && machine.upAfterS === null) continue;
    const list = byKind.get(machine.kind);
    if (list) list.push(machine);
    else byKind.set(machine.kind, [machine]);
  }
  const shifted = (atS: number | null): number | null => (atS === null ? null : atS + offsetS);
  const scriptOf: Script['machine'] = (kind, nth) => {
    const m = byKind.get(kind)?.[nth];
    if (!m) {
      const boots = (byKind.get(kind) ?? scenario.machines).filter((x) => !x.initial).map((x) => x.upAfterS);
      const type = scenario.facts.types.find(({ name }) => kind.startsWith(`${name} `));
      const typicalBootS = type?.bootS ?? 30;
      const bootS = boots.length > 0 ? (random.pickOne(boots) ?? null) : typicalBootS * random.uniform(0.6, 1.5);
      return { bootS, diesAtS: null, takenBack: null, slowness: 1, failsFromS: null };
    }
    const up = m.upAfterS;
    return {
      bootS: up !== null && m.initial && up > 0 ? up + offsetS : up,
      diesAtS: shifted(m.diesAtS),
      takenBack: m.takenBack && { ...m.takenBack, noticeAtS: m.takenBack.noticeAtS + offsetS },
      ...{ slowness: m.slowness, failsFromS: shifted(m.failsFromS) },
    };
  };
  return { byKind, scriptOf };
}

/**
 * Returns the run time of each task of a job in seconds: the recorded one, or one drawn from the runs of the job's
 * class.
 */
export function runTimesOf(job: ScenarioJob, scenario: Scenario, random: RandomStream): (index: number) => number {
  const { spec, workS } = job;
  const { runTimeModel } = scenario.runs;
  const jobRandom = random.fork(spec.id);
  const typicalS = runTimeModel.sampleJobRunS(spec, () => jobRandom.next());
  const drawn = new Map<number, number>();
  return (index) => {
    const task = spec.kind === 'gang' ? 0 : index;
    const known = workS.get(task) ?? drawn.get(task);
    if (known !== undefined) return known;
    const run = runTimeModel.sampleTaskRunS(spec, typicalS, () => jobRandom.fork(String(task)).next());
    drawn.set(task, run);
    return run;
  };
}
