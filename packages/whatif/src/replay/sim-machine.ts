import { Priority, type JobSpec } from '../../../../src/jobs/index.js';
import { machineId, type MachineId } from '../../../../src/kernel/index.js';
import type { MachineSummary } from '../../../../src/peers/index.js';
import type { MachineView, PreemptableTask } from '../../../../src/placement/index.js';
import type { PlatformFacts } from '../night/index.js';

/** Properties of a machine type, as recorded. */
export type MachineTypeFacts = PlatformFacts['types'][number];

/** Maximum age of a cached placement view, whose cost of stopping a task grows with time. */
const MAX_VIEW_AGE_S = 1.5;

/**
 * One task on a machine, from its start command until the shard holder knows that it has left. Times are in seconds.
 */
export interface SimTask {
  readonly job: { readonly spec: JobSpec };
  readonly index: number;
  /** Recorded attempt number while the record is followed; 0 if the replay decided the start. */
  readonly attempt: number;
  readonly machine: SimMachine;
  /** null while the task fetches its image or waits for its gang. */
  beganS: number | null;
  /** Reason for which the task was told to stop; null if it was not. */
  stopping: string | null;
  /** The machine has died and the holder has not detected it yet. */
  machineDied: boolean;
  /** Scheduled completion; it is cancelled when the task leaves early. */
  completion: { cancelled: boolean } | null;
}

/**
 * A machine of the replay. Free resources are updated as tasks come and go, so that the cost does not grow with the
 * fleet.
 */
export class SimMachine {
  readonly id: MachineId;
  readonly tasks = new Set<SimTask>();
  /** Cached images, most recently used first. */
  readonly images: string[] = [];
  freeCpus: number;
  freeGpus: number;
  freeMemoryGb: number;
  /** Resources of tasks below production priority, which yield to production tasks. */
  yieldCpus = 0;
  yieldMemoryGb = 0;
  /** Up, leased to a shard and neither on notice nor dead. */
  usable = true;
  alive = true;
  /** End of the spot reclaim notice; null if there is none. */
  noticeUntilS: number | null = null;
  /** When the image fetches queued so far end. */
  fetchesEndS = 0;
  /** Number of image fetches in progress. */
  fetching = 0;
  /** Since when the machine is not in use. */
  emptySinceS: number;
  /** Task failures on this machine. */
  readonly failures: { readonly job: string; readonly atS: number }[] = [];
  faulty = false;
  /** From this time on all tasks that start here fail; null: never. */
  failsFromS: number | null = null;
  private cachedView: MachineView | null = null;
  private cachedViewAtS: number | null = null;
  private cachedSummary: MachineSummary | null = null;

  constructor(
    name: string,
    readonly type: MachineTypeFacts,
    readonly zone: string,
    readonly spot: boolean,
    readonly rentedS: number,
    /** Image fetch speed relative to other machines of its type. */
    readonly fetchSpeedFactor: number,
    /** Factor on the run times of tasks, relative to other machines of its type. */
    readonly slowness: number,
  ) {
    this.id = machineId(name);
    this.freeCpus = type.cpus;
    this.freeGpus = type.gpus;
    this.freeMemoryGb = type.memoryGb;
    this.emptySinceS = rentedS;
  }

  /** Drops the cached view and summary after a change. */
  invalidateCaches(): void {
    this.cachedView = null;
    this.cachedSummary = null;
  }

  add(task: SimTask): void {
    this.tasks.add(task);
    this.adjustFreeResources(task.job.spec, 1);
  }

  remove(task: SimTask, nowS: number): void {
    if (!this.tasks.delete(task)) return;
    this.adjustFreeResources(task.job.spec, -1);
    if (!this.inUse) this.emptySinceS = nowS;
  }

  private adjustFreeResources(spec: JobSpec, sign: 1 | -1): void {
    this.freeCpus -= sign * spec.cpus;
    this.freeGpus -= sign * spec.gpus;
    this.freeMemoryGb -= sign * spec.memoryGb;
    if (spec.priority < Priority.production) {
      this.yieldCpus += sign * spec.cpus;
      this.yieldMemoryGb += sign * spec.memoryGb;
    }
    this.invalidateCaches();
  }

