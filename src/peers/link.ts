import { Subject } from 'rxjs';
import type {
  Address,
  Connection,
  Incarnation,
  Listening,
  Logger,
  Millis,
  NodeName,
  Runtime,
  Timer,
} from '../kernel/index.js';
import { FrameSplitter } from './codec.js';
import { decodeMessage, encodeMessage, type AskOp, type PeerCondition, type PeerMessage } from './messages.js';

const MAX_BUFFERED = 2 * 1024 * 1024;
const MAX_INCOMING = 32;
const HELLO_EVERY_MS = 700;
const CONNECT_TIMEOUT_MS = 1500;

export interface PeerStatus extends PeerCondition {
  readonly node: NodeName;
  readonly incarnation: Incarnation;
  readonly heardAt: Millis;
}

export interface Received {
  readonly from: NodeName;
  readonly message: PeerMessage;
}

interface Outgoing {
  readonly node: NodeName;
  readonly address: Address;
  socket: Connection | undefined;
  ready: boolean;
}

/** Frames between controllers. We send on connections that we opened and receive on the others'. */
export class PeerLink {
  readonly received = new Subject<Received>();
  private readonly peers: Outgoing[];
  private readonly status = new Map<NodeName, PeerStatus>();
  private readonly waiting = new Map<number, (answer: { status: number; body: string } | null) => void>();
  private server: Listening | undefined;
  private incoming = 0;
  private nextAsk = 1;
  private timer: Timer | undefined;

  constructor(
    private readonly self: NodeName,
    private readonly incarnation: Incarnation,
    private readonly listenOn: Address,
    seeds: readonly { readonly node: NodeName; readonly address: Address }[],
    private readonly condition: () => PeerCondition,
    private readonly runtime: Runtime,
    private readonly log: Logger,
  ) {
    this.peers = seeds.map((seed) => ({ ...seed, socket: undefined, ready: false }));
  }

  start(): void {
    this.server = this.runtime.listen({
      ...this.listenOn,
      accept: (socket) => this.accept(socket),
      failed: (error) => this.log.error({ err: error }, 'the peer listener failed'),
    });
    this.tick();
    this.timer = this.runtime.every(HELLO_EVERY_MS, () => this.tick());
  }

  stop(): void {
    this.timer?.cancel();
    this.server?.close();
    for (const peer of this.peers) peer.socket?.destroy();
  }

  get names(): readonly NodeName[] {
    return this.peers.map((peer) => peer.node);
  }

  /** What a peer last said of itself, if that was lately. */
  statusOf(node: NodeName, withinMs = 3000): PeerStatus | null {
    const status = this.status.get(node);
    return status && this.runtime.now() - status.heardAt <= withinMs ? status : null;
  }

  send(to: NodeName, message: PeerMessage): boolean {
    const peer = this.peers.find((p) => p.node === to);
    return peer !== undefined && this.write(peer, message);
  }

  broadcast(message: PeerMessage): void {
    let frame: Buffer | undefined;
    for (const peer of this.peers) {
      if (this.canWrite(peer)) this.write(peer, message, (frame ??= this.encode(message)));
    }
  }

  private encode(message: PeerMessage): Buffer | undefined {
    try {
      return encodeMessage(message);
    } catch (error) {
      this.log.warn({ err: error, kind: message.kind }, 'a frame could not be written');
      return undefined;
    }
  }

  private canWrite(peer: Outgoing): boolean {
    return peer.socket !== undefined && peer.ready && peer.socket.writableLength <= MAX_BUFFERED;
  }

  /** Asks a peer to serve a user's request; null when no answer came in time. */
  ask(to: NodeName, op: AskOp, body: string, timeoutMs: number): Promise<{ status: number; body: string } | null> {
    return new Promise((resolve) => {
      const id = this.nextAsk++ >>> 0;
      const timer = this.runtime.after(timeoutMs, () => {
        this.waiting.delete(id);
        resolve(null);
      });
      this.waiting.set(id, (answer) => {
        timer.cancel();
        this.waiting.delete(id);
        resolve(answer);
      });
      if (!this.send(to, { kind: 'ask', id, op, body })) this.waiting.get(id)?.(null);
    });
  }

  /** Tells all peers at once what has changed about this node. */
  greet(): void {
    this.broadcast(this.hello());
  }

  private write(peer: Outgoing, message: PeerMessage, frame = this.encode(message)): boolean {
    if (!frame || !this.canWrite(peer)) return false;
    peer.socket?.write(frame);
    return true;
  }

  private tick(): void {
    for (const peer of this.peers) {
      if (!peer.socket) this.open(peer);
      this.write(peer, this.hello());
    }
  }

  private hello(): PeerMessage {
    return { kind: 'hello', node: this.self, incarnation: this.incarnation, ...this.condition() };
  }

  private open(peer: Outgoing): void {
    const socket = this.runtime.connect(peer.address);
    peer.socket = socket;
    const timer = this.runtime.after(CONNECT_TIMEOUT_MS, () => socket.destroy());
    socket.on('connect', () => {
      timer.cancel();
      peer.ready = true;
      this.write(peer, this.hello());
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      timer.cancel();
      peer.ready = false;
      peer.socket = undefined;
    });
    // A peer that was cut off leaves a connection that is silent for ever: nothing we wrote is taken.
    socket.setTimeout(15_000, () => socket.destroy());
    socket.resume();
  }

  private accept(socket: Connection): void {
    if (this.incoming >= MAX_INCOMING) {
      socket.destroy();
      return;
    }
    this.incoming += 1;
    const splitter = new FrameSplitter();
    let from: NodeName | undefined;
    socket.on('data', (chunk: Buffer) => {
      try {
        for (const frame of splitter.push(chunk)) {
          const message = decodeMessage(frame);
          if (message.kind === 'hello') {
            from = message.node;
            this.status.set(from, {
              node: from,
              incarnation: message.incarnation,
              stateOk: message.stateOk,
              fit: message.fit,
              heardAt: this.runtime.now(),
            });
          }
          if (from === undefined) throw new Error('a frame before the greeting');
          if (message.kind === 'answer') {
            this.waiting.get(message.id)?.({ status: message.status, body: message.body });
          } else this.received.next({ from, message });
        }
      } catch (error) {
        // Whatever a peer sends, it costs no more than this connection.
        this.log.warn(
          { reason: error instanceof Error ? error.message : String(error), from },
          'a malformed frame was refused',
        );
        socket.destroy();
      }
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.incoming -= 1;
    });
    socket.setTimeout(10_000, () => socket.destroy());
  }
}
