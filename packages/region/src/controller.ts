import type { ControllerSeat } from './parts.js';
import { THIS, type Running } from './releases/index.js';
import type { Host, SimProcess } from './sim/index.js';

/** One controller's machine: the service runs on it, ends, and is started again, maybe as another release. */
export class Controller {
  process: SimProcess | null = null;
  starts = 0;

  constructor(
    readonly seat: ControllerSeat,
    readonly host: Host,
    private readonly launch: (controller: Controller) => { process: SimProcess; service: Running },
    /** Which release its next life is of. */
    public release: string = THIS,
  ) {}

  start(): void {
    if (this.process) return;
    this.starts += 1;
    const { process, service } = this.launch(this);
    this.process = process;
    service.start();
  }

  /** Ends without a signal, as a crash does. */
  crash(): void {
    this.process?.kill();
    this.process = null;
  }
}
