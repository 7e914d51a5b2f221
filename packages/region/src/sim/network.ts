import { Duplex } from 'node:stream';
import type { Connection, Endpoint, TcpListener, ListenOptions, Runtime, Timer } from '../../../../src/kernel/index.js';
import type { Luck } from './luck.js';
import type { World } from './world.js';

/** An address in the network. Without power it is silent: nothing is answered, and nothing fails. */
export interface Host {
  readonly ip: string;
  /** null: it belongs to the region, not to a zone. */
  readonly zone: string | null;
  powered: boolean;
}

/** A process, as far as its connections go. */
export interface SocketOwner extends Pick<Runtime, 'now' | 'after'> {
  readonly host: Host;
  readonly alive: boolean;
  /** Open connections that it may have, in both directions. */
  readonly maxSockets: number;
  /** Runs now, after the process stands still no more, or never. */
  run(work: () => void): void;
}

/**
 * What a cut does to packets. `hold`: connections hang, what was sent is delivered in order once the
 * cut is over, even when the sender has given up. `reset`: connections break at once, new ones hang.
 * `refuse`: connections break at once and new ones are refused.
 */
export type CutKind = 'hold' | 'reset' | 'refuse';

export interface Cut {
  readonly kind: CutKind;
  /** Does it lie between these two? Asked in both orders. */
  readonly between: (a: Host, b: Host) => boolean;
}

export interface NetworkFacts {
  readonly sameZoneMs: number;
  readonly crossZoneMs: number;
  /** Delays are spread by this share. */
  readonly jitter: number;
}

type Packet = { readonly kind: 'data'; readonly bytes: Buffer } | { readonly kind: 'end' } | { readonly kind: 'reset' };

/** A connection that nobody answers is given up by the system after this long. */
const SYN_TIMEOUT_MS = 60_000;
const FIRST_PORT = 32_768;

const networkError = (code: string): Error => Object.assign(new Error(code), { code });

/** One direction of a connection: packets arrive in the order in which they were sent. */
interface Pipe {
  readonly from: Host;
  readonly to: SimSocket;
  lastAt: number;
  held: Packet[];
}

/** One end of a simulated connection. */
export class SimSocket extends Duplex implements Connection {
  timeout = 0;
  out: Pipe | undefined;
  private unsent: Packet[] = [];
  private finished = false;
  private silence: Timer | undefined;
  /** Its process is gone: nothing that arrives reaches a program. */
  orphaned = false;

  constructor(
    readonly owner: SocketOwner,
    private readonly network: Network,
    readonly remoteAddress: string,
    allowHalfOpen: boolean,
  ) {
    super({ allowHalfOpen, autoDestroy: true, highWaterMark: 1 << 20 });
  }

  /** The connection stands: what was written before goes out. */
  join(out: Pipe): void {
    this.out = out;
    for (const packet of this.unsent.splice(0)) this.network.send(out, packet);
  }

  override _read(): void {
    // Packets are pushed as they arrive.
  }

  override _write(chunk: Buffer, _encoding: BufferEncoding, done: (error?: Error | null) => void): void {
    this.touch();
    this.emitPacket({ kind: 'data', bytes: chunk });
    done();
  }

  override _final(done: (error?: Error | null) => void): void {
    this.finish();
    done();
  }

  override _destroy(error: Error | null, done: (error?: Error | null) => void): void {
    this.silence?.cancel();
    this.finish();
    this.network.closed(this);
    done(error);
  }

  private finish(): void {
    if (this.finished) return;
    this.finished = true;
    this.emitPacket({ kind: 'end' });
  }

  private emitPacket(packet: Packet): void {
    if (this.out) this.network.send(this.out, packet);
    else this.unsent.push(packet);
  }

  /** Its process ended: the system closes the connection, and the program is told nothing. */
  orphan(): void {
    this.orphaned = true;
    this.silence?.cancel();
    this.removeAllListeners();
    this.on('error', () => undefined);
    if (this.out) this.network.send(this.out, { kind: 'reset' });
  }

