import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { StandInWorker } from './standins/worker.js';
import { ATTEMPTS_PER_CLAIM, HeldMachine, ordersToForget, UnexpectedTasks } from '../src/holder/index.js';
import {
  attempt,
  createLogger,
  jobId,
  machineId,
  millis,
  revision,
  shardName,
  SocketBudget,
  systemRuntime,
  taskKey,
  type FencingToken,
  type TaskKey,
} from '../src/kernel/index.js';
import {
  fencingTokenOf,
  TaskIndex,
  WorkerTracker,
  type ListedTask,
  type MessageOutcome,
  type MessagePosition,
  type Order,
} from '../src/workers/index.js';

const [TASK, OTHER_TASK] = [taskKey(jobId('j-1'), 0), taskKey(jobId('j-1'), 1)] as [TaskKey, TaskKey];
const BASE = revision(5);

/** A command as it was sent; `deliver` lets it, or a copy of it, arrive. */
interface SentCommand {
  readonly token: FencingToken;
  readonly session: number;
  readonly orders: readonly Order[];
  readonly sent: MessagePosition;
}

/** A worker and its holder's tracker, with every message delivered at once. */
class WorkerWithHolder {
  readonly worker = new StandInWorker('m0');
  private now = 1;

  constructor(readonly tracker = new WorkerTracker(BASE, millis(0))) {
    this.report();
    this.report();
    assert.ok(this.tracker.fenced);
  }

  /** Sends orders that the worker does not get yet. */
  compose(orders: readonly Order[]): SentCommand {
    for (const order of orders) if (order.op === 'start') this.tracker.recordStart(order.key, order.attempt);
    const { token, session, position: sent } = this.tracker;
    return { token, session, orders, sent };
  }

  /** Delivers a command and its answer. */
  execute(command: SentCommand): void {
    const { message } = this.deliverCopy(command);
    this.tracker.applyAnswer(message, command.sent, millis(this.now++));
    const starts = command.orders.filter(({ op }) => op === 'start');
    this.tracker.settleStarts(starts.map(({ key }) => key));
  }

  /** Delivers a command whose answer nobody gets. */
  deliverCopy({ token, session, orders }: SentCommand) {
    return this.worker.onCommands(token, session, orders);
  }

  /** Starts a task; returns the command. */
  start(key: TaskKey, number = 1): SentCommand {
    const command = this.compose([{ op: 'start', key, attempt: attempt(number) }]);
    this.execute(command);
    assert.ok(this.worker.isOn(key));
    return command;
  }

  /** Stops a task and lets the worker forget it, as after a preemption or a cancellation. */
  stopAndForget(key: TaskKey, number = 1): void {
    this.execute(this.compose([{ op: 'stop', key, attempt: attempt(number), graceS: 0 }]));
    assert.ok(this.tracker.retireStarts());
    this.report([{ op: 'forget', key, attempt: attempt(number) }]);
    this.report();
    assert.ok(!this.tracker.tasks.has(key));
  }

  /** Lets the worker report, and answers with these orders. */
  report(orders: readonly Order[] = []): MessageOutcome {
    const outcome = this.tracker.applyReport(this.worker.report(), millis(this.now++));
    this.worker.onReply(this.tracker.token, orders);
    return outcome;
  }
}

test('a copy of a start command is refused once the worker was let to forget the attempt', () => {
  const pair = new WorkerWithHolder();
  const start = pair.start(TASK);
  assert.equal(pair.deliverCopy(start).status, 200, 'while the attempt is listed, a copy has no effect');
  pair.stopAndForget(TASK);
  assert.equal(pair.deliverCopy(start).status, 409);
  assert.ok(!pair.worker.isOn(TASK));
});

test('the token for forgetting is raised once for all starts before, and needs no acknowledgement before the next start', () => {
  const pair = new WorkerWithHolder();
  const { token } = pair.tracker;
  assert.ok(pair.tracker.retireStarts());
  assert.equal(pair.tracker.token, token, 'nothing was started under this token');
  pair.start(TASK);
  assert.ok(pair.tracker.retireStarts() && pair.tracker.retireStarts());
  assert.equal(pair.tracker.token, token + 1);
  assert.ok(pair.tracker.fenced);
  pair.start(OTHER_TASK, 2);
});

test('a start that is on its way is not refused because an older attempt is forgotten', () => {
  const pair = new WorkerWithHolder();
  pair.start(TASK);
  const { token } = pair.tracker;
  const onItsWay = pair.compose([{ op: 'start', key: OTHER_TASK, attempt: attempt(2) }]);
  assert.equal(pair.tracker.retireStarts(), false);
  assert.equal(pair.tracker.token, token);
  pair.execute(onItsWay);
  assert.ok(pair.worker.isOn(OTHER_TASK));
});

test('raised tokens never reach those of the next revision', () => {
  const tracker = new WorkerTracker(BASE, millis(0));
  const raise = (): boolean => {
    tracker.recordStart(TASK, attempt(1));
    tracker.settleStarts([TASK]);
    return tracker.retireStarts();
  };
  while (raise());
  assert.ok(tracker.tokensAreShort);
  tracker.raiseToken();
  assert.ok(tracker.token < fencingTokenOf(revision(BASE + 1), 0));
  tracker.rebaseToken(revision(BASE + 1));
  assert.ok(!tracker.tokensAreShort && raise());
});

