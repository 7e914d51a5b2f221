import { sha256 } from '@noble/hashes/sha2.js';
import { bytesToHex, utf8ToBytes } from '@noble/hashes/utils.js';
import { pino } from 'pino';
import { HttpClient, isObject, type Logger } from '../../../src/kernel/index.js';
import type { Breach } from './checker/index.js';
import { Controller } from './controller.js';
import type { Day, Trouble } from './day/index.js';
import type { ClassResult, Moment } from './daybook.js';
import { RegionParts, type ControllerSeat, type Place, type Seat } from './parts.js';
import type { Script } from './models/index.js';
import { Releases, THIS, type Running } from './releases/index.js';
import { settingsFor } from './settings.js';
import { DAY_BEGINS, Luck, Network, rest, SimProcess, World } from './sim/index.js';
import { KEPT_FOR_S, lateCopiesS, playTrouble, type Troubled } from './troubles.js';

const STATE = { host: '10.2.0.1', port: 2379 };
const CLOUD = { host: '10.2.0.2', port: 8443 };
const USERS = { host: '10.3.0.1', port: 80 };
const WORKER_PORT = 9000;
const LOOK_EVERY_MS = 5000;
/** Where the repository keeps the controllers of earlier releases. */
const FROZEN = 'packages/region/frozen';
const LEAVE_ASKED_MS = 2000;
const LEFT_LOOKED_MS = 100;
const LEFT_WITHIN_MS = 20_000;
const MOST_LOG_BYTES = 64 * 1024 * 1024;

export interface RegionOptions {
  readonly day: Day;
  /** Instead of the day's own. */
  readonly seed?: number;
  /** Logs of the controllers; silent when not given. */
  readonly controllerLog?: { readonly level: string; readonly write: (line: string) => void };
  /** Each line of the event log. */
  readonly event?: (line: string) => void;
  readonly broken?: (breach: Breach) => void;
  /** Who comes and what happens to machines and controllers, instead of what the day would draw. */
  readonly script?: Script;
  /** Controllers keep so many of their last events for those who record them. */
  readonly trailEvents?: number;
  /** Where the controllers of earlier releases are kept, for days that play them. */
  readonly releases?: Releases;
  /** For tests: what the controllers are told, instead of what is true. */
  readonly settings?: (toml: string) => string;
}

export interface PlayOptions {
  /** Called when simulated time has moved on; may wait, to keep to a pace. */
  readonly moved?: (nowMs: number) => Promise<void> | undefined;
  readonly stop?: () => boolean;
}

/** How the region stood at one moment. */
export interface RegionMoment extends Moment {
  readonly machinesUp: number;
  readonly controllersUp: number;
}

export interface DayResult {
  readonly day: string;
  readonly seed: number;
  readonly simulatedS: number;
  readonly classes: readonly ClassResult[];
  readonly money: { readonly spent: number; readonly usefulCost: number; readonly price: number | null };
  readonly machines: CloudCounts;
  readonly state: { readonly requests: number; readonly changes: number; readonly refused: number };
  readonly controllerStarts: number;
  /** Every few seconds, from the day's beginning. */
  readonly timeline: readonly RegionMoment[];
  readonly breaches: readonly Breach[];
  /** Starts of tasks whose user had been told that the job is cancelled, and how long after that the last was. */
  readonly startsAfterCancel: { readonly count: number; readonly latestMs: number };
  readonly defects: readonly string[];
  readonly open: readonly string[];
  /** Why the day has failed although every rule was kept: classes, teams or large jobs that were not served. */
  readonly failures: readonly string[];
  readonly events: number;
  /** SHA-256 of the event log. */
  readonly digest: string;
}

type CloudCounts = RegionParts['cloud']['counts'];

/** A whole region in simulated time: wooddrift's own controllers, unchanged, among models of all else. */
export class Region implements Troubled {
  readonly world = new World();
  readonly network: Network;
  readonly parts: RegionParts;
  readonly controllers: readonly Controller[];
  readonly luck: Luck;
  readonly day: Day;
  readonly seed: number;
  private readonly processes = new Map<string, SimProcess>();
  private readonly log: Logger = pino({ level: 'silent' });
  private readonly hash = sha256.create();
  private events = 0;
  private bytes = 0;
  private nextWorker = 0;
  private bystanders = 0;
  private readonly timeline: RegionMoment[] = [];
  private readonly releases: Releases;