  receive(packet: Packet): void {
    if (this.orphaned || this.destroyed) {
      if (packet.kind === 'data' && this.out) this.network.send(this.out, { kind: 'reset' });
      return;
    }
    this.touch();
    if (packet.kind === 'data') this.push(packet.bytes);
    else if (packet.kind === 'end') this.push(null);
    else this.destroy(networkError('ECONNRESET'));
  }

  fail(code: string): void {
    if (!this.destroyed && !this.orphaned) this.destroy(networkError(code));
  }

  setTimeout(ms: number, callback?: () => void): this {
    this.timeout = ms;
    if (callback) this.once('timeout', callback);
    this.touch();
    return this;
  }

  setNoDelay(): this {
    return this;
  }

  private lastTouch = 0;

  /** Restarting a timer for each packet would cost more than the packet: one look at the end of each wait. */
  private touch(): void {
    this.lastTouch = this.owner.now();
    if (this.timeout === 0) {
      this.silence?.cancel();
      this.silence = undefined;
    } else this.silence ??= this.watch(this.timeout);
  }

  private watch(ms: number): Timer {
    return this.owner.after(ms, () => {
      this.silence = undefined;
      if (this.timeout === 0 || this.destroyed) return;
      const left = this.lastTouch + this.timeout - this.owner.now();
      if (left > 1) this.silence = this.watch(left);
      else this.emit('timeout');
    });
  }
}

interface Listener {
  readonly owner: SocketOwner;
  readonly options: ListenOptions;
  open: number;
}

/** Hosts, connections between them, and what cuts them. */
export class Network {
  private readonly hosts = new Map<string, Host>();
  private readonly listeners = new Map<string, Listener>();
  private readonly sockets = new Map<SocketOwner, Set<SimSocket>>();
  private readonly acceptedBy = new Map<SimSocket, Listener>();
  private readonly cuts = new Set<Cut>();
  private readonly holding = new Set<Pipe>();
  private nextPort = FIRST_PORT;

  constructor(
    private readonly world: World,
    private readonly facts: NetworkFacts,
    private readonly luck: Luck,
  ) {}

  host(ip: string, zone: string | null): Host {
    const host: Host = { ip, zone, powered: true };
    this.hosts.set(ip, host);
    return host;
  }

  remove(host: Host): void {
    host.powered = false;
    this.hosts.delete(host.ip);
  }

  /** How many connections a process has. */
  socketsOf(process: SocketOwner): number {
    return this.sockets.get(process)?.size ?? 0;
  }

  cut(cut: Cut): void {
    this.cuts.add(cut);
    if (cut.kind === 'hold') return;
    for (const set of this.sockets.values()) {
      for (const socket of set) {
        const remote = this.hosts.get(socket.remoteAddress);
        if (remote && this.lies(cut, socket.owner.host, remote)) socket.owner.run(() => socket.fail('ECONNRESET'));
      }
    }
  }

  heal(cut: Cut): void {
    this.cuts.delete(cut);
    for (const pipe of [...this.holding]) {
      if (this.between(pipe.from, pipe.to.owner.host)) continue;
      this.holding.delete(pipe);
      const { held } = pipe;
      pipe.held = [];
      for (const packet of held) this.send(pipe, packet);
    }
  }

  private lies(cut: Cut, a: Host, b: Host): boolean {
    return cut.between(a, b) || cut.between(b, a);
  }

  private between(a: Host, b: Host): Cut | undefined {
    for (const cut of this.cuts) if (this.lies(cut, a, b)) return cut;
    return undefined;
  }

  private delay(a: Host, b: Host): number {
    const base = a.zone === b.zone ? this.facts.sameZoneMs : this.facts.crossZoneMs;
    return base * (1 + this.facts.jitter * (this.luck.next() * 2 - 1));
  }

  send(pipe: Pipe, packet: Packet): void {
    // A machine that is gone says nothing more.
    if (!pipe.from.powered) return;
    const at = Math.max(pipe.lastAt, this.world.now + this.delay(pipe.from, pipe.to.owner.host));
    pipe.lastAt = at;
    this.world.plan(at, () => this.arrive(pipe, packet));
  }

  private arrive(pipe: Pipe, packet: Packet): void {
    const host = pipe.to.owner.host;
    if (pipe.held.length > 0 || this.between(pipe.from, host)) {
      pipe.held.push(packet);
      this.holding.add(pipe);
    } else if (host.powered) pipe.to.owner.run(() => pipe.to.receive(packet));
  }

