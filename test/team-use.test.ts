import assert from 'node:assert/strict';
import { test } from 'node:test';
import { computeTeamUse } from '../src/holder/index.js';
import {
  attempt,
  jobId,
  machineId,
  millis,
  revision,
  sequence,
  session,
  taskKey,
  type JobId,
  type TaskKey,
} from '../src/kernel/index.js';
import { WorkerTracker, fencingTokenOf, type ListedTask } from '../src/workers/index.js';
import { planPlacement } from '../src/placement/index.js';
import { spec } from './standins/jobs.js';
import { machineView, pendingJob } from './standins/placement.js';

const TEAMS = new Map([
  ['tight', { cpus: 0, cpusMax: 4, gpus: 0, gpusMax: 0 }],
  ['free', { cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 }],
]);
const SPECS = new Map([
  [jobId('j-tight'), spec({ id: 'j-tight', team: 'tight', cpus: 1, tasks: 8 })],
  [jobId('j-free'), spec({ id: 'j-free', team: 'free', cpus: 1 })],
]);
const specOf = (id: JobId) => SPECS.get(id) ?? null;

/** The tracker of a machine whose worker has acknowledged the current holder's token and lists these tasks. */
function trackerListing(...tasks: readonly [string, number, ListedTask['state']][]): WorkerTracker {
  const tracker = new WorkerTracker(revision(7), millis(0));
  const message = {
    ...{ machine: machineId('m'), type: 's', zone: 'z', spot: false, address: '', noticeS: null },
    ...{ session: session(1), sequence: sequence(1), token: fencingTokenOf(revision(7), 0) },
    tasks: tasks.map(([job, index, state]) => ({
      ...{ key: taskKey(jobId(job), index), job: jobId(job), index, attempt: attempt(1), state },
      ...{ why: null, saved: false },
    })),
  };
  assert.equal(tracker.applyReport(message, millis(1)), 'applied');
  return tracker;
}

const onMachine = (tracker: WorkerTracker) => ({ tracker, active: new Map<TaskKey, unknown>() });

test('a planned task counts before its command is sent, and is not counted twice afterwards', () => {
  const tracker = trackerListing(['j-tight', 0, 'running']);
  const key = taskKey(jobId('j-tight'), 1);
  const machine = { tracker, active: new Map([[key, 'planned']]) };
  assert.equal(computeTeamUse(TEAMS, [machine], specOf).use.get('tight')?.cpus, 2);
  tracker.recordStart(key, attempt(2));
  assert.equal(computeTeamUse(TEAMS, [machine], specOf).use.get('tight')?.cpus, 2);
});

/** How many of eight tasks of the limited team a plan starts on a machine that has capacity for all of them. */
function countStarts(...trackers: WorkerTracker[]): number {
  const { use } = computeTeamUse(TEAMS, trackers.map(onMachine), specOf);
  const of = SPECS.get(jobId('j-tight'));
  assert.ok(of);
  const machine = machineView('room', {
    ...{ type: 's', zone: 'z', cpus: 16, memoryGb: 64, freeCpus: 16, freeMemoryGb: 64, cpuPrice: 1 },
  });
  const job = pendingJob(of, { slackS: 100, lastSlackS: 100, aimed: false });
  const input = { machines: [machine], pending: [job], teams: use, maxStarts: 100, reserve: null };
  return planPlacement(input).starts.length;
}

test('tasks that may be on a machine count against a team limit; exited tasks and other teams do not', () => {
  const tracker = trackerListing(['j-tight', 0, 'running'], ['j-tight', 1, 'exited'], ['j-free', 0, 'running']);
  tracker.recordStart(taskKey(jobId('j-tight'), 2), attempt(2));
  const { use, unknown } = computeTeamUse(TEAMS, [onMachine(tracker)], specOf);
  assert.deepEqual([...use], [['tight', { cpus: 2, gpus: 0, cpusMax: 4, gpusMax: 0 }]]);
  assert.equal(unknown, 0);
  assert.equal(countStarts(tracker), 2);
  assert.equal(countStarts(trackerListing()), 4);
});

test('teams with a limit start nothing while a task of an unknown job, of any team and size, may be running', () => {
  // The job was cancelled before the claim. The worker acknowledged the new token but hung before executing the stop.
  const stuck = trackerListing(['j-cancelled', 0, 'running']);
  assert.equal(countStarts(stuck), 0);
  assert.equal(countStarts(trackerListing(), stuck), 0);
  const pending = trackerListing();
  pending.recordStart(taskKey(jobId('j-cancelled'), 0), attempt(3));
  assert.equal(countStarts(pending), 0);
  assert.equal(countStarts(trackerListing(['j-cancelled', 0, 'exited'])), 4);
  // Its lease has expired, so no task is on the machine.
  stuck.expireLease();
  assert.equal(countStarts(stuck), 4);
});
