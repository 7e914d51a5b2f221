import {
  asCount,
  asList,
  asNumber,
  asString,
  attempt,
  isObject,
  machineId,
  parseTaskKey,
  sequence,
  session,
  token,
  type Attempt,
  type JobId,
  type MachineId,
  type NodeName,
  type Sequence,
  type Session,
  type TaskKey,
  type Token,
} from '../kernel/index.js';

/** The workers' words. */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
export type ExitWhy = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no-room' | 'busy' | 'unknown';

const STATES: Record<string, TaskState> = {
  fetching: 'fetching',
  gathering: 'waiting',
  running: 'running',
  flushing: 'saving',
  exited: 'exited',
};
const WHYS: Record<string, ExitWhy> = {
  done: 'done',
  stopped: 'stopped',
  mates_gone: 'peers',
  alone: 'alone',
  error: 'error',
  no_room: 'no-room',
  in_use: 'busy',
  no_such: 'unknown',
};

export interface ListedTask {
  readonly key: TaskKey;
  /** The key's parts: read once for each report, asked for many times. */
  readonly job: JobId;
  readonly index: number;
  readonly attempt: Attempt;
  readonly state: TaskState;
  readonly why: ExitWhy | null;
  readonly saved: boolean;
}

/** What a worker says of itself, in a report or in the answer to a command. */
export interface WorkerMessage {
  readonly machine: MachineId;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly session: Session;
  readonly sequence: Sequence;
  readonly token: Token;
  readonly noticeS: number | null;
  readonly tasks: readonly ListedTask[];
}

export type Order =
  | { readonly op: 'start'; readonly key: TaskKey; readonly attempt: Attempt }
  | { readonly op: 'stop'; readonly key: TaskKey; readonly attempt: Attempt; readonly graceS: number }
  | { readonly op: 'forget'; readonly key: TaskKey; readonly attempt: Attempt };

export function decodeMessage(body: unknown): WorkerMessage | null {
  if (!isObject(body)) return null;
  const machine = asString(body['drifter']);
  const tide = asCount(body['tide']);
  const tally = asCount(body['tally']);
  const helm = asCount(body['helm']);
  if (machine === undefined || machine === '' || tide === undefined || tally === undefined || helm === undefined)
    return null;
  const tasks: ListedTask[] = [];
  for (const item of asList(body['pieces'])) {
    if (!isObject(item)) return null;
    const key = asString(item['piece']) ?? '';
    const named = parseTaskKey(key);
    const launch = asCount(item['launch']);
    const state = STATES[asString(item['phase']) ?? ''];
    if (!named || launch === undefined || state === undefined) return null;
    tasks.push({
      key: key as TaskKey,
      ...named,
      attempt: attempt(launch),
      state,
      why: state === 'exited' ? (WHYS[asString(item['cause']) ?? ''] ?? 'error') : null,
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
    token: token(helm),
    noticeS: asNumber(body['recall_s']) ?? null,
    tasks,
  };
}

export function encodeOrder(order: Order): unknown {
  const named = { piece: order.key, launch: order.attempt };
  return order.op === 'stop' ? { verb: 'stop', ...named, moor_s: order.graceS } : { verb: order.op, ...named };
}

export const encodeReply = (helm: Token, orders: readonly Order[]): unknown => ({
  helm,
  orders: orders.map(encodeOrder),
});

export const encodeCommands = (helm: Token, tide: Session, orders: readonly Order[]): unknown => ({
  helm,
  tide,
  orders: orders.map(encodeOrder),
});

export const encodeRedirect = (to: NodeName | null): unknown => (to === null ? {} : { harbour: to });