  constructor(private readonly options: RegionOptions) {
    const { day } = options;
    this.releases = options.releases ?? new Releases(FROZEN);
    this.day = day;
    this.seed = options.seed ?? day.seed;
    this.luck = new Luck(this.seed, day.name);
    const { network: n } = day;
    this.network = new Network(
      this.world,
      { sameZoneMs: n.same_zone_ms, crossZoneMs: n.cross_zone_ms, jitter: n.jitter },
      this.luck.fork('network'),
    );
    const seats = Array.from({ length: day.controllers.count }, (_, i): ControllerSeat => {
      const host = `10.0.0.${i + 1}`;
      return {
        name: `node-${i}`,
        zone: day.zones[i % day.zones.length] ?? '',
        serveOn: { host, port: 8080 },
        peerOn: { host, port: 8081 },
      };
    });
    const place: Place = {
      seat: (name, zone) => this.seat(name, zone),
      now: () => this.world.now,
    };
    this.parts = new RegionParts({
      ...{ day, luck: this.luck, place, log: this.log, controllers: seats },
      note: (what) => this.note(what),
      ...(options.broken ? { broken: options.broken } : {}),
      ...(options.script ? { script: options.script } : {}),
    });
    this.controllers = seats.map((seat, i) => {
      const host = this.network.host(seat.serveOn.host, seat.zone);
      const made = new Controller(
        seat,
        host,
        (controller) => this.launch(controller, seats),
        day.controllers.releases[i],
      );
      // A release that isn't there is said before the day begins.
      this.releases.of(made.release);
      return made;
    });
    for (const trouble of day.troubles) if (trouble.kind === 'rollout') this.releases.of(trouble.to);
    const played = day.troubles.flatMap((trouble) => (trouble.kind === 'rollout' ? [trouble.to] : []));
    this.parts.checker.judgesOdd = [...day.controllers.releases, ...played].every((release) => release === THIS);
  }

  get now(): number {
    return this.world.now;
  }

  /** One line of the event log. */
  note(what: string): void {
    this.events += 1;
    const line = `${this.world.now.toFixed(3)} ${what}\n`;
    this.hash.update(utf8ToBytes(line));
    this.bytes += line.length;
    if (this.bytes <= MOST_LOG_BYTES) this.options.event?.(line);
  }

  private seat(name: string, zone: string | null): Seat {
    const fixed = { state: STATE, cloud: CLOUD, users: USERS }[name];
    const n = fixed ? 0 : this.nextWorker++;
    const at = fixed ?? { host: `10.1.${n >> 8}.${n & 255}`, port: WORKER_PORT };
    const host = this.network.host(at.host, zone);
    const luck = this.luck.fork(`process ${name}`);
    // The models' clocks are true, but for the workers', which drift as those of all machines do.
    const drift = fixed ? 0 : luck.between(-1, 1) * this.day.controllers.drift;
    const clocks = { drift, wanderMs: 0 };
    const process = new SimProcess(name, host, this.world, this.network, luck, clocks);
    const watchdog = new SimProcess(`${name} watchdog`, host, this.world, this.network, luck, clocks);
    this.processes.set(name, process);
    return {
      ...{ runtime: process, watchdog, at },
      close: () => {
        this.network.remove(host);
        process.kill();
        watchdog.kill();
        this.processes.delete(name);
      },
    };
  }

  /** The time of day at which a day begins, in milliseconds. */
  readonly wallAt0 = DAY_BEGINS;

  /** A process beside the region, such as an operator's tool, on a machine of its own. */
  bystander(name: string): SimProcess {
    const host = this.network.host(`10.4.0.${++this.bystanders}`, null);
    return new SimProcess(name, host, this.world, this.network, this.luck.fork(name));
  }

  /** The process of a machine's worker. */
  processOf(machine: string): SimProcess | undefined {
    return this.processes.get(machine);
  }

  private launch(controller: Controller, seats: readonly ControllerSeat[]): { process: SimProcess; service: Running } {
    const { day, settings, controllerLog, trailEvents } = this.options;
    const { seat, host, starts, release } = controller;
    const luck = this.luck.fork(`${seat.name} ${starts}`);
    const clocks = { drift: luck.between(0, 1) * day.controllers.drift, wanderMs: day.controllers.skew_ms / 2 };
    const { max_connections: most } = day.controllers;
    const process = new SimProcess(seat.name, host, this.world, this.network, luck, clocks, most);
    const toml = settingsFor(day, seat, seats, { state: STATE, cloud: CLOUD });
    const log: Logger = controllerLog
      ? pino(
          {
            level: controllerLog.level,
            base: { node: seat.name },
            timestamp: () => `,"time":${(this.world.now / 1000).toFixed(3)}`,
          },
          { write: (line: string) => controllerLog.write(line) },
        )
      : this.log;
    const options = trailEvents === undefined ? {} : { trailEvents };
    const service = this.releases.of(release).make(settings ? settings(toml) : toml, log, process, options);
    this.note(`starts ${seat.name}${release === THIS ? '' : ` as ${release}`}`);
    return { process, service };
  }

  /** Ends a controller, and starts it again after so long. */
  crash(controller: Controller, downS: number): void {
    if (!controller.process) return;
    this.note(`ends ${controller.seat.name}`);
    controller.crash();
    this.world.plan(this.world.now + downS * 1000, () => controller.start());
  }

