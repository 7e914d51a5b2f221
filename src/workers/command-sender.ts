import {
  HttpClient,
  parseAddress,
  type Logger,
  type MachineId,
  type Millis,
  type Runtime,
  type SocketBudget,
} from '../kernel/index.js';
import type { MachineBelief } from './belief.js';
import { decodeMessage, encodeCommands, type Order, type WorkerMessage } from './wire.js';

const TIMEOUT_MS = 2500;
/** A command without orders only asks whether the worker is there. */
const PROBE_TIMEOUT_MS = 1000;
const MAX_ORDERS = 200;
const NO_SOCKET = /\b(?:EMFILE|ENFILE|EADDRNOTAVAIL|ENOBUFS)\b/;

export interface CommandSenderHooks {
  /** A newer message was taken in. */
  heard(message: WorkerMessage): void;
  superseded(): void;
}

/** Direct commands to one worker: one request at a time, so that their order is plain. */
export class CommandSender {
  private client: HttpClient | undefined;
  private busy = false;
  private address = '';
  private failedAt: Millis | undefined;
  failures = 0;

  constructor(
    readonly machine: MachineId,
    private readonly belief: MachineBelief,
    private readonly runtime: Runtime,
    private readonly log: Logger,
    private readonly hooks: CommandSenderHooks,
    private readonly sockets: SocketBudget,
  ) {}

  get idle(): boolean {
    return !this.busy;
  }

  get reachable(): boolean {
    return this.client !== undefined;
  }

  get knownAddress(): string {
    return this.address;
  }

  /** May be called again after a failure only after a short pause. */
  ready(): boolean {
    if (this.busy || !this.client || !(this.client.connected || this.sockets.room)) return false;
    if (this.failedAt === undefined) return true;
    return this.runtime.now() - this.failedAt > Math.min(2000, 200 * 2 ** Math.min(4, this.failures));
  }

  setAddress(text: string): void {
    if (text === this.address) return;
    const address = parseAddress(text);
    if (!address) return;
    this.client?.close();
    this.address = text;
    this.client = new HttpClient(address, 1, this.runtime, this.sockets);
  }

  close(): void {
    this.client?.close();
    this.client = undefined;
  }

  /** Sends orders. Starts must have been noted in the belief before. */
  async send(orders: readonly Order[]): Promise<void> {
    const client = this.client;
    if (!client || this.busy) return;
    const batch = orders.slice(0, MAX_ORDERS);
    const starts = batch.filter((o) => o.op === 'start').map((o) => o.key);
    const sent = this.belief.position;
    this.busy = true;
    try {
      const answer = await client.call({
        method: 'POST',
        path: '/commands',
        body: encodeCommands(this.belief.token, this.belief.session, batch),
        timeoutMs: batch.length > 0 ? TIMEOUT_MS : PROBE_TIMEOUT_MS,
      });
      const message = answer.kind === 'answered' ? decodeMessage(answer.body) : null;
      if (answer.kind === 'failed' || !message || (answer.status !== 200 && answer.status !== 409)) {
        // A process without a free socket has learned nothing about the machine.
        const ours = answer.kind === 'failed' && NO_SOCKET.test(answer.reason);
        if (!ours) this.failures += 1;
        this.failedAt = this.runtime.now();
        const reason = answer.kind === 'failed' ? answer.reason : `status ${answer.status}`;
        this.log.debug({ machine: this.machine, reason, starts: starts.length }, 'a command got no answer');
        // It may be executed minutes later: only a higher token that is acknowledged makes it void.
        if (starts.length > 0) this.belief.raiseToken();
        return;
      }
      this.failures = 0;
      this.failedAt = undefined;
      if (message.machine !== this.machine) {
        this.log.warn({ machine: this.machine, says: message.machine }, 'another worker answers at this address');
        if (starts.length > 0) this.belief.raiseToken();
        return;
      }
      const verdict = this.belief.takeAnswer(message, sent, this.runtime.now());
      // Answered: executed as a whole (200) or not at all (409), so these starts are settled. Not by an answer that
      // something else has overtaken: if that was a copy of an earlier life, it doesn't list what was started now.
      if (verdict !== 'stale') this.belief.settleStarts(starts);
      else if (starts.length > 0) this.belief.raiseToken();
      if (verdict === 'superseded') this.hooks.superseded();
      else this.hooks.heard(message);
    } finally {
      this.busy = false;
    }
  }
}
