import {
  jobId,
  systemRuntime,
  type Connection,
  type Endpoint,
  type Listening,
  type Logger,
  type Runtime,
  type Timer,
} from '../../../src/kernel/index.js';
import { decodeRecord } from '../../../src/jobs/index.js';
import { jobKey } from '../../../src/state/index.js';
import type { Day } from './day/index.js';
import { JobTruth, type StateModel, type Submission } from './models/index.js';
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

const SHAPES = { array: 'sweep', gang: 'ensemble', service: 'daemon' } as const;
const URGENCIES = ['low', 'standard', 'urgent', 'production'] as const;

/**
 * A job that was submitted by hand: its description as its record has it, and its owner's estimate for the truth.
 * Users upload descriptions for the workers; here nobody but the controllers has seen it.
 */
export function uploadedByHand(ref: string, state: StateModel): JobTruth | undefined {
  const spec = decodeRecord(state.get(jobKey(jobId(ref))))?.spec;
  if (!spec) return undefined;
  const submission: Submission = {
    ...{ ref, jobclass: spec.jobClass, owner: spec.team, shape: SHAPES[spec.kind], pieces: spec.tasks },
    ...{ urgency: URGENCIES[spec.priority], vcpus: spec.cpus, accelerators: spec.gpus, ram_gb: spec.memoryGb },
    ...{ bundle: spec.image, pull_gb: spec.imageGb, hulls: spec.types, berth: spec.zone },
    ...{ same_place: spec.oneZone, scatter: spec.spread, flotsam: spec.spot, expected_s: spec.estimateS },
    ...{ mark_every_s: spec.checkpointS, mark_cost_s: spec.saveS, due_s: spec.deadlineS },
  };
  return new JobTruth(submission, () => spec.estimateS, false);
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
  const luck = new Luck(seed, day.name);
  const parts = new RegionParts({ day, luck, place, log, controllers, note, uploaded: uploadedByHand });
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