  listen(owner: SocketOwner, options: ListenOptions): TcpListener {
    const port = options.port === 0 ? this.nextPort++ : options.port;
    const key = `${owner.host.ip}:${port}`;
    const taken = this.listeners.get(key);
    if (taken?.owner.alive === true) owner.after(0, () => options.failed(networkError('EADDRINUSE')));
    else this.listeners.set(key, { owner, options, open: 0 });
    return {
      ready: Promise.resolve(port),
      close: () => {
        if (this.listeners.get(key)?.owner === owner) this.listeners.delete(key);
      },
    };
  }

  connect(from: SocketOwner, { host: ip, port }: Endpoint): SimSocket {
    const socket = new SimSocket(from, this, ip, false);
    if (!from.alive) {
      socket.orphaned = true;
      return socket;
    }
    if (this.socketsOf(from) >= from.maxSockets) {
      from.after(0, () => socket.fail('EMFILE'));
      return socket;
    }
    this.keep(socket);
    const there = this.hosts.get(ip);
    const cut = there && this.between(from.host, there);
    if (cut?.kind === 'refuse') from.after(1, () => socket.fail('ECONNREFUSED'));
    else if (!there || cut) from.after(SYN_TIMEOUT_MS, () => socket.fail('ETIMEDOUT'));
    else this.world.plan(this.world.now + this.delay(from.host, there), () => this.knock(socket, there, port));
    return socket;
  }

  private knock(socket: SimSocket, there: Host, port: number): void {
    const from = socket.owner;
    // An attempt that was given up does not complete later.
    if (socket.destroyed || !from.alive) return;
    const listener = this.listeners.get(`${there.ip}:${port}`);
    const back = this.delay(there, from.host);
    if (!there.powered || this.between(from.host, there)) {
      from.after(SYN_TIMEOUT_MS, () => socket.fail('ETIMEDOUT'));
      return;
    }
    const { maxConnections } = listener?.options ?? {};
    const full =
      listener !== undefined &&
      ((maxConnections !== undefined && listener.open >= maxConnections) ||
        this.socketsOf(listener.owner) >= listener.owner.maxSockets);
    if (!listener?.owner.alive || full) {
      this.world.plan(this.world.now + back, () => from.run(() => socket.fail('ECONNREFUSED')));
      return;
    }
    const other = new SimSocket(listener.owner, this, from.host.ip, listener.options.allowHalfOpen === true);
    this.keep(other);
    this.acceptedBy.set(other, listener);
    listener.open += 1;
    other.join({ from: there, to: socket, lastAt: this.world.now + back, held: [] });
    // The system completes the connection; the program takes it when it runs.
    this.world.plan(this.world.now + back, () => {
      if (socket.destroyed || socket.orphaned) {
        other.owner.run(() => other.receive({ kind: 'end' }));
        return;
      }
      socket.join({ from: from.host, to: other, lastAt: this.world.now, held: [] });
      from.run(() => {
        if (!socket.destroyed) socket.emit('connect');
      });
    });
    listener.owner.run(() => listener.options.accept(other));
  }

  private keep(socket: SimSocket): void {
    let set = this.sockets.get(socket.owner);
    if (!set) this.sockets.set(socket.owner, (set = new Set()));
    set.add(socket);
  }

  closed(socket: SimSocket): void {
    this.sockets.get(socket.owner)?.delete(socket);
    const listener = this.acceptedBy.get(socket);
    if (listener) listener.open -= 1;
    this.acceptedBy.delete(socket);
  }

  /** A process has ended: its listeners are gone, and the other ends of its connections break. */
  forget(process: SocketOwner): void {
    for (const [key, listener] of this.listeners) if (listener.owner === process) this.listeners.delete(key);
    for (const socket of this.sockets.get(process) ?? []) {
      this.acceptedBy.delete(socket);
      if (process.host.powered) socket.orphan();
      else {
        socket.orphaned = true;
        socket.removeAllListeners();
        socket.on('error', () => undefined);
      }
    }
    this.sockets.delete(process);
  }
}