  /** A machine with GPUs is in use only while a task uses GPUs. */
  get inUse(): boolean {
    if (this.type.gpus <= 0) return this.tasks.size > 0;
    for (const { job } of this.tasks) if (job.spec.gpus > 0) return true;
    return false;
  }

  /** Moves an image to the front of the most recently used ones; the machine keeps eight. */
  recordImageUse(image: string): void {
    if (image === '' || this.images[0] === image) return;
    const position = this.images.indexOf(image);
    if (position >= 0) this.images.splice(position, 1);
    this.images.unshift(image);
    this.images.length = Math.min(this.images.length, 8);
    this.invalidateCaches();
  }

  // Views and summaries are created for every machine in every round. Their fields are written out because object
  // spreads cost ten times as much.

  /** Returns the machine as the placement sees it. */
  view(nowS: number): MachineView {
    // The work lost by stopping a task grows with time, so that the cached view expires.
    if (this.cachedView && nowS - (this.cachedViewAtS ?? 0) < MAX_VIEW_AGE_S) return this.cachedView;
    const running: PreemptableTask[] = [];
    for (const { job, index, beganS, stopping } of this.tasks) {
      const { spec } = job;
      const ranS = beganS === null ? 0 : nowS - beganS;
      running.push({
        job: spec.id,
        index,
        priority: spec.priority,
        cpus: spec.cpus,
        gpus: spec.gpus,
        memoryGb: spec.memoryGb,
        lossS: spec.checkpointS > 0 ? Math.min(ranS, spec.checkpointS / 2) : ranS,
        stopping: stopping !== null,
      });
    }
    const { type, zone, spot } = this;
    this.cachedViewAtS = nowS;
    this.cachedView = {
      id: this.id,
      type: type.name,
      zone,
      spot,
      cpus: type.cpus,
      gpus: type.gpus,
      memoryGb: type.memoryGb,
      freeCpus: this.freeCpus,
      freeGpus: this.freeGpus,
      freeMemoryGb: this.freeMemoryGb,
      usable: this.usable && !this.faulty,
      images: this.images,
      fetchGbPerS: type.fetchGbPerS,
      fetching: this.fetching,
      cpuPrice: (spot ? type.spotPrice : type.price) / type.cpus,
      suspicion: this.failures.length === 0 ? 0 : this.failures.filter(({ atS }) => nowS - atS < 180).length,
      startLimit: Infinity,
      running,
    };
    return this.cachedView;
  }

  /** Returns the machine as its shard reports it to the leader. */
  summary(nowS: number): MachineSummary {
    const inUse = this.inUse;
    // Only the idle time changes without an event, so that the summary of a machine in use can be cached.
    if (this.cachedSummary && inUse) return this.cachedSummary;
    const summary: MachineSummary = {
      id: this.id,
      type: this.type.name,
      zone: this.zone,
      spot: this.spot,
      freeCpus: this.freeCpus,
      freeGpus: this.freeGpus,
      freeMemoryGb: this.freeMemoryGb,
      yieldCpus: this.yieldCpus,
      yieldMemoryGb: this.yieldMemoryGb,
      idleMs: inUse ? 0 : (nowS - this.emptySinceS) * 1000,
      empty: this.tasks.size === 0,
      usable: this.usable && !this.faulty,
      lost: false,
      faulty: this.faulty,
      onProbation: false,
      images: this.images,
    };
    this.cachedSummary = inUse ? summary : null;
    return summary;
  }

  /** Records a failed task. Three failures, or failures of two jobs, within 180 s mark the machine as faulty. */
  recordTaskFailure(job: string, atS: number): void {
    this.failures.push({ job, atS });
    const recent = this.failures.filter((f) => atS - f.atS < 180);
    if (recent.length >= 3 || new Set(recent.map((f) => f.job)).size >= 2) this.faulty = true;
    this.invalidateCaches();
  }
}