  /**
   * Ends a controller and starts it again as another release. It is asked to leave first where that is wanted; one
   * that doesn't know the request, or hasn't left in time, is ended all the same.
   */
  replace(controller: Controller, to: string, downS: number, leave: boolean): void {
    const end = (): void => {
      controller.release = to;
      this.crash(controller, downS);
    };
    if (!leave || !controller.process) end();
    else void this.leaves(controller).then(end);
  }

  private async leaves({ seat }: Controller): Promise<void> {
    const operator = this.bystander(`operator of ${seat.name}`);
    const client = new HttpClient(seat.serveOn, 1, operator);
    const ask = async (method: 'GET' | 'POST', path: string): Promise<unknown> => {
      const answer = await client.call({
        method,
        path,
        timeoutMs: LEAVE_ASKED_MS,
        ...(method === 'POST' ? { body: {} } : {}),
      });
      return answer.kind === 'answered' && answer.status < 300 ? answer.body : null;
    };
    const until = operator.now() + LEFT_WITHIN_MS;
    if ((await ask('POST', '/admin/v1/leave')) !== null) {
      this.note(`leaves ${seat.name}`);
      while (operator.now() < until) {
        const said = await ask('GET', '/admin/v1/leave');
        if (isObject(said) && said['left'] === true) break;
        await operator.sleep(LEFT_LOOKED_MS);
      }
    }
    client.close();
  }

  /** The controller that leads, by what the state service holds. */
  get leader(): Controller | undefined {
    const value = this.parts.state.get('live/leader');
    const name = isObject(value) ? value['node'] : undefined;
    return this.controllers.find(({ seat }) => seat.name === name);
  }

  /** Notes how things stand, again and again; it takes no luck and no simulated time. */
  private look(): void {
    this.timeline.push({
      ...this.parts.daybook.moment(),
      machinesUp: this.parts.cloud.up.length,
      controllersUp: this.controllers.filter(({ process }) => process?.running === true).length,
    });
    this.parts.checker.look(this.parts.rooms);
    this.world.plan(this.world.now + LOOK_EVERY_MS, () => this.look());
  }

  private begin(): void {
    void this.parts.start();
    for (const controller of this.controllers) controller.start();
    this.parts.open();
    this.look();
    for (const { controller, atS, downS } of this.options.script?.crashes ?? []) {
      const crashed = this.controllers[controller];
      if (crashed) this.world.plan(atS * 1000, () => this.crash(crashed, downS));
    }
    // A rollout's last replacement is a trouble, too, and whatever ends needs a moment until users ask again.
    const ends = this.day.troubles.map((trouble) =>
      'for_s' in trouble
        ? trouble.at_s + trouble.for_s + (trouble.kind === 'reports_again' ? this.lateS(trouble) : 0)
        : trouble.at_s + ('gap_s' in trouble ? trouble.gap_s * this.controllers.length : 0) + this.downOf(trouble),
    );
    this.parts.checker.quietFrom = Math.max(0, ...ends) * 1000;
    for (const trouble of this.day.troubles) this.world.plan(trouble.at_s * 1000, () => playTrouble(trouble, this));
  }

  /** How late copies of reports come: well over a lease, where the day doesn't say. */
  private lateS({ late_s, for_next }: Extract<Trouble, { kind: 'reports_again' }>): number {
    return late_s ?? lateCopiesS(this.day) + (for_next === true ? KEPT_FOR_S : 0);
  }

  private downOf(trouble: Trouble): number {
    if (trouble.kind === 'cancel_now') return trouble.hang_s ?? 0;
    return ('down_s' in trouble ? trouble.down_s : undefined) ?? this.day.controllers.restart_s;
  }

  private begun = false;

  /** Plays up to a moment, in seconds of true time since the day began. */
  async play(untilS = this.day.duration_s, options: PlayOptions = {}): Promise<void> {
    if (!this.begun) {
      this.begun = true;
      this.world.plan(0, () => this.begin());
    }
    await this.world.run(untilS * 1000, { rest, ...options });
  }

  /** The day's figures. Nothing can be played after this. */
  close(): DayResult {
    const { parts } = this;
    parts.users.stop();
    parts.checker.close();
    const classes = parts.daybook.close();
    const { open, failures } = parts.daybook;
    for (const { model } of parts.workers.values()) model.end();
    const spent = parts.cloud.settle();
    const usefulCost = parts.usefulCost();
    return {
      day: this.day.name,
      seed: this.seed,
      simulatedS: this.world.now / 1000,
      classes,
      money: { spent, usefulCost, price: usefulCost > 0 ? spent / usefulCost : null },
      machines: parts.cloud.counts,
      state: parts.state.counts,
      controllerStarts: this.controllers.reduce((sum, { starts }) => sum + starts, 0),
      timeline: this.timeline,
      breaches: parts.checker.breaches,
      startsAfterCancel: parts.checker.startsAfterCancel,
      defects: this.world.defects.map((error) =>
        error instanceof Error ? (error.stack ?? error.message) : String(error),
      ),
      open,
      failures,
      events: this.events,
      digest: bytesToHex(this.hash.digest()),
    };
  }
}
