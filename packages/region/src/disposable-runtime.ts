import {
  systemRuntime,
  type Connection,
  type Endpoint,
  type TcpListener,
  type Runtime,
  type Timer,
} from '../../../src/kernel/index.js';

/** Payload bytes carried over TCP, and the number of connections. */
export interface Traffic {
  /** Connections established so far, closed ones included. */
  readonly connections: number;
  readonly bytesIn: number;
  readonly bytesOut: number;
}

/** Traffic by the side that opened the connections. */
export interface DirectedTraffic {
  /** On connections that this runtime opened. */
  readonly opened: Traffic;
  /** On connections that it accepted. */
  readonly accepted: Traffic;
}

/** Byte counters that a socket of the operating system has; a `Connection` need not have them. */
interface ByteCounters {
  readonly bytesRead?: number;
  readonly bytesWritten?: number;
}

/** Sums the traffic of a set of sockets, closed ones included. */
class TrafficCounter {
  private readonly open = new Set<Connection>();
  private connections = 0;
  private closedBytesIn = 0;
  private closedBytesOut = 0;

  add(socket: Connection): void {
    this.connections += 1;
    this.open.add(socket);
    socket.on('close', () => {
      const { bytesRead = 0, bytesWritten = 0 } = socket as ByteCounters;
      this.open.delete(socket);
      this.closedBytesIn += bytesRead;
      this.closedBytesOut += bytesWritten;
    });
  }

  get sockets(): Iterable<Connection> {
    return this.open;
  }

  get total(): Traffic {
    let [bytesIn, bytesOut] = [this.closedBytesIn, this.closedBytesOut];
    for (const socket of this.open) {
      const { bytesRead = 0, bytesWritten = 0 } = socket as ByteCounters;
      bytesIn += bytesRead;
      bytesOut += bytesWritten;
    }
    return { connections: this.connections, bytesIn, bytesOut };
  }
}

/** The system runtime with traffic counters. `dispose` cancels every timer and closes every listener and socket at once. */
export class DisposableRuntime implements Runtime {
  private readonly timers = new Set<Timer>();
  private readonly opened = new TrafficCounter();
  private readonly accepted = new TrafficCounter();
  private readonly listeners = new Set<TcpListener>();
  private ended = false;

  readonly now = systemRuntime.now;
  readonly wall = systemRuntime.wall;
  readonly random = systemRuntime.random;
  readonly uniqueId = systemRuntime.uniqueId;
  readonly scheduler = systemRuntime.scheduler;

  /** Traffic since the runtime was created. */
  get traffic(): DirectedTraffic {
    return { opened: this.opened.total, accepted: this.accepted.total };
  }

  /** Registers a timer so that `dispose` cancels it. */
  private track(timer: Timer): Timer {
    const tracked = {
      cancel: () => {
        this.timers.delete(tracked);
        timer.cancel();
      },
    };
    this.timers.add(tracked);
    return tracked;
  }

  after(ms: number, work: () => void): Timer {
    if (this.ended) return { cancel: () => undefined };
    const tracked = this.track(
      systemRuntime.after(ms, () => {
        this.timers.delete(tracked);
        work();
      }),
    );
    return tracked;
  }

  every(ms: number, work: () => void): Timer {
    return this.ended ? { cancel: () => undefined } : this.track(systemRuntime.every(ms, work));
  }

  sleep(ms: number): Promise<void> {
    return new Promise((resolve) => this.after(ms, resolve));
  }

  connect(to: Endpoint): Connection {
    return this.trackSocket(systemRuntime.connect(to), this.opened);
  }

  /** Counts a socket and registers it for `dispose`; destroys it at once if the runtime has already ended. */
  private trackSocket(socket: Connection, counter: TrafficCounter): Connection {
    counter.add(socket);
    if (this.ended) socket.destroy();
    return socket;
  }

  listen(options: Parameters<Runtime['listen']>[0]): TcpListener {
    const accept = (socket: Connection): void => options.accept(this.trackSocket(socket, this.accepted));
    const listening = systemRuntime.listen({ ...options, accept });
    this.listeners.add(listening);
    return listening;
  }

  /** Cancels all timers and closes all listeners and sockets. Later timers never fire; later sockets are destroyed. */
  dispose(): void {
    this.ended = true;
    for (const timer of [...this.timers]) timer.cancel();
    for (const listening of this.listeners) listening.close();
    for (const { sockets } of [this.opened, this.accepted]) for (const socket of [...sockets]) socket.destroy();
  }
}
