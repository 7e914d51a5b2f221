import {
  systemRuntime,
  type Connection,
  type Endpoint,
  type TcpListener,
  type Runtime,
  type Timer,
} from '../../../src/kernel/index.js';

/** Bytes of payload that TCP carried, and connections opened. */
export interface Traffic {
  readonly connections: number;
  readonly bytesIn: number;
  readonly bytesOut: number;
}

/** Traffic by who opened the connections. */
export interface DirectedTraffic {
  /** On connections that this runtime opened. */
  readonly opened: Traffic;
  /** On connections that it accepted. */
  readonly accepted: Traffic;
}

interface Counted {
  readonly bytesRead?: number;
  readonly bytesWritten?: number;
}

/** Counts what a set of sockets has carried, those that are closed included. */
class TrafficCounter {
  private readonly open = new Set<Connection>();
  private connections = 0;
  private closedIn = 0;
  private closedOut = 0;

  add(socket: Connection): void {
    this.connections += 1;
    this.open.add(socket);
    socket.on('close', () => {
      const { bytesRead = 0, bytesWritten = 0 } = socket as Counted;
      this.open.delete(socket);
      this.closedIn += bytesRead;
      this.closedOut += bytesWritten;
    });
  }

  get sockets(): Iterable<Connection> {
    return this.open;
  }

  get total(): Traffic {
    let [bytesIn, bytesOut] = [this.closedIn, this.closedOut];
    for (const socket of this.open) {
      const { bytesRead = 0, bytesWritten = 0 } = socket as Counted;
      bytesIn += bytesRead;
      bytesOut += bytesWritten;
    }
    return { connections: this.connections, bytesIn, bytesOut };
  }
}

/** The machine's own runtime, with all that it opened ended at once, and with its traffic counted. */
export class EndingRuntime implements Runtime {
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

  get traffic(): DirectedTraffic {
    return { opened: this.opened.total, accepted: this.accepted.total };
  }

  private keep(timer: Timer): Timer {
    const kept = {
      cancel: () => {
        this.timers.delete(kept);
        timer.cancel();
      },
    };
    this.timers.add(kept);
    return kept;
  }

  after(ms: number, work: () => void): Timer {
    if (this.ended) return { cancel: () => undefined };
    const kept = this.keep(
      systemRuntime.after(ms, () => {
        this.timers.delete(kept);
        work();
      }),
    );
    return kept;
  }

  every(ms: number, work: () => void): Timer {
    return this.ended ? { cancel: () => undefined } : this.keep(systemRuntime.every(ms, work));
  }

  sleep(ms: number): Promise<void> {
    return new Promise((resolve) => this.after(ms, resolve));
  }

  connect(to: Endpoint): Connection {
    return this.keepSocket(systemRuntime.connect(to), this.opened);
  }

  private keepSocket(socket: Connection, counter: TrafficCounter): Connection {
    counter.add(socket);
    if (this.ended) socket.destroy();
    return socket;
  }

  listen(options: Parameters<Runtime['listen']>[0]): TcpListener {
    const accept = (socket: Connection): void => options.accept(this.keepSocket(socket, this.accepted));
    const listening = systemRuntime.listen({ ...options, accept });
    this.listeners.add(listening);
    return listening;
  }

  end(): void {
    this.ended = true;
    for (const timer of [...this.timers]) timer.cancel();
    for (const listening of this.listeners) listening.close();
    for (const { sockets } of [this.opened, this.accepted]) for (const socket of [...sockets]) socket.destroy();
  }
}
