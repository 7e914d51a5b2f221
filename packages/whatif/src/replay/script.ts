import type { Luck, Script } from '../../../region/src/index.js';
import type { PlayedJob, PlayedMachine, Scenario } from '../night/index.js';

/** Machines beyond those of the recording boot as those did; the nth of a kind is the nth that was recorded. */
export function scriptMachines(
  scenario: Scenario,
  leadS: number,
  luck: Luck,
): { readonly byKind: ReadonlyMap<string, PlayedMachine[]>; readonly of: Script['machine'] } {
  const byKind = new Map<string, PlayedMachine[]>();
  // Those of the beginning come first, in the region too.
  const order = [...scenario.machines].sort((a, b) => Number(b.initial) - Number(a.initial));
  for (const machine of order) {
    if (machine.initial && machine.upAfterS === null) continue;
    const list = byKind.get(machine.kind);
    if (list) list.push(machine);
    else byKind.set(machine.kind, [machine]);
  }
  const later = (atS: number | null): number | null => (atS === null ? null : atS + leadS);
  const of: Script['machine'] = (kind, nth) => {
    const m = byKind.get(kind)?.[nth];
    if (!m) {
      const boots = (byKind.get(kind) ?? scenario.machines).filter((x) => !x.initial).map((x) => x.upAfterS);
      const type = scenario.facts.types.find(({ name }) => kind.startsWith(`${name} `));
      const usualS = type?.bootS ?? 30;
      const bootS = boots.length > 0 ? (luck.pick(boots) ?? null) : usualS * luck.between(0.6, 1.5);
      return { bootS, diesAtS: null, takenBack: null, slowness: 1, failsFromS: null };
    }
    const up = m.upAfterS;
    return {
      bootS: up !== null && m.initial && up > 0 ? up + leadS : up,
      diesAtS: later(m.diesAtS),
      takenBack: m.takenBack && { ...m.takenBack, noticeAtS: m.takenBack.noticeAtS + leadS },
      ...{ slowness: m.slowness, failsFromS: later(m.failsFromS) },
    };
  };
  return { byKind, of };
}

/** How long each task of a job runs: as it did, or drawn as others of its class ran. */
export function runsOf(job: PlayedJob, scenario: Scenario, luck: Luck): (index: number) => number {
  const { spec, work } = job;
  const { fits } = scenario.runs;
  const own = luck.fork(spec.id);
  const typicalS = fits.job(spec, () => own.next());
  const drawn = new Map<number, number>();
  return (index) => {
    const task = spec.kind === 'gang' ? 0 : index;
    const known = work.get(task) ?? drawn.get(task);
    if (known !== undefined) return known;
    const run = fits.task(spec, typicalS, () => own.fork(String(task)).next());
    drawn.set(task, run);
    return run;
  };
}
