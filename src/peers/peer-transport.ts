import { Subject } from 'rxjs';
import type {
  Address,
  Connection,
  Incarnation,
  TcpListener,
  Logger,
  Millis,
  NodeName,
  Runtime,
  Timer,
} from '../kernel/index.js';
import { FrameSplitter, LENGTH_PREFIX_BYTES, OLDEST_FRAME_VERSION, FRAME_VERSION } from './frame-codec.js';
import {
  decodeMessage,
  encodeMessage,
  frameVersionHasKind,
  type ForwardedOperation,
  type PeerCondition,
  type PeerMessage,
} from './messages.js';
import { FrameCounter, type FrameCount } from './frame-counter.js';
import { PendingRequests, type ForwardedAnswer, type RequestCounts } from './pending-requests.js';

/** Frames sent to and received from peers, by message kind. */
export interface PeerTraffic {
  readonly sent: Readonly<Record<string, FrameCount>>;
  readonly received: Readonly<Record<string, FrameCount>>;
}

/** Beyond this much unsent data, frames to a peer are dropped. */
const MAX_BUFFERED_BYTES = 2 * 1024 * 1024;
const MAX_INCOMING_CONNECTIONS = 32;
const HELLO_INTERVAL_MS = 700;
const CONNECT_TIMEOUT_MS = 1500;

/** Latest hello of a peer. */
export interface PeerStatus extends PeerCondition {
  readonly node: NodeName;
  readonly incarnation: Incarnation;
  /** When the hello arrived. */
  readonly lastHelloAt: Millis;
}

/** Forwarded requests of this node, and its answers to those of peers. */
export interface ForwardingCounts extends RequestCounts {
  /** Answers that were not sent because the process that had asked is not the one at the end of the connection. */
  readonly undeliverableAnswers: number;
}

/** A message and the process that sent it. */
export interface ReceivedMessage {
  readonly from: NodeName;
  readonly incarnation: Incarnation;
  readonly message: PeerMessage;
}

/** A peer and the connection on which this node sends to it. */
interface OutgoingConnection {
  readonly node: NodeName;
  readonly address: Address;
  socket: Connection | undefined;
  /** The connection is established. */
  ready: boolean;
  /**
   * Frame version of this connection: the oldest one until the peer announces on it which version it reads. It is kept
   * for the connection and not for the node, because another release may soon answer at the same address.
   */
  version: number;
  /** The process at the other end; null until its welcome arrives. */
  incarnation: Incarnation | null;
}

/** Latest hello of a peer and the frame version of the connection to it. */
export interface RecentPeer extends PeerStatus {
  /** Frame version used on the connection to the peer; null while there is none. */
  readonly frames: number | null;
}

/**
 * Sends and receives frames between controllers. A node sends on the connections that it opened and receives on those
 * that its peers opened, apart from the welcome, which the accepting side sends back.
 */
export class PeerTransport {
  readonly received = new Subject<ReceivedMessage>();
  private readonly peers: OutgoingConnection[];
  private readonly status = new Map<NodeName, PeerStatus>();
  private readonly pendingRequests: PendingRequests;
  private undeliverableAnswers = 0;
  private server: TcpListener | undefined;
  private incomingCount = 0;
  private helloTimer: Timer | undefined;
  private skippedCount = 0;
  private readonly sentFrames = new FrameCounter();
  private readonly receivedFrames = new FrameCounter();

  constructor(
    private readonly self: NodeName,
    private readonly incarnation: Incarnation,
    private readonly listenAddress: Address,
    seeds: readonly { readonly node: NodeName; readonly address: Address }[],
    /** Returns the condition that this node announces in its hellos. */
    private readonly getCondition: () => PeerCondition,
    private readonly runtime: Runtime,
    private readonly log: Logger,
  ) {
    this.pendingRequests = new PendingRequests(incarnation, runtime);
    this.peers = seeds.map((seed) => ({
      ...seed,
      ...{ socket: undefined, ready: false, version: OLDEST_FRAME_VERSION, incarnation: null },
    }));
  }

  /** Starts listening, connects to all peers and sends hellos periodically. */
  start(): void {
    this.server = this.runtime.listen({
      ...this.listenAddress,
      accept: (socket) => this.acceptConnection(socket),
      failed: (error) => this.log.error({ err: error }, 'peer listener failed'),
    });
    this.connectAndSendHello();
    this.helloTimer = this.runtime.every(HELLO_INTERVAL_MS, () => this.connectAndSendHello());
  }

