/** Runs the controllers of a scale run as child processes. */

import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { HttpClient, isObject, systemRuntime, type Connection, type Runtime } from '../../../../src/kernel/index.js';
import type { SimulationScenario } from '../scenario/index.js';
import { LOOPBACK_ADDRESS } from '../loopback-region.js';
import { controllerSettingsToml } from '../controller-settings.js';
import type { ControllerSpec } from '../region-parts.js';
import type { Endpoint } from '../../../../src/kernel/index.js';
import { ScaleError } from './errors.js';
import type { ProcessLaunch } from './hollow-fleet.js';

const HEALTHY_TIMEOUT_MS = 30_000;
const HEALTH_PROBE_INTERVAL_MS = 100;
const HEALTH_PROBE_TIMEOUT_MS = 1000;
/** Lowest level of log lines that count as warnings; 40 is `warn` of pino. */
const MIN_WARNING_LEVEL = 40;
const MAX_KEPT_WARNING_LINES = 20;

/** Below the ephemeral ports, which the operating system assigns to outgoing connections and to listeners without a port. */
const PORT_RANGE = { from: 12_000, to: 30_000 } as const;
const MAX_PORTS_TRIED = 2000;

/** Returns whether this process can listen on a loopback port. */
async function isFree(port: number): Promise<boolean> {
  const at = { host: LOOPBACK_ADDRESS, port };
  const accept = (socket: Connection): void => void socket.destroy();
  const free = await new Promise<boolean>((resolve) => {
    const listening = systemRuntime.listen({ ...at, accept, failed: () => resolve(false) });
    void listening.ready.then(() => {
      listening.close();
      resolve(true);
    });
  });
  return free;
}

/**
 * Finds loopback ports that nothing listens on now and that the operating system does not assign by itself. The search
 * starts at a random port of the range.
 *
 * @throws ScaleError if too few ports are free.
 */
export async function findFreePorts(
  count: number,
  random: () => number = systemRuntime.random,
): Promise<readonly number[]> {
  const portCount = PORT_RANGE.to - PORT_RANGE.from;
  const firstOffset = Math.floor(random() * portCount);
  const freePorts: number[] = [];
  for (let i = 0; i < MAX_PORTS_TRIED && freePorts.length < count; i++) {
    const port = PORT_RANGE.from + ((firstOffset + i) % portCount);
    if (await isFree(port)) freePorts.push(port);
  }
  if (freePorts.length < count)
    throw new ScaleError(
      `found ${freePorts.length} free ports between ${PORT_RANGE.from} and ${PORT_RANGE.to}, but ${count} are needed`,
    );
  return freePorts;
}

/** A controller of the run and its current process. */
interface ControllerProcess {
  readonly spec: ControllerSpec;
  /** Path of the settings file. */
  readonly file: string;
  child: ChildProcess | undefined;
  exited: boolean;
  /** The process was killed on purpose and is restarted later, so its exit is no failure. */
  exitExpected: boolean;
  /** Number of processes started so far. */
  launches: number;
}

/** What controller processes need in order to start and to report failures. */
export interface ControllerProcessesOptions {
  readonly day: SimulationScenario;
  readonly specs: readonly ControllerSpec[];
  /** Addresses of the state service and of the cloud API. */
  readonly services: { readonly state: Endpoint; readonly cloud: Endpoint };
  readonly launch: ProcessLaunch;
  readonly runtime: Runtime;
  /** Called when a controller cannot be started or exits unexpectedly. */
  readonly failed: (error: ScaleError) => void;
}

/** Starts, faults and ends the controllers of a scale run. Each is a separate process of this program. */
export class ControllerProcesses {
  private readonly controllers: readonly ControllerProcess[];
  private readonly dir = mkdtempSync(join(tmpdir(), 'wooddrift-scale-'));
  private ending = false;
  /** Number of log lines at warning level or above, or without a level, and the text of the first of them. */
  readonly warnings = { count: 0, first: [] as string[] };
  /** Last log line of any controller, for error messages. */
  private lastLine = '';

  constructor(private readonly options: ControllerProcessesOptions) {
    const { day, specs, services } = options;
    this.controllers = specs.map((spec) => {
      const file = join(this.dir, `${spec.name}.toml`);
      writeFileSync(file, controllerSettingsToml(day, spec, specs, services));
      return { spec, file, child: undefined, exited: false, exitExpected: false, launches: 0 };
    });
  }

  /** Starts all controllers. Resolves when each answers its health check; rejects if one exits or times out. */
  async start(): Promise<void> {
    for (const controller of this.controllers) this.spawnController(controller);
    await Promise.all(this.controllers.map((controller) => this.waitUntilHealthy(controller)));
  }

