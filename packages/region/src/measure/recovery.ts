import { decodeShard } from '../../../../src/membership/index.js';
import type { Trouble } from '../day/index.js';
import { Region } from '../region.js';
import { fleetDay } from './fleet.js';

/** Which controllers end at once. */
export type Ended = 'one' | 'leader' | 'two' | 'all';
export const ENDED: readonly Ended[] = ['one', 'leader', 'two', 'all'];

export interface Recovery {
  readonly machines: number;
  readonly ended: Ended;
  readonly seed: number;
  readonly rps: number;
  readonly writeRps: number;
  /** Seconds from the end of the processes until each shard that lost its holder was claimed. */
  readonly claimedS: number | null;
  /** Until half, and until the last, of the machines of those shards had a report answered. */
  readonly halfAnsweredS: number | null;
  readonly lastAnsweredS: number | null;
  /** Until a task that a new holder started first ran in one of those shards, and in the last of them. */
  readonly firstStartS: number | null;
  readonly lastFirstStartS: number | null;
  /** Tasks that a worker killed because its lease had run out. */
  readonly killed: number;
  /** The state service, from the end of the processes until the last report: requests and changes a second, refusals. */
  readonly requestsPerS: number;
  readonly changesPerS: number;
  readonly refused: number;
  readonly breaches: number;
}

const STEP_S = 0.1;
const ATTEMPTS = 2 ** 20;

interface Options {
  readonly machines: number;
  readonly ended: Ended;
  readonly seed: number;
  /** The state service's requests and changes a second. */
  readonly rps: number;
  readonly writeRps: number;
  readonly atS?: number;
  readonly watchS?: number;
}

/** Ends controllers of a loaded fleet, and measures how long each step of the recovery takes. */
export async function measureRecovery({
  machines,
  ended,
  seed,
  rps,
  writeRps,
  atS = 75,
  watchS = 45,
}: Options): Promise<Recovery> {
  // Submissions come so thick around it that the state service is at its changes a second.
  const rush: Trouble = { kind: 'burst', at_s: atS - 10, for_s: 30, class: 'batch', times: 3 };
  const fleet = fleetDay(machines, atS + watchS + 1, [rush]);
  const day = { ...fleet, seed, state: { ...fleet.state, rps, write_rps: writeRps } };
  const starts: { at: number; attempt: number; machine: string }[] = [];
  let killed = 0;
  const region = new Region({
    day,
    event: (line) => {
      const [at = '', what, , attempt = '', machine = '', cause] = line.trimEnd().split(' ');
      if (what === 'on') starts.push({ at: Number(at), attempt: Number(attempt), machine });
      if (what === 'off' && cause === 'killed') killed += 1;
    },
  });
  await region.play(atS);
  const { parts } = region;
  const leader = region.leader ?? region.controllers[0];
  const rest = region.controllers.filter((controller) => controller !== leader);
  const chosen = {
    one: rest.slice(0, 1),
    leader: leader ? [leader] : [],
    two: leader ? [leader, ...rest.slice(0, 1)] : [],
    all: region.controllers,
  }[ended];
  const names = new Set(chosen.map(({ seat }) => seat.name));
  const recordOf = (shard: string) => decodeShard(parts.state.get(`live/shards/${shard}`));
  const blocks = new Map<string, Set<string>>();
  for (const { seat } of region.controllers) {
    const record = recordOf(seat.name);
    if (record && names.has(record.holder)) blocks.set(seat.name, new Set(record.machines.map(({ id }) => id)));
  }
  const lives = new Map([...blocks.keys()].map((shard) => [shard, recordOf(shard)?.incarnation]));
  const answersOf = (id: string): number => parts.workers.get(id)?.model.answers ?? 0;
  const affected = [...blocks.values()].flatMap((block) => [...block]);
  const answersBefore = new Map(affected.map((id) => [id, answersOf(id)]));
  const [before, killedBefore] = [{ ...parts.state.counts }, killed];
  const began = region.now;
  // A holder's attempts begin with the revision of its claim.
  const newest = parts.state.revision * ATTEMPTS;
  starts.length = 0;
  for (const controller of chosen) region.crash(controller, day.controllers.restart_s);
  let claimed: number | null = null;
  let half: number | null = null;
  let last: number | null = null;
  let after = before;
  for (let t = STEP_S; t <= watchS; t += STEP_S) {
    await region.play(atS + t);
    const passed = (region.now - began) / 1000;
    if (claimed === null && [...lives].every(([shard, life]) => recordOf(shard)?.incarnation !== life))
      claimed = passed;
    let [answered, present] = [0, 0];
    for (const id of affected) {
      if (!parts.workers.has(id)) continue;
      present += 1;
      if (answersOf(id) > (answersBefore.get(id) ?? 0)) answered += 1;
    }
    if (half === null && answered * 2 >= present) half = passed;
    if (last === null && answered === present) {
      last = passed;
      after = { ...parts.state.counts };
    }
  }
  if (last === null) after = { ...parts.state.counts };
  const firsts = [...blocks.values()].map(
    (block) => starts.find(({ machine, attempt }) => block.has(machine) && attempt >= newest)?.at ?? null,
  );
  const known = firsts.filter((at): at is number => at !== null).map((at) => (at - began) / 1000);
  const lost = killed - killedBefore;
  const spanS = last ?? watchS;
  const result = region.close();
  return {
    ...{ machines, ended, seed, rps, writeRps, claimedS: claimed, halfAnsweredS: half, lastAnsweredS: last },
    firstStartS: known.length > 0 ? Math.min(...known) : null,
    lastFirstStartS: known.length > 0 && known.length === firsts.length ? Math.max(...known) : null,
    killed: lost,
    requestsPerS: (after.requests - before.requests) / spanS,
    changesPerS: (after.changes - before.changes) / spanS,
    refused: after.refused - before.refused,
    breaches: result.breaches.length,
  };
}
