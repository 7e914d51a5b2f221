import type { ControllerSpec } from './region-parts.js';
import { CURRENT_RELEASE, type ControllerHandle } from './releases/index.js';
import type { Host, SimProcess } from './sim/index.js';

/** A simulated controller machine. Its process can crash and be started again, possibly as another release. */
export class Controller {
  /** The running process; null while the controller is down. */
  process: SimProcess | null = null;
  /** Number of starts so far. */
  starts = 0;

  constructor(
    readonly spec: ControllerSpec,
    readonly host: Host,
    private readonly launch: (controller: Controller) => { process: SimProcess; service: ControllerHandle },
    /** The release that the next start runs. */
    public release: string = CURRENT_RELEASE,
  ) {}

  /** Starts a process unless one is running. */
  start(): void {
    if (this.process) return;
    this.starts += 1;
    const { process, service } = this.launch(this);
    this.process = process;
    service.start();
  }

  /** Kills the process without notice, as a crash does. */
  crash(): void {
    this.process?.kill();
    this.process = null;
  }
}