  /** Stops listening and closes the connections to all peers. */
  stop(): void {
    this.helloTimer?.cancel();
    this.server?.close();
    for (const peer of this.peers) peer.socket?.destroy();
  }

  /** Names of all configured peers, connected or not. */
  get peerNames(): readonly NodeName[] {
    return this.peers.map((peer) => peer.node);
  }

  /** Returns the latest hello of a peer; null when it is older than `withinMs`. */
  statusOf(node: NodeName, withinMs = 3000): PeerStatus | null {
    const status = this.status.get(node);
    return status && this.runtime.now() - status.lastHelloAt <= withinMs ? status : null;
  }

  /**
   * Whether the process that frames to a peer go to has announced a feature itself. The latest hello may be of a process
   * before it, of another release.
   */
  supportsFeature(node: NodeName, feature: string): boolean {
    const status = this.statusOf(node);
    const connectedTo = this.peers.find((peer) => peer.node === node)?.incarnation;
    return status !== null && status.incarnation === connectedTo && status.features.includes(feature);
  }

  /** Number of frames skipped because their version or kind is unknown to this program. */
  get skippedFrames(): number {
    return this.skippedCount;
  }

  /** Frames sent and received since the process started. */
  get traffic(): PeerTraffic {
    return { sent: this.sentFrames.byKind, received: this.receivedFrames.byKind };
  }

  /** Forwarded requests and their answers since the process started. */
  get forwarding(): ForwardingCounts {
    return { ...this.pendingRequests.counts, undeliverableAnswers: this.undeliverableAnswers };
  }

  /** Returns all peers that have sent a hello recently. */
  recentPeers(): RecentPeer[] {
    return this.peers.flatMap((peer) => {
      const status = this.statusOf(peer.node);
      return status ? [{ ...status, frames: peer.ready ? peer.version : null }] : [];
    });
  }

  /**
   * Sends a message to a peer. Returns false when it was not written: there is no connection, too much data is buffered,
   * the message cannot be encoded, or the peer's frame version lacks its kind.
   */
  send(to: NodeName, message: PeerMessage): boolean {
    const peer = this.peers.find((p) => p.node === to);
    return peer !== undefined && frameVersionHasKind(message.kind, peer.version) && this.write(peer, message);
  }

  /** Sends a message to all connected peers whose frame version has its kind. */
  broadcast(message: PeerMessage): void {
    // The message is encoded once per frame version in use.
    const frames = new Map<number, Buffer | undefined>();
    for (const peer of this.peers) {
      if (!this.canWrite(peer) || !frameVersionHasKind(message.kind, peer.version)) continue;
      if (!frames.has(peer.version)) frames.set(peer.version, this.encode(message, peer.version));
      this.write(peer, message, frames.get(peer.version));
    }
  }

  private encode(message: PeerMessage, version: number): Buffer | undefined {
    try {
      return encodeMessage(message, version);
    } catch (error) {
      this.log.warn({ err: error, kind: message.kind }, 'message could not be encoded as a frame');
      return undefined;
    }
  }

  private canWrite(peer: OutgoingConnection): boolean {
    return peer.socket !== undefined && peer.ready && peer.socket.writableLength <= MAX_BUFFERED_BYTES;
  }

  /** Forwards a user's request to a peer; resolves to null when it cannot be sent or no answer arrives in time. */
  forwardRequest(
    to: NodeName,
    op: ForwardedOperation,
    body: string,
    timeoutMs: number,
  ): Promise<ForwardedAnswer | null> {
    return this.pendingRequests.forward(to, timeoutMs, (id) => this.send(to, { kind: 'ask', id, op, body }));
  }

  /**
   * Sends the answer to a request that a process of a peer has forwarded. It is dropped unless the connection leads to
   * that very process: the process that follows an ended one would take it for the answer to a request of its own if the
   * request ids are the same. Releases before this one number the requests of every process from 1.
   */
  answerRequest(to: NodeName, asker: Incarnation, id: number, answer: ForwardedAnswer): void {
    const connectedTo = this.peers.find((peer) => peer.node === to)?.incarnation ?? null;
    if (connectedTo === asker) {
      this.send(to, { kind: 'answer', id, status: answer.status, body: answer.body });
      return;
    }
    this.undeliverableAnswers += 1;
    this.log.debug({ to, id, asker, connectedTo }, 'the process that forwarded a request is no longer connected');
  }

