import {
  HttpClient,
  parseAddress,
  type Logger,
  type MachineId,
  type Millis,
  type Runtime,
  type SocketBudget,
} from '../kernel/index.js';
import type { WorkerTracker } from './worker-tracker.js';
import { decodeWorkerMessage, encodeCommands, type Order, type WorkerMessage } from './wire.js';

const COMMAND_TIMEOUT_MS = 2500;
/** Timeout of a command without orders, which only asks whether the worker answers. */
const PROBE_TIMEOUT_MS = 1000;
const MAX_ORDERS_PER_COMMAND = 200;
/** Error codes of a process that has run out of sockets or ports. */
const LOCAL_SOCKET_ERROR = /\b(?:EMFILE|ENFILE|EADDRNOTAVAIL|ENOBUFS)\b/;

/**
 * The orders that the next command to a worker carries. Starts go first: the room that they take was planned for, while
 * stops are repeated anyway. The caller must not take the others for sent.
 */
export function nextCommandOrders(orders: readonly Order[]): readonly Order[] {
  if (orders.length <= MAX_ORDERS_PER_COMMAND) return orders;
  const starts = orders.filter(({ op }) => op === 'start');
  const others = orders.filter(({ op }) => op !== 'start');
  return [...starts, ...others].slice(0, MAX_ORDERS_PER_COMMAND);
}

/** Callbacks of a command sender. */
export interface CommandSenderHooks {
  /** Called when the worker has answered with a token not above this holder's. */
  heard(message: WorkerMessage): void;
  /** Called when the worker has acknowledged a higher token: another holder has the machine. */
  superseded(): void;
}

/** Sends commands to one worker, one request at a time, so that the worker receives them in order. */
export class CommandSender {
  private client: HttpClient | undefined;
  private busy = false;
  private address = '';
  private failedAt: Millis | undefined;
  /** Commands in a row without a valid answer. A lack of local sockets doesn't count. */
  failures = 0;

  constructor(
    readonly machine: MachineId,
    private readonly tracker: WorkerTracker,
    private readonly runtime: Runtime,
    private readonly log: Logger,
    private readonly hooks: CommandSenderHooks,
    private readonly sockets: SocketBudget,
  ) {}

  /** True while no command is in flight. */
  get idle(): boolean {
    return !this.busy;
  }

  /** True when the worker's address is known and the sender is not closed. */
  get reachable(): boolean {
    return this.client !== undefined;
  }

  /** The worker's address; empty when none is known. */
  get knownAddress(): string {
    return this.address;
  }

  /** True when no command is in flight, a connection can be used, and the backoff after a failure is over. */
  ready(): boolean {
    if (this.busy || !this.client || !(this.client.connected || this.sockets.hasRoom)) return false;
    if (this.failedAt === undefined) return true;
    return this.runtime.now() - this.failedAt > Math.min(2000, 200 * 2 ** Math.min(4, this.failures));
  }

  /** Sets the worker's address; an unchanged or malformed one is ignored. */
  setAddress(text: string): void {
    if (text === this.address) return;
    const address = parseAddress(text);
    if (!address) return;
    this.client?.close();
    this.address = text;
    this.client = new HttpClient(address, 1, this.runtime, this.sockets);
  }

  /** Closes the connection; nothing is sent until an address is set. */
  close(): void {
    this.client?.close();
    this.client = undefined;
  }

  /**
   * Sends all orders as one command; see `nextCommandOrders`. Their starts must have been recorded in the tracker before.
   */
  async send(orders: readonly Order[]): Promise<void> {
    const client = this.client;
    if (!client || this.busy) return;
    const starts = orders.filter((o) => o.op === 'start').map((o) => o.key);
    const sent = this.tracker.position;
    this.busy = true;
    try {
      const answer = await client.call({
        method: 'POST',
        path: '/commands',
        body: encodeCommands(this.tracker.token, this.tracker.session, orders),
        timeoutMs: orders.length > 0 ? COMMAND_TIMEOUT_MS : PROBE_TIMEOUT_MS,
      });
      const message = answer.kind === 'answered' ? decodeWorkerMessage(answer.body) : null;
      if (answer.kind === 'failed' || !message || (answer.status !== 200 && answer.status !== 409)) {
        // A lack of local sockets says nothing about the worker.
        const localError = answer.kind === 'failed' && LOCAL_SOCKET_ERROR.test(answer.reason);
        if (!localError) this.failures += 1;
        this.failedAt = this.runtime.now();
        const reason = answer.kind === 'failed' ? answer.reason : `status ${answer.status}`;
        this.log.debug(
          { machine: this.machine, reason, starts: starts.length },
          'a worker gave no valid answer to a command',
        );
        // The command may be executed minutes later. Only a higher token that the worker acknowledges rules that out.
        if (starts.length > 0) this.tracker.raiseToken();
        return;
      }
      this.failures = 0;
      this.failedAt = undefined;
      if (message.machine !== this.machine) {
        this.log.warn(
          { machine: this.machine, says: message.machine },
          'another worker answers at the address of this machine',
        );
        if (starts.length > 0) this.tracker.raiseToken();
        return;
      }
      const outcome = this.tracker.applyAnswer(message, sent, this.runtime.now());
      // An answered command was executed as a whole (200) or not at all (409), which settles its starts. A stale answer
      // doesn't settle them: the message that overtook it may be a copy from before a restart, which doesn't list them.
      if (outcome !== 'stale') this.tracker.settleStarts(starts);
      else if (starts.length > 0) this.tracker.raiseToken();
      if (outcome === 'superseded') this.hooks.superseded();
      else this.hooks.heard(message);
    } finally {
      this.busy = false;
    }
  }
}
