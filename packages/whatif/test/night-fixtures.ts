import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import {
  parseScenario,
  Region,
  type SimulationScenario,
  type RegionOptions,
  type Fault,
} from '../../region/src/index.js';
import { MemoryFiles, readTrace, type Trace } from '../../trace/src/index.js';
import { recordRegion } from '../src/index.js';

/** Returns the simulated region's quiet day with another duration and the given faults. */
export const shortDay = (durationS: number, faults: readonly Fault[], seed = 7): SimulationScenario => ({
  ...parseScenario(readFileSync(join(process.cwd(), 'packages/region/days/quiet.toml'), 'utf8'), 'quiet.toml'),
  ...{ name: 'short', seed, duration_s: durationS, quiet_end_s: 0, troubles: [...faults] },
});

/** Simulates a day of the region and returns the trace that the recorder wrote, polling every `pollMs`. */
export async function recordTrace(
  day: SimulationScenario,
  options: Partial<RegionOptions> = {},
  pollMs = 500,
): Promise<Trace> {
  const region = new Region({ trailEvents: 50_000, ...options, day });
  const files = new MemoryFiles();
  await recordRegion(region, files, () => region.play(), pollMs);
  region.close();
  return readTrace(files);
}

/** A job of a handmade trace: `tasks` tasks that run `runS` seconds each, submitted at `atS`. */
interface JobFixture {
  readonly id: string;
  readonly team: string;
  readonly jobClass: string;
  readonly atS: number;
  readonly tasks: number;
  readonly runS: number;
  readonly deadlineS?: number;
}

const NIGHT_BEGIN_MS = Date.UTC(2026, 0, 5, 18, 0, 0);
const CPUS_PER_MACHINE = 4;

/**
 * Builds the trace of a night without a simulation. Machines have four CPUs and each task needs one. Jobs are placed in
 * the order given (list them by submission), each task on the CPU that is free first. `deaths` gives the time in
 * seconds at which a machine dies, by machine index; its tasks start again on other machines.
 */
export function buildTrace(
  jobFixtures: readonly JobFixture[],
  machines: number,
  deaths: ReadonlyMap<number, number> = new Map(),
): Trace {
  const rows: Trace['rows'][number][] = [];
  let sequence = 0;
  const add = (atS: number, kind: string, fields: Record<string, unknown>): void => {
    const { job = null, index = null, attempt = null, machine = null, ...detail } = fields as Record<string, never>;
    sequence += 1;
    const subject =
      kind === 'job' || kind === 'ended'
        ? String(job)
        : kind === 'joined' || kind === 'lost'
          ? String(machine)
          : `${job}/${index}#${attempt}`;
    rows.push({
      ...{ id: `${kind} ${subject}`, at: NIGHT_BEGIN_MS + atS * 1000, node: 'node-0', life: 'a', n: sequence, kind },
      ...{ job, index, attempt, machine, detail: JSON.stringify(detail) },
    });
  };
  add(0, 'up', {});
  const cpuSlots: { atS: number; machine: number }[] = [];
  for (let m = 0; m < machines; m++) {
    add(1, 'joined', { machine: `host-${m}`, type: 'desk', zone: 'north', spot: false });
    for (let slot = 0; slot < CPUS_PER_MACHINE; slot++) cpuSlots.push({ atS: 1, machine: m });
    const diesAtS = deaths.get(m);
    if (diesAtS !== undefined) add(diesAtS + 19.5, 'lost', { machine: `host-${m}` });
  }
  let attempts = 0;
  for (const { id, team, jobClass, atS, tasks, runS, deadlineS } of jobFixtures) {
    const spec = {
      ...{ id, jobClass, team, kind: 'array', priority: 1, tasks, types: null, zone: null, oneZone: false },
      ...{ spread: false, spot: false, image: '', imageGb: 0, estimateS: runS, checkpointS: 0, saveS: 0 },
      ...{ deadlineS: deadlineS ?? null, cpus: 1, gpus: 0, memoryGb: 1 },
    };
    add(atS, 'job', { job: id, spec, submittedAt: NIGHT_BEGIN_MS + atS * 1000, shard: 's' });
    let lastEndS = 0;
    for (let index = 0; index < tasks; index++) {
      let notBeforeS = atS;
      for (;;) {
        const startOnS = (slot: { readonly atS: number }): number => Math.max(notBeforeS, slot.atS) + 0.1;
        const aliveSlots = cpuSlots.filter((slot) => startOnS(slot) < (deaths.get(slot.machine) ?? Infinity));
        const slot = aliveSlots.sort((a, b) => a.atS - b.atS)[0];
        if (!slot) throw new Error('no machine is alive');
        const startS = startOnS(slot);
        const diesAtS = deaths.get(slot.machine) ?? Infinity;
        const attempt = { job: id, index, attempt: ++attempts, machine: `host-${slot.machine}` };
        add(startS, 'began', { ...attempt, adopted: false });
        const endS = startS + runS;
        if (endS > diesAtS) {
          add(diesAtS + 19.6, 'left', { ...attempt, why: 'lease over', ran: true });
          slot.atS = Infinity;
          // The task starts again only after the lease of the dead machine has expired.
          notBeforeS = diesAtS + 19.6;
          continue;
        }
        add(endS, 'left', { ...attempt, why: 'done', ran: true });
        slot.atS = endS;
        lastEndS = Math.max(lastEndS, endS);
        break;
      }
    }
    add(lastEndS + 0.2, 'ended', { job: id, phase: 'done', done: tasks });
  }
  rows.sort((a, b) => a.at - b.at || a.n - b.n);
  const facts = {
    ...{ zones: ['north'], skewMs: 50, objectives: [], settings: {} },
    teams: Object.fromEntries(jobFixtures.map(({ team }) => [team, { cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 }])),
    workers: { reportMs: 3000, leaseMs: 18_000, gangWaitMs: 45_000, gangPeerMs: 5000, cancelMs: 45_000 },
    state: { rps: 200, writeRps: 40, valueKb: 32 },
    cloud: { rps: 6, listLagMs: 5000 },
    types: [
      {
        ...{ name: 'desk', cpus: CPUS_PER_MACHINE, gpus: 0, memoryGb: 32, cacheGb: 40, fetchGbPerS: 0.5 },
        ...{ price: 0.4, spotPrice: 0.1, bootS: 3000, zones: ['north'] },
      },
    ],
  };
  const toMs = Math.max(...rows.map(({ at }) => at)) + 1000;
  return { fromMs: NIGHT_BEGIN_MS, toMs, facts, rows, gaps: [], nodes: ['node-0'], duplicates: 0 };
}
