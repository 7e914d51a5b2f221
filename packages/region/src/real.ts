import {
  systemRuntime,
  type Connection,
  type Endpoint,
  type Listening,
  type Logger,
  type Runtime,
  type Timer,
} from '../../../src/kernel/index.js';
import type { Day } from './day/index.js';
import { RegionParts, type ControllerSeat, type Place, type Seat } from './parts.js';
import { Luck } from './sim/index.js';

const LOOPBACK = '127.0.0.1';

/** The machine's own runtime, with all that it opened ended at once. */
export class EndingRuntime implements Runtime {
  private readonly timers = new Set<Timer>();
  private readonly sockets = new Set<Connection>();
  private readonly listeners = new Set<Listening>();
  private ended = false;

  readonly now = systemRuntime.now;
  readonly wall = systemRuntime.wall;
  readonly random = systemRuntime.random;
  readonly uniqueId = systemRuntime.uniqueId;
  readonly scheduler = systemRuntime.scheduler;

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
    return this.keepSocket(systemRuntime.connect(to));
  }

  private keepSocket(socket: Connection): Connection {
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    if (this.ended) socket.destroy();
    return socket;
  }

  listen(options: Parameters<Runtime['listen']>[0]): Listening {
    const accept = (socket: Connection): void => options.accept(this.keepSocket(socket));
    const listening = systemRuntime.listen({ ...options, accept });
    this.listeners.add(listening);
    return listening;
  }

  end(): void {
    this.ended = true;
    for (const timer of [...this.timers]) timer.cancel();
    for (const listening of this.listeners) listening.close();
    for (const socket of [...this.sockets]) socket.destroy();
  }
}

export interface RealRegion {
  readonly parts: RegionParts;
  readonly state: Endpoint;
  readonly cloud: Endpoint;
  /** Ends every model. */
  close(): void;
}

/** Seats on loopback for a day's controllers, two ports each from `basePort` on. */
export const loopbackSeats = (day: Day, basePort: number): ControllerSeat[] =>
  Array.from({ length: day.controllers.count }, (_, i) => ({
    name: `node-${i}`,
    zone: day.zones[i % day.zones.length] ?? '',
    serveOn: { host: LOOPBACK, port: basePort + 2 * i },
    peerOn: { host: LOOPBACK, port: basePort + 2 * i + 1 },
  }));

/** The same models on loopback sockets in real time, on ports that the system chooses. Starts no controllers. */
export async function serveRegion(
  day: Day,
  seed: number,
  controllers: readonly ControllerSeat[],
  log: Logger,
  note: (what: string) => void,
): Promise<RealRegion> {
  const runtime = new EndingRuntime();
  const began = runtime.now();
  const at = { host: LOOPBACK, port: 0 };
  const place: Place = {
    seat: (): Seat => ({ runtime, watchdog: runtime, at, close: () => undefined }),
    now: () => runtime.now() - began,
  };
  const parts = new RegionParts({ day, luck: new Luck(seed, day.name), place, log, controllers, note });
  const [state = 0, cloud = 0] = await parts.start();
  return {
    parts,
    state: { host: LOOPBACK, port: state },
    cloud: { host: LOOPBACK, port: cloud },
    close: () => {
      runtime.end();
      for (const { model } of parts.workers.values()) model.end();
    },
  };
}
