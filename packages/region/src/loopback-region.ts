import { jobId, type Endpoint, type Logger } from '../../../src/kernel/index.js';
import { decodeJobRecord } from '../../../src/jobs/index.js';
import { jobKey } from '../../../src/state/index.js';
import type { SimulationScenario } from './scenario/index.js';
import { DisposableRuntime } from './disposable-runtime.js';
import { SimulatedJob, type StateModel, type Submission } from './models/index.js';
import { RegionParts, type ControllerSpec, type HostProvider, type ModelHost } from './region-parts.js';
import { RandomStream } from './sim/index.js';

/** The address on which all services of a region on loopback listen. */
export const LOOPBACK_ADDRESS = '127.0.0.1';

/** The users' word for each kind of job. */
const SHAPE_BY_KIND = { array: 'sweep', gang: 'ensemble', service: 'daemon' } as const;
/** The users' words for the priorities, indexed by numeric priority. */
const URGENCY_BY_PRIORITY = ['low', 'standard', 'urgent', 'production'] as const;

/**
 * Describes a job that was submitted by hand, from its stored record; undefined if there is no such record. The
 * owner's estimate serves as the true run time. Simulated users hand their descriptions to the worker models directly,
 * but a job submitted by hand is known to the controllers only.
 */
export function jobFromStoredRecord(ref: string, state: StateModel): SimulatedJob | undefined {
  const spec = decodeJobRecord(state.get(jobKey(jobId(ref))))?.spec;
  if (!spec) return undefined;
  const submission: Submission = {
    ...{ ref, jobclass: spec.jobClass, owner: spec.team, shape: SHAPE_BY_KIND[spec.kind], pieces: spec.tasks },
    ...{
      urgency: URGENCY_BY_PRIORITY[spec.priority],
      vcpus: spec.cpus,
      accelerators: spec.gpus,
      ram_gb: spec.memoryGb,
    },
    ...{ bundle: spec.image, pull_gb: spec.imageGb, hulls: spec.types, berth: spec.zone },
    ...{ same_place: spec.oneZone, scatter: spec.spread, flotsam: spec.spot, expected_s: spec.estimateS },
    ...{ mark_every_s: spec.checkpointS, mark_cost_s: spec.saveS, due_s: spec.deadlineS },
  };
  return new SimulatedJob(submission, () => spec.estimateS, false);
}

/** A region on loopback sockets, without its controllers. */
export interface LoopbackRegion {
  readonly parts: RegionParts;
  readonly state: Endpoint;
  readonly cloud: Endpoint;
  /** Stops every model. */
  close(): void;
}

/** Loopback addresses of a day's controllers; each takes two consecutive ports, from `basePort` on. */
export const loopbackControllerSpecs = (day: SimulationScenario, basePort: number): ControllerSpec[] =>
  Array.from({ length: day.controllers.count }, (_, i) => ({
    name: `node-${i}`,
    zone: day.zones[i % day.zones.length] ?? '',
    serveOn: { host: LOOPBACK_ADDRESS, port: basePort + 2 * i },
    peerOn: { host: LOOPBACK_ADDRESS, port: basePort + 2 * i + 1 },
  }));

/**
 * Runs the models of a simulated region on loopback sockets in real time, on ports that the operating system chooses.
 * Starts no controllers.
 */
export async function startLoopbackRegion(
  day: SimulationScenario,
  seed: number,
  controllers: readonly ControllerSpec[],
  log: Logger,
  logEvent: (what: string) => void,
): Promise<LoopbackRegion> {
  const runtime = new DisposableRuntime();
  const startedAt = runtime.now();
  const at = { host: LOOPBACK_ADDRESS, port: 0 };
  const place: HostProvider = {
    createHost: (): ModelHost => ({ runtime, watchdog: runtime, at, close: () => undefined }),
    now: () => runtime.now() - startedAt,
  };
  const random = new RandomStream(seed, day.name);
  const parts = new RegionParts({
    day,
    random,
    place,
    log,
    controllers,
    logEvent,
    findJob: jobFromStoredRecord,
  });
  const [state = 0, cloud = 0] = await parts.start();
  return {
    parts,
    state: { host: LOOPBACK_ADDRESS, port: state },
    cloud: { host: LOOPBACK_ADDRESS, port: cloud },
    close: () => {
      runtime.dispose();
      for (const { model } of parts.workers.values()) model.end();
    },
  };
}
