import { isObject } from '../../../src/kernel/index.js';
import type { Day, Trouble } from './day/index.js';
import type { Machine, WorkerModel } from './models/index.js';
import type { Controller } from './controller.js';
import type { RegionParts } from './parts.js';
import type { Cut, CutKind, Host, Luck, Network, SimProcess, World } from './sim/index.js';

type Of<K extends Trouble['kind']> = Extract<Trouble, { kind: K }>;

const isWorker = (host: Host): boolean => host.ip.startsWith('10.1.');
const isController = (host: Host): boolean => host.ip.startsWith('10.0.');

/** What troubles reach into. */
export interface Troubled {
  readonly day: Day;
  readonly parts: RegionParts;
  readonly network: Network;
  readonly world: World;
  readonly luck: Luck;
  readonly controllers: readonly Controller[];
  readonly leader: Controller | undefined;
  note(what: string): void;
  /** The process of a machine's worker. */
  processOf(machine: string): SimProcess | undefined;
  /** Ends a controller, and starts it again after so many seconds. */
  crash(controller: Controller, downS: number): void;
  /** Ends it and starts it again as another release, after it was asked to leave where that is wanted. */
  replace(controller: Controller, to: string, downS: number, leave: boolean): void;
}

const MOST_HANG = 8;

/** Machines hang: their lease ends all the same, and they may go on within it. */
export function hang(region: Troubled, chosen: readonly WorkerModel[], forS: number): void {
  const { parts, world } = region;
  const hung = chosen.filter(({ machine }) => parts.workers.has(machine.id));
  for (const worker of hung) {
    worker.pause();
    region.processOf(worker.machine.id)?.freeze();
  }
  world.plan(world.now + forS * 1000, () => {
    for (const worker of hung) {
      if (!parts.workers.has(worker.machine.id)) continue;
      worker.resume();
      region.processOf(worker.machine.id)?.thaw();
    }
  });
}

/** Copies that are kept for the next leader are given to it for so long after the last was made. */
export const KEPT_FOR_S = 40;
const MOST_KEPT = 400;
const KEPT_LOOK_MS = 50;

/** How late copies of reports come at most, where a day doesn't say: well over a lease. */
export const lateCopiesS = (day: Day): number => 1.7 * day.workers.lease_s;

/** Who leads and who holds which shard, as far as it is told by lives. */
function rolesIn(region: Troubled): string {
  const { state } = region.parts;
  const shards = state.under('live/shards/').map((key) => state.get(key));
  return JSON.stringify([
    state.get('live/leader'),
    shards.map((shard) => (isObject(shard) ? [shard['holder'], shard['incarnation']] : null)),
  ]);
}

/** Copies of reports wait until another leads or holds a shard, and then reach every controller. */
function keepReports(region: Troubled, share: number, forS: number): void {
  const { parts, world, luck } = region;
  const kept: unknown[] = [];
  const keep = (body: unknown): void => {
    kept.push(body);
    if (kept.length > MOST_KEPT) kept.shift();
  };
  const copies = { share, lateMs: 0, keep };
  parts.copies = copies;
  const endAt = world.now + forS * 1000;
  world.plan(endAt, () => {
    if (parts.copies === copies) parts.copies = null;
  });
  let roles = rolesIn(region);
  const look = (): void => {
    const now = rolesIn(region);
    if (now !== roles) {
      roles = now;
      for (const body of kept.splice(0)) {
        world.plan(world.now + luck.between(0, 1500), () => parts.deliverReport(body));
      }
    }
    if (world.now < endAt + KEPT_FOR_S * 1000) world.plan(world.now + KEPT_LOOK_MS, look);
  };
  look();
}

/** What a controller is cut off from. */
const SIDES: Record<Of<'controller_cut'>['from'], (other: Host) => boolean> = {
  all: () => true,
  state: (other) => other.ip === '10.2.0.1',
  users: (other) => other.ip === '10.3.0.1',
  workers: isWorker,
  controllers: isController,
  'state and controllers': (other) => other.ip === '10.2.0.1' || isController(other),
};

interface Drawn {
  readonly count?: number | undefined;
  readonly share?: number | undefined;
  readonly zone?: string | undefined;
}

/** Machines of those that are up, drawn by count or share, of one zone where that is named. */
export function chooseMachines(all: readonly Machine[], luck: Luck, { count, share, zone }: Drawn): Machine[] {
  const up = all.filter((machine) => zone === undefined || machine.zone === zone);
  return luck.some(up, count ?? Math.round(up.length * (share ?? 0)));
}

const drawn = (region: Troubled, which: Drawn): Machine[] =>
  chooseMachines(region.parts.cloud.up, region.luck.fork(`drawn ${region.world.now}`), which);

