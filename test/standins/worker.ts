import { isObject, parseTaskKey, type Attempt, type TaskKey, type FencingToken } from '../../src/kernel/index.js';
import {
  decodeWorkerMessage,
  encodeCommands,
  encodeReply,
  type Order,
  type WorkerMessage,
} from '../../src/workers/index.js';
import {
  GangCoordinator,
  SimulatedJobs,
  SimulatedJob,
  WorkerModel,
  type Machine,
  type Submission,
} from '../../packages/region/src/index.js';
import { SimulationHarness } from '../../packages/region/test/simulation-harness.js';

const FACTS = { reportS: 3, leaseS: 10, gangWaitS: 45, gangPeerS: 5, cancelS: 35 };
const type = {
  ...{ name: 't', cpus: 100, gpus: 0, memoryGb: 100, price: 1, spotPrice: 1 },
  ...{ cacheGb: 10, fetchGbPerS: 1, bootS: 1, bootFail: 0 },
};
const lab = new SimulationHarness();

/** A job book that knows every job: each has endless tasks without an image. */
class AnyJob extends SimulatedJobs {
  override get(ref: string): SimulatedJob {
    const known = super.get(ref);
    if (known) return known;
    const spec = { ref, shape: 'sweep', pieces: 1000, vcpus: 0, accelerators: 0, ram_gb: 0, bundle: '' };
    const job = new SimulatedJob(
      { ...spec, pull_gb: 0, mark_every_s: 0, mark_cost_s: 0 } as Submission,
      () => 1e9,
      false,
    );
    this.add(job);
    return job;
  }
}

/** The worker model of the simulated region, driven by the test: it sends a message only when asked for one. */
export class StandInWorker {
  private readonly model: WorkerModel;
  readonly started: { key: TaskKey; attempt: Attempt }[] = [];

  constructor(readonly id: string) {
    const process = lab.process(`10.1.0.${id}`);
    const machine = { id, type, zone: 'z', spot: false, address: '' } as Machine;
    this.model = new WorkerModel(machine, {
      ...{ runtime: process, watchdog: process, luck: lab.rng, log: lab.log, facts: FACTS, controllers: [] },
      jobs: new AnyJob(),
      gangs: new GangCoordinator(process, lab.rng, { waitS: 45, peerS: 5 }),
      watch: {
        entered: (_machine, job, index, attempt) =>
          this.started.push({ key: `${job.spec.ref}/${index}` as TaskKey, attempt: attempt as Attempt }),
        running: () => undefined,
        left: () => undefined,
      },
      noticeS: () => null,
    });
  }

  private decoded(body: unknown): WorkerMessage {
    const message = decodeWorkerMessage(body);
    if (!message) throw new Error('the worker model sent a malformed message');
    return message;
  }

  /** True when the worker lists the task and it has not exited. */
  isOn(key: TaskKey): boolean {
    return this.report().tasks.some((task) => task.key === key && task.state !== 'exited');
  }

  /** The message that the worker would report now. */
  report(): WorkerMessage {
    return this.decoded(this.model.message());
  }

  /** Delivers the answer to a report; the worker ignores it when its token is lower than one received before. */
  onReply(helm: FencingToken, orders: readonly Order[]): void {
    const body = encodeReply(helm, orders);
    if (isObject(body)) this.model.onReply(body, lab.world.now);
  }

  /** Delivers a command and returns the worker's answer. */
  onCommands(
    helm: FencingToken,
    tide: number,
    orders: readonly Order[],
  ): { status: 200 | 409; message: WorkerMessage } {
    const body = encodeCommands(helm, tide as WorkerMessage['session'], orders);
    const answer = this.model.serve({ method: 'POST', path: '/commands', body });
    return { status: answer.status === 200 ? 200 : 409, message: this.decoded(answer.body) };
  }

  /** Lets a task finish. */
  finish(key: TaskKey): void {
    if (parseTaskKey(key)) this.model.tasks.completeNow(key);
  }

  /** Restarts the worker, which loses all its state. */
  reboot(): void {
    this.model.reset();
  }

  /** Ends the worker's lease: it kills its tasks and begins a new session. */
  expire(): void {
    this.model.expireLease();
  }
}