test('after a restart of the worker, its task is possibly there until a raised token is acknowledged', () => {
  const pair = new WorkerWithHolder();
  const start = pair.start(TASK);
  pair.worker.reboot();
  const probe = pair.compose([]);
  pair.execute(probe);
  assert.ok(pair.tracker.mayHaveTask(TASK) && !pair.tracker.fenced);
  assert.equal(pair.deliverCopy(start).status, 200, 'a copy to the earlier process starts the task again');
  pair.execute(pair.compose([]));
  assert.ok(pair.tracker.fenced && pair.tracker.mayHaveTask(TASK));
  assert.equal(pair.tracker.tasks.get(TASK)?.state, 'running');
});

test('a restarted worker that no copy reaches has none of its tasks once it has acknowledged the raised token', () => {
  const pair = new WorkerWithHolder();
  const start = pair.start(TASK);
  pair.worker.reboot();
  pair.execute(pair.compose([]));
  pair.execute(pair.compose([]));
  assert.ok(pair.tracker.fenced && pair.tracker.empty);
  assert.equal(pair.deliverCopy(start).status, 409);
});

test('an answer that lacks a task which ran in the same session shows a restart, however many messages came before it', () => {
  const pair = new WorkerWithHolder();
  const start = pair.start(TASK);
  pair.worker.reboot();
  const probe = pair.compose([]);
  for (let unheard = 0; unheard < 30; unheard++) pair.worker.report();
  pair.execute(probe);
  assert.ok(pair.tracker.mayHaveTask(TASK) && !pair.tracker.fenced);
  assert.equal(pair.deliverCopy(start).status, 200);
});

test('a running attempt is not hidden by an exited one of the same task, in whatever order the worker lists them', () => {
  for (const exitedFirst of [true, false]) {
    const pair = new WorkerWithHolder();
    pair.start(TASK);
    pair.execute(pair.compose([{ op: 'stop', key: TASK, attempt: attempt(1), graceS: 0 }]));
    const start = pair.compose([{ op: 'start', key: TASK, attempt: attempt(2) }]);
    const { message } = pair.deliverCopy(start);
    const listed = [...message.tasks].sort((a, b) => (exitedFirst ? 1 : -1) * (a.attempt - b.attempt));
    assert.deepEqual(new Set(listed.map(({ state }) => state)), new Set(['exited', 'running']));
    pair.tracker.applyAnswer({ ...message, tasks: listed }, start.sent, millis(100));
    pair.tracker.settleStarts([TASK]);
    assert.ok(pair.tracker.mayHaveTask(TASK));
  }
});

/** A machine whose holder has started and forgotten a task, and the command of that start. */
function machineAfterForgottenStart() {
  const log = createLogger('silent', 'test');
  const hooks = { heard: () => undefined, superseded: () => undefined, outcomeOf: () => 'open' as const };
  const info = { id: machineId('m0'), address: '127.0.0.1:1', type: 't', zone: 'z', spot: false };
  const machine = new HeldMachine(info, BASE, systemRuntime, log, new TaskIndex(), hooks, new SocketBudget(8));
  const pair = new WorkerWithHolder(machine.tracker);
  const start = pair.start(TASK);
  pair.stopAndForget(TASK);
  return { pair, machine, start };
}

const listedTask = ({ orders }: SentCommand): ListedTask => {
  const [order] = orders;
  assert.ok(order);
  return { ...order, job: jobId('j-1'), index: 0, state: 'running', why: null, saved: false };
};

const answerTo = (machine: HeldMachine, outcome: MessageOutcome): Order[] =>
  ordersToForget(
    machine,
    outcome,
    () => undefined,
    () => false,
  );

// A moved task and a cancelled one are the same here: their attempts are forgotten, and a copy would start them again.
test('the answer to the first report of a restarted worker refuses copies of all starts before the restart', () => {
  const { pair, machine, start } = machineAfterForgottenStart();
  const later = pair.start(OTHER_TASK, 2);
  pair.worker.reboot();
  const outcome = pair.tracker.applyReport(pair.worker.report(), millis(100));
  assert.equal(outcome, 'stale');
  const orders = answerTo(machine, outcome);
  pair.worker.onReply(machine.tracker.token, orders);
  assert.deepEqual(
    [start, later].map((command) => pair.deliverCopy(command).status),
    [409, 409],
  );
});

test('an attempt that had ended and is listed again is counted once, and named by one line with its token', () => {
  const lines: string[] = [];
  const log = pino({ base: null, timestamp: false }, { write: (line: string) => lines.push(line) });
  const { machine, start } = machineAfterForgottenStart();
  const unexpected = new UnexpectedTasks(shardName('s'), BASE, log);
  const own = { ...listedTask(start), attempt: attempt(BASE * ATTEMPTS_PER_CLAIM + 1) };
  unexpected.note(machine, own);
  unexpected.note(machine, own);
  unexpected.note(machine, { ...own, key: OTHER_TASK, attempt: attempt(1) });
  assert.deepEqual(unexpected.counts, { ended: 1, other: 1 });
  assert.equal(lines.length, 1);
  const { token, session } = machine.tracker.position;
  const named = { shard: 's', machine: 'm0', task: TASK, attempt: own.attempt, session, token, total: 1 };
  const msg = 'a worker lists an attempt that had ended: it has executed its start command once more';
  assert.deepEqual(JSON.parse(lines[0] ?? ''), { level: 40, ...named, msg });
});
