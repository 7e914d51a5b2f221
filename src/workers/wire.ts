import {
  asNonNegativeInteger,
  asArray,
  asNumber,
  asString,
  attempt,
  isObject,
  machineId,
  parseTaskKey,
  sequence,
  session,
  fencingToken,
  type Attempt,
  type JobId,
  type MachineId,
  type NodeName,
  type Sequence,
  type Session,
  type TaskKey,
  type FencingToken,
} from '../kernel/index.js';

/**
 * Wire format of the workers. Its names differ from ours: `drifter` is a machine, `tide` a session, `tally` a sequence
 * number, `helm` a fencing token, `piece` a task, `launch` an attempt, `hull` a machine type, `berth` a zone, `flotsam`
 * says that the machine is a spot machine, `recall_s` is the notice before the cloud reclaims it, `moor_s` the grace
 * period of a stop, and `harbour` the controller to report to.
 */

/** State of a task on its worker. */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
/** Why a task has exited. */
export type ExitReason = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no-room' | 'busy' | 'unknown';

const TASK_STATES: Record<string, TaskState> = {
  fetching: 'fetching',
  gathering: 'waiting',
  running: 'running',
  flushing: 'saving',
  exited: 'exited',
};
const EXIT_REASONS: Record<string, ExitReason> = {
  done: 'done',
  stopped: 'stopped',
  mates_gone: 'peers',
  alone: 'alone',
  error: 'error',
  no_room: 'no-room',
  in_use: 'busy',
  no_such: 'unknown',
};

/** A task in a worker's message. */
export interface ListedTask {
  readonly key: TaskKey;
  /** Job and index are parsed from the key once per message, because they are used many times. */
  readonly job: JobId;
  readonly index: number;
  readonly attempt: Attempt;
  readonly state: TaskState;
  /** Null unless the task has exited. */
  readonly why: ExitReason | null;
  readonly saved: boolean;
}

/** State of a worker, sent in a report or in the answer to a command. */
export interface WorkerMessage {
  readonly machine: MachineId;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly session: Session;
  readonly sequence: Sequence;
  /** The highest fencing token that the worker has received. */
  readonly token: FencingToken;
  /** Seconds until the cloud reclaims the machine; null without a notice. */
  readonly noticeS: number | null;
  readonly tasks: readonly ListedTask[];
}

/** An instruction to a worker about one attempt of a task. */
export type Order =
  | { readonly op: 'start'; readonly key: TaskKey; readonly attempt: Attempt }
  | { readonly op: 'stop'; readonly key: TaskKey; readonly attempt: Attempt; readonly graceS: number }
  | { readonly op: 'forget'; readonly key: TaskKey; readonly attempt: Attempt };

/** Decodes a worker's message; null when it is malformed. */
export function decodeWorkerMessage(body: unknown): WorkerMessage | null {
  if (!isObject(body)) return null;
  const machine = asString(body['drifter']);
  const tide = asNonNegativeInteger(body['tide']);
  const tally = asNonNegativeInteger(body['tally']);
  const helm = asNonNegativeInteger(body['helm']);
  if (machine === undefined || machine === '' || tide === undefined || tally === undefined || helm === undefined)
    return null;
  const tasks: ListedTask[] = [];
  for (const item of asArray(body['pieces'])) {
    if (!isObject(item)) return null;
    const key = asString(item['piece']) ?? '';
    const named = parseTaskKey(key);
    const launch = asNonNegativeInteger(item['launch']);
    const state = TASK_STATES[asString(item['phase']) ?? ''];
    if (!named || launch === undefined || state === undefined) return null;
    tasks.push({
      key: key as TaskKey,
      ...named,
      attempt: attempt(launch),
      state,
      why: state === 'exited' ? (EXIT_REASONS[asString(item['cause']) ?? ''] ?? 'error') : null,
      saved: item['stored'] === true,
    });
  }
  return {
    machine: machineId(machine),
    address: asString(body['address']) ?? '',
    type: asString(body['hull']) ?? '',
    zone: asString(body['berth']) ?? '',
    spot: body['flotsam'] === true,
    session: session(tide),
    sequence: sequence(tally),
    token: fencingToken(helm),
    noticeS: asNumber(body['recall_s']) ?? null,
    tasks,
  };
}

/** Encodes one order of a reply or a command. */
export function encodeOrder(order: Order): unknown {
  const named = { piece: order.key, launch: order.attempt };
  return order.op === 'stop' ? { verb: 'stop', ...named, moor_s: order.graceS } : { verb: order.op, ...named };
}

/** Body of the answer to a report, which renews the worker's lease. */
export const encodeReply = (helm: FencingToken, orders: readonly Order[]): unknown => ({
  helm,
  orders: orders.map(encodeOrder),
});

/** Body of a command, which the worker executes only in this session and under no higher token. */
export const encodeCommands = (helm: FencingToken, tide: Session, orders: readonly Order[]): unknown => ({
  helm,
  tide,
  orders: orders.map(encodeOrder),
});

/** Body that sends a worker to another controller; empty when none is known. */
export const encodeRedirect = (to: NodeName | null): unknown => (to === null ? {} : { harbour: to });
