import {
  attempt,
  machineId,
  parseTaskKey,
  sequence,
  session,
  token,
  type Attempt,
  type TaskKey,
  type Token,
} from '../../src/kernel/index.js';
import type { ListedTask, Order, WorkerMessage } from '../../src/workers/index.js';

/** A stand-in for one worker, by the protocol: tokens, sessions, refused and repeated commands. */
export class StandInWorker {
  private helm: Token = token(0);
  private tide = 1;
  private tally = 0;
  readonly tasks = new Map<TaskKey, ListedTask>();
  readonly started: { key: TaskKey; attempt: Attempt }[] = [];

  constructor(readonly id: string) {}

  get session(): number {
    return this.tide;
  }

  isOn(key: TaskKey): boolean {
    const task = this.tasks.get(key);
    return task !== undefined && task.state !== 'exited';
  }

  report(): WorkerMessage {
    this.tally += 1;
    return {
      machine: machineId(this.id),
      address: '',
      type: 't',
      zone: 'z',
      spot: false,
      session: session(this.tide),
      sequence: sequence(this.tally),
      token: this.helm,
      noticeS: null,
      tasks: [...this.tasks.values()],
    };
  }

  /** The answer to a report: dropped when its token is lower. */
  onReply(helm: Token, orders: readonly Order[]): void {
    if (helm < this.helm) return;
    this.helm = helm;
    this.execute(orders);
  }

  onCommands(helm: Token, tide: number, orders: readonly Order[]): { status: 200 | 409; message: WorkerMessage } {
    if (helm < this.helm || tide !== this.tide) return { status: 409, message: this.report() };
    this.helm = helm;
    this.execute(orders);
    return { status: 200, message: this.report() };
  }

  finish(key: TaskKey): void {
    const task = this.tasks.get(key);
    if (task && task.state !== 'exited') this.tasks.set(key, { ...task, state: 'exited', why: 'done' });
  }

  expire(): void {
    this.tasks.clear();
    this.tide += 1;
  }

  private execute(orders: readonly Order[]): void {
    for (const order of orders) {
      const known = this.tasks.get(order.key);
      if (order.op === 'start') {
        if (known?.attempt === order.attempt) continue;
        if (known && known.state !== 'exited') continue;
        const named = parseTaskKey(order.key);
        if (!named) continue;
        this.started.push({ key: order.key, attempt: order.attempt });
        this.tasks.set(order.key, {
          key: order.key,
          ...named,
          attempt: attempt(order.attempt),
          state: 'running',
          why: null,
          saved: false,
        });
      } else if (known?.attempt === order.attempt) {
        if (order.op === 'forget' && known.state === 'exited') this.tasks.delete(order.key);
        if (order.op === 'stop' && known.state !== 'exited')
          this.tasks.set(order.key, { ...known, state: 'exited', why: 'stopped' });
      }
    }
  }
}
