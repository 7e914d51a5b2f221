import { jobId, type Endpoint, type Logger } from '../../../src/kernel/index.js';
import { decodeJobRecord } from '../../../src/jobs/index.js';
import { jobKey } from '../../../src/state/index.js';
import type { Day } from './day/index.js';
import { EndingRuntime } from './ending.js';
import { JobTruth, type StateModel, type Submission } from './models/index.js';
import { RegionParts, type ControllerSeat, type Place, type Seat } from './parts.js';
import { Luck } from './sim/index.js';

/** Where everything of a real region listens. */
export const LOOPBACK = '127.0.0.1';

const SHAPES = { array: 'sweep', gang: 'ensemble', service: 'daemon' } as const;
const URGENCIES = ['low', 'standard', 'urgent', 'production'] as const;

/**
 * A job that was submitted by hand: its description as its record has it, and its owner's estimate for the truth.
 * Users upload descriptions for the workers; here nobody but the controllers has seen it.
 */
export function uploadedByHand(ref: string, state: StateModel): JobTruth | undefined {
  const spec = decodeJobRecord(state.get(jobKey(jobId(ref))))?.spec;
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
