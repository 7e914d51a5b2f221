import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { readDay, Region, type Day, type RegionOptions, type Trouble } from '../../region/src/index.js';
import { MemoryFiles, readTrace, type Trace } from '../../trace/src/index.js';
import { recordRegion } from '../src/index.js';

/** The region's quiet day, shorter, with troubles of ours. */
export const shortDay = (durationS: number, troubles: readonly Trouble[], seed = 7): Day => ({
  ...readDay(readFileSync(join(process.cwd(), 'packages/region/days/quiet.toml'), 'utf8'), 'quiet.toml'),
  ...{ name: 'short', seed, duration_s: durationS, quiet_end_s: 0, troubles: [...troubles] },
});

export async function recorded(day: Day, options: Partial<RegionOptions> = {}, pollMs = 500): Promise<Trace> {
  const region = new Region({ trailEvents: 50_000, ...options, day });
  const files = new MemoryFiles();
  await recordRegion(region, files, () => region.play(), pollMs);
  region.close();
  return readTrace(files);
}

interface Batch {
  readonly id: string;
  readonly team: string;
  readonly jobClass: string;
  readonly atS: number;
  readonly tasks: number;
  readonly runS: number;
  readonly deadlineS?: number;
}

const FROM = Date.UTC(2026, 0, 5, 18, 0, 0);
const CPUS = 4;

/**
 * A night written by hand: one machine of four cpus after the other, each task one cpu, each batch placed by the
 * hour of its submission. `deaths`: a machine dies at a moment, and what it ran begins again elsewhere.
 */
export function handmade(
  batches: readonly Batch[],
  machines: number,
  deaths: ReadonlyMap<number, number> = new Map(),
): Trace {
  const rows: Trace['rows'][number][] = [];
  let n = 0;
  const add = (atS: number, kind: string, fields: Record<string, unknown>): void => {
    const { job = null, index = null, attempt = null, machine = null, ...detail } = fields as Record<string, never>;
    n += 1;
    const name =
      kind === 'job' || kind === 'ended'
        ? String(job)
        : kind === 'joined' || kind === 'lost'
          ? String(machine)
          : `${job}/${index}#${attempt}`;
    rows.push({
      ...{ id: `${kind} ${name}`, at: FROM + atS * 1000, node: 'node-0', life: 'a', n, kind },
      ...{ job, index, attempt, machine, detail: JSON.stringify(detail) },
    });
  };
  add(0, 'up', {});
  const free: { atS: number; machine: number }[] = [];
  for (let m = 0; m < machines; m++) {
    add(1, 'joined', { machine: `host-${m}`, type: 'desk', zone: 'north', spot: false });
    for (let slot = 0; slot < CPUS; slot++) free.push({ atS: 1, machine: m });
    const diesAtS = deaths.get(m);
    if (diesAtS !== undefined) add(diesAtS + 19.5, 'lost', { machine: `host-${m}` });
  }
  let attempts = 0;
  for (const { id, team, jobClass, atS, tasks, runS, deadlineS } of batches) {
    const spec = {
      ...{ id, jobClass, team, kind: 'array', priority: 1, tasks, types: null, zone: null, oneZone: false },
      ...{ spread: false, spot: false, image: '', imageGb: 0, estimateS: runS, checkpointS: 0, saveS: 0 },
      ...{ deadlineS: deadlineS ?? null, cpus: 1, gpus: 0, memoryGb: 1 },
    };
    add(atS, 'job', { job: id, spec, submittedAt: FROM + atS * 1000, shard: 's' });
    let last = 0;
    for (let index = 0; index < tasks; index++) {
      let notBefore = atS;
      for (;;) {
        const beginOn = (slot: { readonly atS: number }): number => Math.max(notBefore, slot.atS) + 0.1;
        const alive = free.filter((slot) => beginOn(slot) < (deaths.get(slot.machine) ?? Infinity));
        const slot = alive.sort((a, b) => a.atS - b.atS)[0];
        if (!slot) throw new Error('no machine is left');
        const begin = beginOn(slot);
        const diesAtS = deaths.get(slot.machine) ?? Infinity;
        const on = { job: id, index, attempt: ++attempts, machine: `host-${slot.machine}` };
        add(begin, 'began', { ...on, adopted: false });
        const end = begin + runS;
        if (end > diesAtS) {
          add(diesAtS + 19.6, 'left', { ...on, why: 'lease over', ran: true });
          slot.atS = Infinity;
          // Nobody starts it again before the lease is over.
          notBefore = diesAtS + 19.6;
          continue;
        }
        add(end, 'left', { ...on, why: 'done', ran: true });
        slot.atS = end;
        last = Math.max(last, end);
        break;
      }
    }
    add(last + 0.2, 'ended', { job: id, phase: 'done', done: tasks });
  }
  rows.sort((a, b) => a.at - b.at || a.n - b.n);
  const facts = {
    ...{ zones: ['north'], skewMs: 50, objectives: [], settings: {} },
    teams: Object.fromEntries(batches.map(({ team }) => [team, { cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 }])),
    workers: { reportMs: 3000, leaseMs: 18_000, gangWaitMs: 45_000, gangPeerMs: 5000, cancelMs: 45_000 },
    state: { rps: 200, writeRps: 40, valueKb: 32 },
    cloud: { rps: 6, listLagMs: 5000 },
    types: [
      {
        ...{ name: 'desk', cpus: CPUS, gpus: 0, memoryGb: 32, cacheGb: 40, fetchGbPerS: 0.5 },
        ...{ price: 0.4, spotPrice: 0.1, bootS: 3000, zones: ['north'] },
      },
    ],
  };
  const toMs = Math.max(...rows.map(({ at }) => at)) + 1000;
  return { fromMs: FROM, toMs, facts, rows, gaps: [], nodes: ['node-0'], repeated: 0 };
}
