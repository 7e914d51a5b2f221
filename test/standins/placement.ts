import type { JobSpec } from '../../src/jobs/index.js';
import { machineId } from '../../src/kernel/index.js';
import type { MachineView, PendingJob } from '../../src/placement/index.js';

/** Builds a machine as a placement plan sees it: by default a small empty one without accelerators. */
export function machineView(id: string, over: Partial<Omit<MachineView, 'id'>> = {}): MachineView {
  return {
    id: machineId(id),
    type: 'small',
    zone: 'a',
    spot: false,
    cpus: 4,
    gpus: 0,
    memoryGb: 8,
    freeCpus: 4,
    freeGpus: 0,
    freeMemoryGb: 8,
    usable: true,
    images: [],
    fetchGbPerS: 1,
    fetching: 0,
    cpuPrice: 0.1,
    suspicion: 0,
    startLimit: Infinity,
    running: [],
    ...over,
  };
}

/** Builds a waiting job as a placement plan sees it: by default all of its tasks are ready and its objectives open. */
export function pendingJob(spec: JobSpec, over: Partial<Omit<PendingJob, 'spec'>> = {}): PendingJob {
  return {
    spec,
    ready: Array.from({ length: spec.tasks }, (_, index) => index),
    zoneUse: new Map(),
    machineUse: new Map(),
    avoid: new Set(),
    slackS: 60,
    lastSlackS: 60,
    aimed: true,
    suspect: false,
    workS: 10,
    ...over,
  };
}