  private spawnController(controller: ControllerProcess): void {
    const { node, controllerFlags, script } = this.options.launch;
    const args = [...controllerFlags, script, 'serve', '--config', controller.file];
    const child = spawn(node, args, { stdio: ['ignore', 'ignore', 'pipe'], env: { ...this.environment } });
    controller.child = child;
    controller.exited = controller.exitExpected = false;
    controller.launches += 1;
    child.stderr.setEncoding('utf8');
    child.stderr.on('data', (text: string) => this.readLog(text));
    child.on('error', (error) =>
      this.options.failed(new ScaleError(`${controller.spec.name} could not be started: ${error.message}`)),
    );
    child.on('exit', (code, signal) => {
      if (controller.child !== child) return;
      controller.exited = true;
      if (this.ending || controller.exitExpected) return;
      const cause = signal ?? `exit code ${code}`;
      this.options.failed(
        new ScaleError(`${controller.spec.name} exited unexpectedly (${cause}); last log line: ${this.lastLine}`),
      );
    });
  }

  private readonly environment = { LOG_LEVEL: 'warn' };

  /** Counts warnings in the log output of a controller. Lines that are no JSON count as warnings. */
  private readLog(text: string): void {
    for (const line of text.split('\n')) {
      if (line.trim() === '') continue;
      this.lastLine = line;
      let level: unknown;
      try {
        const parsed: unknown = JSON.parse(line);
        level = isObject(parsed) ? parsed['level'] : undefined;
      } catch {
        level = undefined;
      }
      if (typeof level === 'number' && level < MIN_WARNING_LEVEL) continue;
      this.warnings.count += 1;
      if (this.warnings.first.length < MAX_KEPT_WARNING_LINES) this.warnings.first.push(line);
    }
  }

  /** Polls the health check until the controller answers it, exits or times out. */
  private async waitUntilHealthy(controller: ControllerProcess): Promise<void> {
    const { name, serveOn } = controller.spec;
    const { runtime } = this.options;
    const client = new HttpClient(serveOn, 1, runtime);
    const deadlineMs = runtime.now() + HEALTHY_TIMEOUT_MS;
    try {
      while (runtime.now() < deadlineMs && !this.ending) {
        if (controller.exited)
          throw new ScaleError(`${name} exited before it was healthy; last log line: ${this.lastLine}`);
        const answer = await client.call({ method: 'GET', path: '/healthz', timeoutMs: HEALTH_PROBE_TIMEOUT_MS });
        if (answer.kind === 'answered' && answer.status === 200) return;
        await runtime.sleep(HEALTH_PROBE_INTERVAL_MS);
      }
    } finally {
      client.close();
    }
    if (!this.ending)
      throw new ScaleError(
        `${name} was not healthy within ${HEALTHY_TIMEOUT_MS / 1000} s; last log line: ${this.lastLine || 'none'}`,
      );
  }

  /** Names, zones and addresses of the controllers. */
  get specs(): readonly ControllerSpec[] {
    return this.controllers.map(({ spec }) => spec);
  }

  /** Process ids by controller name. Controllers that are down have no entry. */
  get pids(): ReadonlyMap<string, number> {
    const pids = new Map<string, number>();
    for (const { spec, child, exited } of this.controllers)
      if (child?.pid !== undefined && !exited) pids.set(spec.name, child.pid);
    return pids;
  }

  private findController(name: string): ControllerProcess | undefined {
    return this.controllers.find(({ spec }) => spec.name === name);
  }

  /** Kills a controller with SIGKILL, which it cannot handle, and restarts it after `downS` seconds. */
  crash(name: string, downS: number): void {
    const controller = this.findController(name);
    if (!controller?.child || controller.exited) return;
    controller.exitExpected = true;
    controller.child.kill('SIGKILL');
    this.options.runtime.after(downS * 1000, () => {
      if (!this.ending) this.spawnController(controller);
    });
  }

  /** Suspends a controller with SIGSTOP for `forS` seconds. Its clocks keep running. */
  pause(name: string, forS: number): void {
    const controller = this.findController(name);
    const child = controller?.child;
    if (!child || controller.exited) return;
    child.kill('SIGSTOP');
    this.options.runtime.after(forS * 1000, () => child.kill('SIGCONT'));
  }

  /** Kills every controller by process id and removes the settings files. */
  end(): void {
    this.ending = true;
    for (const { child, exited } of this.controllers) if (child && !exited) child.kill('SIGKILL');
    rmSync(this.dir, { recursive: true, force: true });
  }
}
