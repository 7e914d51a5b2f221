import { Duplex } from 'node:stream';
import type { Connection, Endpoint, TcpListener, ListenOptions, Runtime, Timer } from '../../../../src/kernel/index.js';
import type { RandomStream } from './random-stream.js';
import type { EventQueue } from './event-queue.js';

/** A host of the simulated network. Without power it neither answers packets nor resets connections. */
export interface Host {
  readonly ip: string;
  /** The host's zone; null for a host that belongs to the region as a whole. */
  readonly zone: string | null;
  powered: boolean;
}

/** The process that owns sockets. */
export interface SocketOwner extends Pick<Runtime, 'now' | 'after'> {
  readonly host: Host;
  readonly alive: boolean;
  /** Upper bound of its open connections, incoming and outgoing together. */
  readonly maxSockets: number;
  /** Runs a callback now, or once the process is thawed; never if the process has ended. */
  run(work: () => void): void;
}

/**
 * What a partition does to packets. `hold`: connections hang, and sent packets are delivered in order once the
 * partition ends, even if the sender has closed the connection by then. `reset`: open connections are reset at once,
 * new ones hang. `refuse`: open connections are reset at once and new ones are refused.
 */
export type PartitionKind = 'hold' | 'reset' | 'refuse';

/** A network partition, which is in force from `Network.addPartition` to `Network.removePartition`. */
export interface Partition {
  readonly kind: PartitionKind;
  /** Returns whether the partition separates `a` from `b`. Called with the hosts in both orders. */
  readonly between: (a: Host, b: Host) => boolean;
}

/** One-way latencies of the simulated network. */
export interface NetworkParameters {
  readonly sameZoneMs: number;
  readonly crossZoneMs: number;
  /** Each delay deviates from its base by up to this share in either direction. */
  readonly jitter: number;
}

type Packet = { readonly kind: 'data'; readonly bytes: Buffer } | { readonly kind: 'end' } | { readonly kind: 'reset' };

/** The operating system gives up a connection attempt without an answer after this time. */
const SYN_TIMEOUT_MS = 60_000;
const FIRST_EPHEMERAL_PORT = 32_768;

const networkError = (code: string): Error => Object.assign(new Error(code), { code });

/** One direction of a connection. Packets arrive in the order in which they were sent. */
interface Pipe {
  readonly from: Host;
  readonly to: SimSocket;
  /** Simulated time at which the latest packet arrives; later packets do not overtake it. */
  lastArrivalMs: number;
  /** Packets that a partition holds back, in order of arrival. */
  heldPackets: Packet[];
}

/** One end of a simulated connection. */
export class SimSocket extends Duplex implements Connection {
  /** Idle timeout in milliseconds; 0 for none. */
  timeout = 0;
  outgoing: Pipe | undefined;
  private unsentPackets: Packet[] = [];
  private endSent = false;
  private idleTimer: Timer | undefined;
  /** The owning process has ended: packets that arrive are not passed to a program. */
  ownerEnded = false;

  constructor(
    readonly owner: SocketOwner,
    private readonly network: Network,
    readonly remoteAddress: string,
    allowHalfOpen: boolean,
  ) {
    super({ allowHalfOpen, autoDestroy: true, highWaterMark: 1 << 20 });
  }

  /** Marks the connection as established and sends what was written before. */
  establish(out: Pipe): void {
    this.outgoing = out;
    for (const packet of this.unsentPackets.splice(0)) this.network.send(out, packet);
  }

  override _read(): void {
    // Packets are pushed as they arrive.
  }

  override _write(chunk: Buffer, _encoding: BufferEncoding, done: (error?: Error | null) => void): void {
    this.recordActivity();
    this.emitPacket({ kind: 'data', bytes: chunk });
    done();
  }

  override _final(done: (error?: Error | null) => void): void {
    this.sendEnd();
    done();
  }

  override _destroy(error: Error | null, done: (error?: Error | null) => void): void {
    this.idleTimer?.cancel();
    this.sendEnd();
    this.network.untrackSocket(this);
    done(error);
  }

  private sendEnd(): void {
    if (this.endSent) return;
    this.endSent = true;
    this.emitPacket({ kind: 'end' });
  }

  private emitPacket(packet: Packet): void {
    if (this.outgoing) this.network.send(this.outgoing, packet);
    else this.unsentPackets.push(packet);
  }

  /** The owning process has ended: the operating system resets the connection, and the program gets no event. */
  onOwnerEnded(): void {
    this.ownerEnded = true;
    this.idleTimer?.cancel();
    this.removeAllListeners();
    this.on('error', () => undefined);
    if (this.outgoing) this.network.send(this.outgoing, { kind: 'reset' });
  }

  /** Handles a packet that has arrived; data for a closed socket is answered with a reset. */
  receive(packet: Packet): void {
    if (this.ownerEnded || this.destroyed) {
      if (packet.kind === 'data' && this.outgoing) this.network.send(this.outgoing, { kind: 'reset' });
      return;
    }
    this.recordActivity();
    if (packet.kind === 'data') this.push(packet.bytes);
    else if (packet.kind === 'end') this.push(null);
    else this.destroy(networkError('ECONNRESET'));
  }

