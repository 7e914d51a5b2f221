import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { HttpClient, isObject, systemRuntime, type Connection, type Runtime } from '../../../../src/kernel/index.js';
import type { Day } from '../day/index.js';
import { LOOPBACK } from '../real.js';
import { settingsFor } from '../settings.js';
import type { ControllerSeat } from '../parts.js';
import type { Endpoint } from '../../../../src/kernel/index.js';
import { ScaleError } from './errors.js';
import type { Launch } from './fleet.js';

const HEALTHY_WITHIN_MS = 30_000;
const LOOK_EVERY_MS = 100;
const PROBE_TIMEOUT_MS = 1000;
/** Levels of the log's lines that count as warnings. */
const WARNING_LEVEL = 40;
const KEPT_LINES = 20;

/** Below the ports that systems give to outgoing connections and to listeners that name none. */
const PORTS = { from: 12_000, to: 30_000 } as const;
const PORTS_TRIED = 2000;

async function isFree(port: number): Promise<boolean> {
  const at = { host: LOOPBACK, port };
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

/** Ports on loopback that nothing listens on now, and that the system gives to nobody by itself. */
export async function freePorts(
  count: number,
  random: () => number = systemRuntime.random,
): Promise<readonly number[]> {
  const span = PORTS.to - PORTS.from;
  const first = Math.floor(random() * span);
  const found: number[] = [];
  for (let i = 0; i < PORTS_TRIED && found.length < count; i++) {
    const port = PORTS.from + ((first + i) % span);
    if (await isFree(port)) found.push(port);
  }
  if (found.length < count)
    throw new ScaleError(`${found.length} free ports from ${PORTS.from} to ${PORTS.to}, and ${count} are needed`);
  return found;
}

interface Running {
  readonly seat: ControllerSeat;
  readonly file: string;
  child: ChildProcess | undefined;
  ended: boolean;
  /** It was ended on purpose, and is started again later. */
  expected: boolean;
  lives: number;
}

export interface ControllersOptions {
  readonly day: Day;
  readonly seats: readonly ControllerSeat[];
  readonly services: { readonly state: Endpoint; readonly cloud: Endpoint };
  readonly launch: Launch;
  readonly runtime: Runtime;
  /** A controller ended although nobody asked it to. */
  readonly failed: (error: ScaleError) => void;
}

/** The controllers of a scale run: whole processes of this program, started and ended here. */
export class ControllerProcesses {
  private readonly running: readonly Running[];
  private readonly dir = mkdtempSync(join(tmpdir(), 'wooddrift-scale-'));
  private ending = false;
  /** Lines of the logs at or above the level of a warning; the first few whole. */
  readonly warnings = { count: 0, first: [] as string[] };
  private lastLine = '';

  constructor(private readonly options: ControllersOptions) {
    const { day, seats, services } = options;
    this.running = seats.map((seat) => {
      const file = join(this.dir, `${seat.name}.toml`);
      writeFileSync(file, settingsFor(day, seat, seats, services));
      return { seat, file, child: undefined, ended: false, expected: false, lives: 0 };
    });
  }

  /** Starts all of them; resolves once each answers its health check. */
  async start(): Promise<void> {
    for (const running of this.running) this.launch(running);
    await Promise.all(this.running.map((running) => this.healthy(running)));
  }

  private launch(running: Running): void {
    const { node, controllerFlags, script } = this.options.launch;
    const args = [...controllerFlags, script, 'serve', '--config', running.file];
    const child = spawn(node, args, { stdio: ['ignore', 'ignore', 'pipe'], env: { ...this.environment } });
    running.child = child;
    running.ended = running.expected = false;
    running.lives += 1;
    child.stderr.setEncoding('utf8');
    child.stderr.on('data', (text: string) => this.read(text));
    child.on('error', (error) =>
      this.options.failed(new ScaleError(`${running.seat.name} could not be started: ${error.message}`)),
    );
    child.on('exit', (code, signal) => {
      if (running.child !== child) return;
      running.ended = true;
      if (this.ending || running.expected) return;
      const why = signal ?? `exit code ${code}`;
      this.options.failed(new ScaleError(`${running.seat.name} ended: ${why}; its last line: ${this.lastLine}`));
    });
  }

  private readonly environment = { LOG_LEVEL: 'warn' };

  private read(text: string): void {
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
      if (typeof level === 'number' && level < WARNING_LEVEL) continue;
      this.warnings.count += 1;
      if (this.warnings.first.length < KEPT_LINES) this.warnings.first.push(line);
    }
  }

  private async healthy(running: Running): Promise<void> {
    const { name, serveOn } = running.seat;
    const { runtime } = this.options;
    const client = new HttpClient(serveOn, 1, runtime);
    const until = runtime.now() + HEALTHY_WITHIN_MS;
    try {
      while (runtime.now() < until && !this.ending) {
        if (running.ended) throw new ScaleError(`${name} ended at once; the last line of the logs: ${this.lastLine}`);
        const answer = await client.call({ method: 'GET', path: '/healthz', timeoutMs: PROBE_TIMEOUT_MS });
        if (answer.kind === 'answered' && answer.status === 200) return;
        await runtime.sleep(LOOK_EVERY_MS);
      }
    } finally {
      client.close();
    }
    if (!this.ending)
      throw new ScaleError(
        `${name} was not healthy within ${HEALTHY_WITHIN_MS / 1000} s; the last line of the logs: ${this.lastLine || 'none'}`,
      );
  }

  get seats(): readonly ControllerSeat[] {
    return this.running.map(({ seat }) => seat);
  }

  /** Process ids by name; those that are down have none. */
  get pids(): ReadonlyMap<string, number> {
    const pids = new Map<string, number>();
    for (const { seat, child, ended } of this.running)
      if (child?.pid !== undefined && !ended) pids.set(seat.name, child.pid);
    return pids;
  }

  private find(name: string): Running | undefined {
    return this.running.find(({ seat }) => seat.name === name);
  }

  /** Ends a controller without a signal that it could handle, and starts it again. */
  crash(name: string, downS: number): void {
    const running = this.find(name);
    if (!running?.child || running.ended) return;
    running.expected = true;
    running.child.kill('SIGKILL');
    this.options.runtime.after(downS * 1000, () => {
      if (!this.ending) this.launch(running);
    });
  }

  /** A controller stands still while its clocks run on. */
  pause(name: string, forS: number): void {
    const running = this.find(name);
    const child = running?.child;
    if (!child || running.ended) return;
    child.kill('SIGSTOP');
    this.options.runtime.after(forS * 1000, () => child.kill('SIGCONT'));
  }

  /** Ends every process, by its id, and removes their settings files. */
  end(): void {
    this.ending = true;
    for (const { child, ended } of this.running) if (child && !ended) child.kill('SIGKILL');
    rmSync(this.dir, { recursive: true, force: true });
  }
}
