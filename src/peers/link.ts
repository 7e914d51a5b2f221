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
import { FrameSplitter, LENGTH_BYTES, OLDEST_VERSION, VERSION } from './codec.js';
import {
  decodeMessage,
  encodeMessage,
  isKindOf,
  type AskOp,
  type PeerCondition,
  type PeerMessage,
} from './messages.js';
import { FrameCounter, type FrameCount } from './traffic.js';

/** What this node has sent to its peers and received from them. */
export interface PeerTraffic {
  readonly sent: Readonly<Record<string, FrameCount>>;
  readonly received: Readonly<Record<string, FrameCount>>;
}

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
  /**
   * The frame version of this connection: the oldest until its other end has said on it what it reads. Learned by
   * connection and not by node, because another release may answer at the same address a moment later.
   */
  version: number;
}

/** What a peer that was heard is, as far as this node knows. */
export interface PeerView extends PeerStatus {
  /** Of the frames that go to it now; null while there is no connection. */
  readonly frames: number | null;
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
  private skipped = 0;
  private readonly sent = new FrameCounter();
  private readonly got = new FrameCounter();

  constructor(
    private readonly self: NodeName,
    private readonly incarnation: Incarnation,
    private readonly listenOn: Address,
    seeds: readonly { readonly node: NodeName; readonly address: Address }[],
    private readonly condition: () => PeerCondition,
    private readonly runtime: Runtime,
    private readonly log: Logger,
  ) {
    this.peers = seeds.map((seed) => ({ ...seed, socket: undefined, ready: false, version: OLDEST_VERSION }));
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

  /** Frames of a version or kind that this program doesn't know; each was skipped. */
  get skippedFrames(): number {
    return this.skipped;
  }

  get traffic(): PeerTraffic {
    return { sent: this.sent.byKind, received: this.got.byKind };
  }

  /** All peers that were heard lately. */
  views(): PeerView[] {
    return this.peers.flatMap((peer) => {
      const status = this.statusOf(peer.node);
      return status ? [{ ...status, frames: peer.ready ? peer.version : null }] : [];
    });
  }

  /** False: it wasn't written, for want of a connection or because the other end reads no such frame. */
  send(to: NodeName, message: PeerMessage): boolean {
    const peer = this.peers.find((p) => p.node === to);
    return peer !== undefined && isKindOf(message.kind, peer.version) && this.write(peer, message);
  }

  broadcast(message: PeerMessage): void {
    // Written once for each version that some peer reads.
    const frames = new Map<number, Buffer | undefined>();
    for (const peer of this.peers) {
      if (!this.canWrite(peer) || !isKindOf(message.kind, peer.version)) continue;
      if (!frames.has(peer.version)) frames.set(peer.version, this.encode(message, peer.version));
      this.write(peer, message, frames.get(peer.version));
    }
  }

  private encode(message: PeerMessage, version: number): Buffer | undefined {
    try {
      return encodeMessage(message, version);
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

  private write(peer: Outgoing, message: PeerMessage, frame = this.encode(message, peer.version)): boolean {
    if (!frame || !this.canWrite(peer)) return false;
    peer.socket?.write(frame);
    this.sent.note(message.kind, frame.length);
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

  private welcome(): PeerMessage {
    return { kind: 'welcome', node: this.self, incarnation: this.incarnation, frames: VERSION };
  }

  private open(peer: Outgoing): void {
    const socket = this.runtime.connect(peer.address);
    peer.socket = socket;
    peer.version = OLDEST_VERSION;
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
    this.read(socket, peer.node, (message) => {
      if (message.kind === 'welcome') peer.version = Math.max(OLDEST_VERSION, Math.min(VERSION, message.frames));
    });
  }

  /** Takes in frames; what is malformed costs no more than this connection, what is unknown nothing. */
  private read(socket: Connection, from: NodeName | undefined, take: (message: PeerMessage) => void): void {
    const splitter = new FrameSplitter();
    let skipped = 0;
    let name = from;
    socket.on('data', (chunk: Buffer) => {
      try {
        for (const frame of splitter.push(chunk)) {
          const message = decodeMessage(frame);
          if (message === null) {
            this.skipped += 1;
            if (skipped++ === 0)
              this.log.info({ from: name, version: frame[0], kind: frame[1] }, 'a frame of a later release is skipped');
            continue;
          }
          this.got.note(message.kind, frame.length + LENGTH_BYTES);
          if (message.kind === 'hello') name = message.node;
          take(message);
        }
      } catch (error) {
        this.log.warn(
          { reason: error instanceof Error ? error.message : String(error), from: name },
          'a malformed frame was refused',
        );
        socket.destroy();
      }
    });
  }

  private accept(socket: Connection): void {
    if (this.incoming >= MAX_INCOMING) {
      socket.destroy();
      return;
    }
    this.incoming += 1;
    let from: NodeName | undefined;
    this.read(socket, from, (message) => {
      if (message.kind === 'hello') {
        if (from === undefined) socket.write(encodeMessage(this.welcome(), VERSION));
        const { node, incarnation: life, stateOk, fit, leaving, release, features, limitsFallen } = message;
        const said = { node, incarnation: life, stateOk, fit, leaving, release, features, limitsFallen };
        from = node;
        this.status.set(node, { ...said, heardAt: this.runtime.now() });
      }
      if (from === undefined) throw new Error('a frame before the greeting');
      if (message.kind === 'answer') this.waiting.get(message.id)?.({ status: message.status, body: message.body });
      else this.received.next({ from, message });
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.incoming -= 1;
    });
    socket.setTimeout(10_000, () => socket.destroy());
  }
}