  /** Destroys the socket with a network error, unless it is closed already. */
  fail(code: string): void {
    if (!this.destroyed && !this.ownerEnded) this.destroy(networkError(code));
  }

  setTimeout(ms: number, callback?: () => void): this {
    this.timeout = ms;
    if (callback) this.once('timeout', callback);
    this.recordActivity();
    return this;
  }

  setNoDelay(): this {
    return this;
  }

  private lastActivityMs = 0;

  /**
   * Records activity for the idle timeout. The timer is not restarted for each packet, which would cost more than the
   * packet itself; instead it checks the last activity when it expires.
   */
  private recordActivity(): void {
    this.lastActivityMs = this.owner.now();
    if (this.timeout === 0) {
      this.idleTimer?.cancel();
      this.idleTimer = undefined;
    } else this.idleTimer ??= this.startIdleTimer(this.timeout);
  }

  private startIdleTimer(ms: number): Timer {
    return this.owner.after(ms, () => {
      this.idleTimer = undefined;
      if (this.timeout === 0 || this.destroyed) return;
      const left = this.lastActivityMs + this.timeout - this.owner.now();
      if (left > 1) this.idleTimer = this.startIdleTimer(left);
      else this.emit('timeout');
    });
  }
}

interface Listener {
  readonly owner: SocketOwner;
  readonly options: ListenOptions;
  openConnections: number;
}

/** The simulated network: hosts, connections between them, and partitions. */
export class Network {
  private readonly hosts = new Map<string, Host>();
  private readonly listeners = new Map<string, Listener>();
  private readonly sockets = new Map<SocketOwner, Set<SimSocket>>();
  private readonly listenerBySocket = new Map<SimSocket, Listener>();
  private readonly partitions = new Set<Partition>();
  private readonly pipesWithHeldPackets = new Set<Pipe>();
  private nextPort = FIRST_EPHEMERAL_PORT;

  constructor(
    private readonly eventQueue: EventQueue,
    private readonly parameters: NetworkParameters,
    private readonly random: RandomStream,
  ) {}

  /** Adds a powered host. */
  addHost(ip: string, zone: string | null): Host {
    const host: Host = { ip, zone, powered: true };
    this.hosts.set(ip, host);
    return host;
  }

  /** Powers a host off and removes it from the network. */
  removeHost(host: Host): void {
    host.powered = false;
    this.hosts.delete(host.ip);
  }

  /** Number of open connections of a process. */
  socketCount(process: SocketOwner): number {
    return this.sockets.get(process)?.size ?? 0;
  }

  /** Puts a partition into force. Unless it holds packets, it resets all open connections that it separates. */
  addPartition(partition: Partition): void {
    this.partitions.add(partition);
    if (partition.kind === 'hold') return;
    for (const processSockets of this.sockets.values()) {
      for (const socket of processSockets) {
        const remote = this.hosts.get(socket.remoteAddress);
        if (remote && this.liesBetween(partition, socket.owner.host, remote))
          socket.owner.run(() => socket.fail('ECONNRESET'));
      }
    }
  }

  /** Ends a partition and delivers the packets that it held, unless another partition still separates the hosts. */
  removePartition(partition: Partition): void {
    this.partitions.delete(partition);
    for (const pipe of [...this.pipesWithHeldPackets]) {
      if (this.partitionBetween(pipe.from, pipe.to.owner.host)) continue;
      this.pipesWithHeldPackets.delete(pipe);
      const { heldPackets } = pipe;
      pipe.heldPackets = [];
      for (const packet of heldPackets) this.send(pipe, packet);
    }
  }

  private liesBetween(partition: Partition, a: Host, b: Host): boolean {
    return partition.between(a, b) || partition.between(b, a);
  }

  private partitionBetween(a: Host, b: Host): Partition | undefined {
    for (const partition of this.partitions) if (this.liesBetween(partition, a, b)) return partition;
    return undefined;
  }

  private oneWayDelayMs(a: Host, b: Host): number {
    const baseMs = a.zone === b.zone ? this.parameters.sameZoneMs : this.parameters.crossZoneMs;
    return baseMs * (1 + this.parameters.jitter * (this.random.next() * 2 - 1));
  }

  /** Sends a packet; it arrives after the latency, and never before a packet that was sent earlier. */
  send(pipe: Pipe, packet: Packet): void {
    // A host without power sends nothing.
    if (!pipe.from.powered) return;
    const arrivalMs = Math.max(
      pipe.lastArrivalMs,
      this.eventQueue.now + this.oneWayDelayMs(pipe.from, pipe.to.owner.host),
    );
    pipe.lastArrivalMs = arrivalMs;
    this.eventQueue.schedule(arrivalMs, () => this.deliver(pipe, packet));
  }

  private deliver(pipe: Pipe, packet: Packet): void {
    const host = pipe.to.owner.host;
    if (pipe.heldPackets.length > 0 || this.partitionBetween(pipe.from, host)) {
      pipe.heldPackets.push(packet);
      this.pipesWithHeldPackets.add(pipe);
    } else if (host.powered) pipe.to.owner.run(() => pipe.to.receive(packet));
  }