function controllersOf(region: Troubled, which: number | 'leader' | 'all'): readonly Controller[] {
  if (which === 'all') return region.controllers;
  const one = which === 'leader' ? region.leader : region.controllers[which];
  return one ? [one] : [];
}

/** Lets a trouble begin, and plans its end. */
export function playTrouble(trouble: Trouble, region: Troubled): void {
  const { day, parts, network, world } = region;
  region.note(`trouble ${trouble.kind}`);
  const after = (seconds: number, work: () => void): void => {
    world.plan(world.now + seconds * 1000, () => {
      region.note(`over ${trouble.kind}`);
      work();
    });
  };
  const cutFor = (seconds: number, kind: CutKind, between: Cut['between']): void => {
    const cut: Cut = { kind, between };
    network.cut(cut);
    after(seconds, () => network.heal(cut));
  };
  /** The state service does something to controllers alone, until the trouble is over. */
  const stateTreats = (
    { controller, for_s }: Of<'controller_refused' | 'watch_held'>,
    treat: (ip: string, on: boolean) => void,
  ): void => {
    const chosen = controllersOf(region, controller).map(({ host }) => host.ip);
    for (const ip of chosen) treat(ip, true);
    after(for_s, () => {
      for (const ip of chosen) treat(ip, false);
    });
  };
  const workersOf = (chosen: readonly Machine[]) =>
    chosen.flatMap((machine) => {
      const held = parts.workers.get(machine.id);
      return held ? [held.model] : [];
    });

  switch (trouble.kind) {
    case 'burst':
      parts.users.burst(trouble.class, trouble.times);
      after(trouble.for_s, () => parts.users.burst(trouble.class, 1));
      break;
    case 'machines_die':
      for (const machine of drawn(region, trouble)) parts.cloud.die(machine);
      break;
    case 'machines_hang': {
      hang(region, workersOf(drawn(region, trouble)), trouble.for_s);
      break;
    }
    case 'machines_cut': {
      const hosts = new Set(
        drawn(region, trouble).flatMap((machine) => {
          const process = region.processOf(machine.id);
          return process ? [process.host] : [];
        }),
      );
      cutFor(trouble.for_s, trouble.manner, (a, b) => hosts.has(a) && !hosts.has(b));
      break;
    }
    case 'machines_fail_tasks': {
      const chosen = workersOf(drawn(region, trouble));
      for (const worker of chosen) worker.tasks.failsTasks = true;
      after(trouble.for_s, () => {
        for (const worker of chosen) worker.tasks.failsTasks = false;
      });
      break;
    }
    case 'machines_slow': {
      const chosen = workersOf(drawn(region, trouble));
      for (const worker of chosen) worker.tasks.slowness = trouble.times;
      after(trouble.for_s, () => {
        for (const worker of chosen) worker.tasks.slowness = 1;
      });
      break;
    }
    case 'spot_wave': {
      const spot = parts.cloud.up.filter((machine) => machine.spot);
      const luck = region.luck.fork(`wave ${region.world.now}`);
      for (const machine of luck.some(spot, Math.round(spot.length * trouble.share)))
        parts.cloud.takeBack(machine, trouble.notice);
      break;
    }
    case 'controller_crash':
      for (const controller of controllersOf(region, trouble.controller))
        region.crash(controller, trouble.down_s ?? day.controllers.restart_s);
      break;
    case 'controller_pause': {
      const chosen = controllersOf(region, trouble.controller).flatMap(({ process }) => (process ? [process] : []));
      for (const process of chosen) process.freeze();
      after(trouble.for_s, () => {
        for (const process of chosen) process.thaw();
      });
      break;
    }
    case 'controller_cut': {
      const hosts = new Set(controllersOf(region, trouble.controller).map(({ host }) => host));
      const side = SIDES[trouble.from];
      cutFor(trouble.for_s, trouble.manner, (a, b) => hosts.has(a) && !hosts.has(b) && side(b));
      break;
    }
    case 'controller_refused':
      stateTreats(trouble, (ip, on) => parts.state.refuse(ip, on));
      break;
    case 'watch_held':
      stateTreats(trouble, (ip, on) => parts.state.holdWatches(ip, on));
      break;
    case 'rolling_restart':
      for (const [i, controller] of region.controllers.entries())
        world.plan(world.now + i * trouble.gap_s * 1000, () => region.crash(controller, day.controllers.restart_s));
      break;
    case 'rollout': {
      const order = trouble.order ?? region.controllers.map((_, i) => i);
      for (const [i, which] of order.entries()) {
        const controller = region.controllers[which];
        if (!controller) continue;
        world.plan(world.now + i * trouble.gap_s * 1000, () =>
          region.replace(controller, trouble.to, trouble.down_s ?? day.controllers.restart_s, trouble.leave),
        );
      }
      break;
    }
    case 'peers_refuse':
      cutFor(trouble.for_s, 'refuse', (a, b) => isController(a) && isController(b));
      break;
    case 'state_limits': {
      const { next } = day.state;
      if (next) parts.state.limit({ writeRps: next.write_rps, valueKb: next.value_kb, txnOps: next.txn_ops });
      break;
    }
    case 'machines_deaf': {
      const chosen = workersOf(drawn(region, trouble));
      for (const worker of chosen) worker.deaf = true;
      after(trouble.for_s, () => {
        for (const worker of chosen) worker.deaf = false;
      });
      break;
    }
    case 'machines_mute': {
      const chosen = workersOf(drawn(region, trouble));
      for (const worker of chosen) worker.mute = true;
      after(trouble.for_s, () => {
        for (const worker of chosen) worker.mute = false;
      });
      break;
    }
    case 'commands_held': {
      const chosen = workersOf(drawn(region, trouble));
      for (const worker of chosen) worker.holdsCommands = true;
      after(trouble.for_s, () => {
        for (const worker of chosen) worker.holdsCommands = false;
      });
      break;
    }
    case 'cancel_now': {
      const views = parts.users.close.cancelNow(trouble.count, ({ spec }) => parts.machinesOf(spec.ref).length > 0);
      const { hang_s } = trouble;
      if (hang_s === undefined) break;
      const machines = new Set(views.flatMap(({ job }) => parts.machinesOf(job.spec.ref)));
      // Within the fifth of a second in which their jobs are cancelled: some before, some after.
      for (const worker of [...machines].slice(0, MOST_HANG))
        world.plan(world.now + region.luck.between(0, 250), () => hang(region, [worker], hang_s));
      break;
    }
    case 'cancel_at_end':
      parts.users.close.habits.cancelsAtEnd = trouble.share;
      after(trouble.for_s, () => (parts.users.close.habits.cancelsAtEnd = 0));
      break;
    case 'odd_requests':
      parts.users.close.habits.odd = true;
      after(trouble.for_s, () => (parts.users.close.habits.odd = false));
      break;
    case 'close_looks':
      parts.users.close.habits.looks = true;
      after(trouble.for_s, () => (parts.users.close.habits.looks = false));
      break;
    case 'answers_held':
      parts.state.heldAnswers = trouble.share;
      after(trouble.for_s, () => (parts.state.heldAnswers = 0));
      break;
    case 'boots_at_once':
      parts.cloud.bootsAtOnce = true;
      after(trouble.for_s, () => (parts.cloud.bootsAtOnce = false));
      break;
    case 'reports_again': {
      if (trouble.for_next === true) {
        keepReports(region, trouble.share, trouble.for_s);
        break;
      }
      const again = { share: trouble.share, lateMs: (trouble.late_s ?? lateCopiesS(day)) * 1000 };
      parts.copies = again;
      after(trouble.for_s, () => {
        if (parts.copies === again) parts.copies = null;
      });
      break;
    }
    case 'machines_restart':
      for (const worker of workersOf(drawn(region, trouble))) worker.restart(trouble.down_s);
      break;
    case 'state_outage':
      parts.state.outage(true);
      after(trouble.for_s, () => parts.state.outage(false));
      break;
    case 'state_slow':
      parts.state.slowness = trouble.times;
      after(trouble.for_s, () => (parts.state.slowness = 1));
      break;
    case 'late_writes':
      parts.state.lateWrites = trouble.share;
      parts.state.lateAtOnce = trouble.at_once === true;
      after(trouble.for_s, () => (parts.state.lateWrites = 0));
      break;
    case 'watch_forgets':
      parts.state.forget();
      break;
    case 'cloud_outage':
      parts.cloud.outage(true);
      after(trouble.for_s, () => parts.cloud.outage(false));
      break;
    case 'capacity_drop':
      parts.cloud.capacityShare = 1 - trouble.share;
      after(trouble.for_s, () => (parts.cloud.capacityShare = 1));
      break;
    case 'boots_late':
      parts.cloud.bootFactor = trouble.times;
      after(trouble.for_s, () => (parts.cloud.bootFactor = 1));
      break;
    case 'boots_never':
      parts.cloud.neverShare = trouble.share;
      after(trouble.for_s, () => (parts.cloud.neverShare = 0));
      break;
    case 'zone_cut':
      cutFor(trouble.for_s, trouble.manner, (a, b) => a.zone === trouble.zone && b.zone !== trouble.zone);
      break;
  }
}
