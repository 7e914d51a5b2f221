import type { Service } from '../../../src/service/index.js';
import type { ControllerSeat } from './parts.js';
import type { Host, SimProcess } from './sim/index.js';

/** One controller's machine: the service runs on it, ends, and is started again. */
export class Controller {
  process: SimProcess | null = null;
  service: Service | null = null;
  starts = 0;

  constructor(
    readonly seat: ControllerSeat,
    readonly host: Host,
    private readonly launch: (controller: Controller) => { process: SimProcess; service: Service },
  ) {}

  start(): void {
    if (this.process) return;
    this.starts += 1;
    const { process, service } = this.launch(this);
    this.process = process;
    this.service = service;
    service.start();
  }

  /** Ends without a signal, as a crash does. */
  crash(): void {
    this.process?.kill();
    this.process = null;
    this.service = null;
  }
}