  /** Listens on a port; port 0 takes the next free one. An address in use is reported through `options.failed`. */
  listen(owner: SocketOwner, options: ListenOptions): TcpListener {
    const port = options.port === 0 ? this.nextPort++ : options.port;
    const key = `${owner.host.ip}:${port}`;
    const existing = this.listeners.get(key);
    if (existing?.owner.alive === true) owner.after(0, () => options.failed(networkError('EADDRINUSE')));
    else this.listeners.set(key, { owner, options, openConnections: 0 });
    return {
      ready: Promise.resolve(port),
      close: () => {
        if (this.listeners.get(key)?.owner === owner) this.listeners.delete(key);
      },
    };
  }

  /** Opens a connection. A process at its socket limit gets EMFILE. */
  connect(from: SocketOwner, { host: ip, port }: Endpoint): SimSocket {
    const socket = new SimSocket(from, this, ip, false);
    if (!from.alive) {
      socket.ownerEnded = true;
      return socket;
    }
    if (this.socketCount(from) >= from.maxSockets) {
      from.after(0, () => socket.fail('EMFILE'));
      return socket;
    }
    this.trackSocket(socket);
    const remoteHost = this.hosts.get(ip);
    const partition = remoteHost && this.partitionBetween(from.host, remoteHost);
    if (partition?.kind === 'refuse') from.after(1, () => socket.fail('ECONNREFUSED'));
    else if (!remoteHost || partition) from.after(SYN_TIMEOUT_MS, () => socket.fail('ETIMEDOUT'));
    else
      this.eventQueue.schedule(this.eventQueue.now + this.oneWayDelayMs(from.host, remoteHost), () =>
        this.completeHandshake(socket, remoteHost, port),
      );
    return socket;
  }

  private completeHandshake(socket: SimSocket, remoteHost: Host, port: number): void {
    const from = socket.owner;
    // An attempt that the client has given up does not complete later.
    if (socket.destroyed || !from.alive) return;
    const listener = this.listeners.get(`${remoteHost.ip}:${port}`);
    const returnDelayMs = this.oneWayDelayMs(remoteHost, from.host);
    if (!remoteHost.powered || this.partitionBetween(from.host, remoteHost)) {
      from.after(SYN_TIMEOUT_MS, () => socket.fail('ETIMEDOUT'));
      return;
    }
    const { maxConnections } = listener?.options ?? {};
    const atConnectionLimit =
      listener !== undefined &&
      ((maxConnections !== undefined && listener.openConnections >= maxConnections) ||
        this.socketCount(listener.owner) >= listener.owner.maxSockets);
    if (!listener?.owner.alive || atConnectionLimit) {
      this.eventQueue.schedule(this.eventQueue.now + returnDelayMs, () => from.run(() => socket.fail('ECONNREFUSED')));
      return;
    }
    const serverSocket = new SimSocket(listener.owner, this, from.host.ip, listener.options.allowHalfOpen === true);
    this.trackSocket(serverSocket);
    this.listenerBySocket.set(serverSocket, listener);
    listener.openConnections += 1;
    serverSocket.establish({
      from: remoteHost,
      to: socket,
      lastArrivalMs: this.eventQueue.now + returnDelayMs,
      heldPackets: [],
    });
    // The operating system completes the handshake; the program sees the connection when it runs.
    this.eventQueue.schedule(this.eventQueue.now + returnDelayMs, () => {
      if (socket.destroyed || socket.ownerEnded) {
        serverSocket.owner.run(() => serverSocket.receive({ kind: 'end' }));
        return;
      }
      socket.establish({ from: from.host, to: serverSocket, lastArrivalMs: this.eventQueue.now, heldPackets: [] });
      from.run(() => {
        if (!socket.destroyed) socket.emit('connect');
      });
    });
    listener.owner.run(() => listener.options.accept(serverSocket));
  }

  private trackSocket(socket: SimSocket): void {
    let processSockets = this.sockets.get(socket.owner);
    if (!processSockets) this.sockets.set(socket.owner, (processSockets = new Set()));
    processSockets.add(socket);
  }

  /** Releases the connection's place in the limits of its process and its listener. */
  untrackSocket(socket: SimSocket): void {
    this.sockets.get(socket.owner)?.delete(socket);
    const listener = this.listenerBySocket.get(socket);
    if (listener) listener.openConnections -= 1;
    this.listenerBySocket.delete(socket);
  }

  /** Removes the listeners of a process that has ended and resets its connections. A host without power sends no reset. */
  onProcessEnded(process: SocketOwner): void {
    for (const [key, listener] of this.listeners) if (listener.owner === process) this.listeners.delete(key);
    for (const socket of this.sockets.get(process) ?? []) {
      this.listenerBySocket.delete(socket);
      if (process.host.powered) socket.onOwnerEnded();
      else {
        socket.ownerEnded = true;
        socket.removeAllListeners();
        socket.on('error', () => undefined);
      }
    }
    this.sockets.delete(process);
  }
}
