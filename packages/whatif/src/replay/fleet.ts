import { Priority, type JobSpec } from '../../../../src/jobs/index.js';
import { machineId, type MachineId } from '../../../../src/kernel/index.js';
import type { MachineSummary } from '../../../../src/peers/index.js';
import type { MachineView, PreemptableTask } from '../../../../src/placement/index.js';
import type { NightFacts } from '../night/index.js';

export type TypeFacts = NightFacts['types'][number];

/** How old what stopping a task would lose may be. */
const LOSS_VALID_S = 1.5;

/** One task on a machine, from its order until its holder knows that it left. Times in seconds. */
export interface Running {
  readonly job: { readonly spec: JobSpec };
  readonly index: number;
  /** The recorded one, while the record is followed; 0: decided here. */
  readonly attempt: number;
  readonly machine: SimMachine;
  /** null: it fetches its image, or waits for its gang. */
  beganS: number | null;
  stopping: string | null;
  /** The machine is gone, and nobody has noticed yet. */
  dead: boolean;
  /** Called off when it leaves before its time. */
  done: { cancelled: boolean } | null;
}

/** A machine of the replay; room is kept as tasks come and go, so that nothing grows with the fleet. */
export class SimMachine {
  readonly id: MachineId;
  readonly tasks = new Set<Running>();
  readonly images: string[] = [];
  freeCpus: number;
  freeGpus: number;
  freeMemoryGb: number;
  yieldCpus = 0;
  yieldMemoryGb = 0;
  /** Up, in a block and not on its way out. */
  usable = true;
  alive = true;
  noticeUntilS: number | null = null;
  /** When its fetches so far are through. */
  fetchFreeS = 0;
  fetching = 0;
  emptySinceS: number;
  readonly failures: { readonly job: string; readonly atS: number }[] = [];
  faulty = false;
  failsFromS: number | null = null;
  private known: MachineView | null = null;
  private knownLoss: number | null = null;
  private told: MachineSummary | null = null;

  constructor(
    name: string,
    readonly type: TypeFacts,
    readonly zone: string,
    readonly spot: boolean,
    readonly upAtS: number,
    /** Fetches and runs so many times as fast or slow as others of its type. */
    readonly fetchLuck: number,
    readonly slowness: number,
  ) {
    this.id = machineId(name);
    this.freeCpus = type.cpus;
    this.freeGpus = type.gpus;
    this.freeMemoryGb = type.memoryGb;
    this.emptySinceS = upAtS;
  }

  changed(): void {
    this.known = null;
    this.told = null;
  }

  add(task: Running): void {
    this.tasks.add(task);
    this.book(task.job.spec, 1);
  }

  remove(task: Running, nowS: number): void {
    if (!this.tasks.delete(task)) return;
    this.book(task.job.spec, -1);
    if (!this.inUse) this.emptySinceS = nowS;
  }

  private book(spec: JobSpec, sign: 1 | -1): void {
    this.freeCpus -= sign * spec.cpus;
    this.freeGpus -= sign * spec.gpus;
    this.freeMemoryGb -= sign * spec.memoryGb;
    if (spec.priority < Priority.production) {
      this.yieldCpus += sign * spec.cpus;
      this.yieldMemoryGb += sign * spec.memoryGb;
    }
    this.changed();
  }

  /** A machine with accelerators is in use only as long as those are. */
  get inUse(): boolean {
    if (this.type.gpus <= 0) return this.tasks.size > 0;
    for (const { job } of this.tasks) if (job.spec.gpus > 0) return true;
    return false;
  }

  noteImage(image: string): void {
    if (image === '' || this.images[0] === image) return;
    const at = this.images.indexOf(image);
    if (at >= 0) this.images.splice(at, 1);
    this.images.unshift(image);
    this.images.length = Math.min(this.images.length, 8);
    this.changed();
  }

  // Written out field by field: these two are made for every machine, round after round, and spreads cost ten times that.
  view(nowS: number): MachineView {
    // What stopping a task would lose grows with time: looked at anew now and then.
    if (this.known && nowS - (this.knownLoss ?? 0) < LOSS_VALID_S) return this.known;
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
    this.knownLoss = nowS;
    this.known = {
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
      running,
    };
    return this.known;
  }

  summary(nowS: number): MachineSummary {
    const inUse = this.inUse;
    // Only how long it has been idle grows by itself.
    if (this.told && inUse) return this.told;
    const made: MachineSummary = {
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
      images: this.images,
    };
    this.told = inUse ? made : null;
    return made;
  }

  /** A task failed here: of several jobs, or again and again, and the machine is at fault. */
  noteFailure(job: string, atS: number): void {
    this.failures.push({ job, atS });
    const recent = this.failures.filter((f) => atS - f.atS < 180);
    if (recent.length >= 3 || new Set(recent.map((f) => f.job)).size >= 2) this.faulty = true;
    this.changed();
  }
}
