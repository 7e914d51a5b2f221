import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isObject } from '../../../src/kernel/index.js';
import { decodeShard } from '../../../src/membership/index.js';
import { Region, type Day } from '../src/index.js';
import { hangWorkers } from '../src/troubles.js';
import { shortDay } from './days.js';

/** By then the answer to a command has left the machine. */
const ANSWERED_MS = 0.02;
/** Finer than any packet takes. */
const STEP_MS = 0.1;

/** A team that is at its limit all day: long arrays, far more than it may run, and little else. */
const crowded = (seed: number): Day => {
  const day = shortDay(130, [], seed);
  return {
    ...day,
    teams: day.teams.map((team) => (team.name === 'mail' ? { ...team, cpus_max: 48 } : team)),
    classes: day.classes.map((c) =>
      c.name === 'letters'
        ? {
            ...c,
            tasks: { median: 5, p95: 8, max: 9 },
            run_s: { median: 100, p95: 160, max: 200 },
            initial: 25,
            per_minute: 12,
          }
        : c,
    ),
  };
};

/** Who holds the shard in which the team's jobs are, and in which life. */
function holderOf(region: Region): { readonly shard: string; readonly holder: string; readonly life: string } | null {
  const { state } = region.parts;
  for (const key of state.under('live/jobs/')) {
    const job = state.get(key);
    if (!isObject(job) || !JSON.stringify(job).includes('"letters"')) continue;
    const shard = String(job['shard']);
    const record = decodeShard(state.get(`live/shards/${shard}`));
    if (record) return { shard, holder: record.holder, life: record.incarnation };
  }
  return null;
}

/**
 * The holder ends, jobs of the team are cancelled before another claims, and each of their machines hangs as soon as its
 * acknowledgement of the claim has left: none has executed the stop by then, and the new holder doesn't know their jobs.
 * Reports would tell it of them before its first command, so none reaches a controller in those seconds; and a command
 * for another session, which the first one is, counts as acknowledged: the protocol leaves open whether it does.
 */
async function hungAfterClaim(
  seed: number,
  allow: readonly string[] = [],
): Promise<{ rules: string[]; held: number; hung: number; started: number }> {
  let held = 0;
  const day = crowded(seed);
  const region = new Region({
    day: { ...day, controllers: { ...day.controllers, allow: [...allow] } },
    controllerLog: {
      level: 'info',
      write: (line) => (held += Number(line.includes('teams with a limit start nothing'))),
    },
  });
  await region.play(55);
  const before = holderOf(region);
  const controller = region.controllers.find(({ seat }) => seat.name === before?.holder);
  assert.ok(before && controller);
  region.crash(controller, 40);
  await region.play(56.5);
  const cancelled = region.parts.users.close.cancelNow(12, ({ spec }) => region.parts.machinesOf(spec.ref).length > 0);
  assert.ok(cancelled.length >= 3);
  const left = new Set(cancelled.flatMap(({ job }) => region.parts.machinesOf(job.spec.ref)));
  const tokens = new Map([...left].map((worker) => [worker, worker.highestToken]));
  for (const worker of left) [worker.mute, worker.refusedRaise] = [true, true];
  let hung = 0;
  while (left.size > 0 && region.now < 62_000) {
    await region.play((region.now + STEP_MS) / 1000);
    for (const worker of left) {
      if (worker.highestToken === tokens.get(worker)) continue;
      left.delete(worker);
      hung += 1;
      region.world.plan(region.now + ANSWERED_MS, () => hangWorkers(region, [worker], 16));
    }
  }
  for (const worker of tokens.keys()) worker.mute = false;
  await region.play();
  const { breaches, defects, classes } = region.close();
  assert.deepEqual(defects, []);
  const started = classes.find(({ name }) => name === 'letters')?.tasksStarted ?? 0;
  return { rules: [...new Set(breaches.map(({ rule }) => rule))], held, hung, started };
}

test('a team at its limit, jobs cancelled before a claim, machines that hang once they have acknowledged it', async () => {
  let held = 0;
  for (const seed of [3, 4, 5, 6]) {
    const played = await hungAfterClaim(seed);
    assert.deepEqual(played.rules, [], String(seed));
    assert.ok(played.started > 50);
    assert.ok(played.hung > 0);
    held += played.held;
  }
  // Or the days show nothing: somewhere the new holder has seen tasks of jobs that it doesn't know.
  assert.ok(held > 0);
});

test('the same with limits that are shared between shards: shares stay numbers, and the team goes on', async () => {
  let held = 0;
  for (const seed of [3, 4, 5]) {
    const played = await hungAfterClaim(seed, ['quota-shares']);
    assert.deepEqual(played.rules, [], String(seed));
    assert.ok(played.started > 50, `${played.started} started`);
    held += played.held;
  }
  assert.ok(held > 0);
});