  /** Sends the current condition of this node to all peers without waiting for the next periodic hello. */
  broadcastHello(): void {
    this.broadcast(this.helloMessage());
  }

  private write(peer: OutgoingConnection, message: PeerMessage, frame = this.encode(message, peer.version)): boolean {
    if (!frame || !this.canWrite(peer)) return false;
    peer.socket?.write(frame);
    this.sentFrames.record(message.kind, frame.length);
    return true;
  }

  /** Opens missing connections and sends a hello to every connected peer. */
  private connectAndSendHello(): void {
    for (const peer of this.peers) {
      if (!peer.socket) this.connectTo(peer);
      this.write(peer, this.helloMessage());
    }
  }

  private helloMessage(): PeerMessage {
    return { kind: 'hello', node: this.self, incarnation: this.incarnation, ...this.getCondition() };
  }

  private welcomeMessage(): PeerMessage {
    return { kind: 'welcome', node: this.self, incarnation: this.incarnation, frames: FRAME_VERSION };
  }

  private connectTo(peer: OutgoingConnection): void {
    const socket = this.runtime.connect(peer.address);
    peer.socket = socket;
    peer.version = OLDEST_FRAME_VERSION;
    peer.incarnation = null;
    const timer = this.runtime.after(CONNECT_TIMEOUT_MS, () => socket.destroy());
    socket.on('connect', () => {
      timer.cancel();
      peer.ready = true;
      this.write(peer, this.helloMessage());
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      timer.cancel();
      peer.ready = false;
      peer.socket = undefined;
      peer.incarnation = null;
    });
    // After a network partition the connection stays open but inactive, and nothing written to it is acknowledged.
    socket.setTimeout(15_000, () => socket.destroy());
    this.readFrames(socket, peer.node, (message) => {
      if (message.kind !== 'welcome') return;
      peer.version = Math.max(OLDEST_FRAME_VERSION, Math.min(FRAME_VERSION, message.frames));
      peer.incarnation = message.incarnation;
    });
  }

  /** Decodes incoming frames. A malformed frame closes the connection; a frame of an unknown version or kind is skipped. */
  private readFrames(socket: Connection, from: NodeName | undefined, onMessage: (message: PeerMessage) => void): void {
    const splitter = new FrameSplitter();
    let skippedOnConnection = 0;
    let peerName = from;
    socket.on('data', (chunk: Buffer) => {
      try {
        for (const frame of splitter.push(chunk)) {
          const message = decodeMessage(frame);
          if (message === null) {
            this.skippedCount += 1;
            if (skippedOnConnection++ === 0)
              this.log.info(
                { from: peerName, version: frame[0], kind: frame[1] },
                'a frame of a later release is skipped',
              );
            continue;
          }
          this.receivedFrames.record(message.kind, frame.length + LENGTH_PREFIX_BYTES);
          if (message.kind === 'hello') peerName = message.node;
          onMessage(message);
        }
      } catch (error) {
        this.log.warn(
          { reason: error instanceof Error ? error.message : String(error), from: peerName },
          'a malformed frame was refused',
        );
        socket.destroy();
      }
    });
  }

  private acceptConnection(socket: Connection): void {
    if (this.incomingCount >= MAX_INCOMING_CONNECTIONS) {
      socket.destroy();
      return;
    }
    this.incomingCount += 1;
    let sender: { readonly from: NodeName; readonly incarnation: Incarnation } | undefined;
    this.readFrames(socket, undefined, (message) => {
      if (message.kind === 'hello') {
        if (sender === undefined) socket.write(encodeMessage(this.welcomeMessage(), FRAME_VERSION));
        const { node, incarnation, stateOk, fit, leaving, release, features, limitsFallen } = message;
        const condition = {
          node,
          incarnation,
          stateOk,
          fit,
          leaving,
          release,
          features,
          limitsFallen,
        };
        sender = { from: node, incarnation };
        this.status.set(node, { ...condition, lastHelloAt: this.runtime.now() });
      }
      if (sender === undefined) throw new Error('frame received before the hello');
      if (message.kind === 'answer')
        this.pendingRequests.settle(sender.from, message.id, { status: message.status, body: message.body });
      else this.received.next({ ...sender, message });
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.incomingCount -= 1;
    });
    socket.setTimeout(10_000, () => socket.destroy());
  }
}
