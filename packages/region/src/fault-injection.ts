/** Fault injection: starts and ends the faults that a day schedules. */

import type { SimulationScenario, Fault } from './scenario/index.js';
import type { Machine, WorkerModel } from './models/index.js';
import type { Controller } from './controller.js';
import { duplicateCommands, duplicateReports, duplicateWrites } from './message-copies.js';
import type { RegionParts } from './region-parts.js';
import type { Partition, PartitionKind, Host, RandomStream, Network, SimProcess, EventQueue } from './sim/index.js';

/** The fault of a given kind. */
type FaultOf<K extends Fault['kind']> = Extract<Fault, { kind: K }>;

const isWorker = (host: Host): boolean => host.ip.startsWith('10.1.');
const isController = (host: Host): boolean => host.ip.startsWith('10.0.');

/** The region as fault injection sees it: everything that a fault can act on. */
export interface FaultTarget {
  readonly day: SimulationScenario;
  readonly parts: RegionParts;
  readonly network: Network;
  readonly world: EventQueue;
  readonly random: RandomStream;
  readonly controllers: readonly Controller[];
  readonly leader: Controller | undefined;
  /** Appends a line to the event log. */
  logEvent(what: string): void;
  /** The process of a machine's worker. */
  workerProcessOf(machine: string): SimProcess | undefined;
  /** Crashes a controller and starts it again after `downS` seconds. */
  crash(controller: Controller, downS: number): void;
  /** Kills a controller and starts it again as another release; with `leave` it is first asked to leave. */
  replace(controller: Controller, to: string, downS: number, leave: boolean): void;
}

/** At most this many machines hang after a `cancel_now` fault. */
const MAX_HUNG_WORKERS = 8;

/**
 * Hangs the workers of some machines for `forS` seconds. Their leases still run out on time; a worker that resumes
 * before its lease expires continues its tasks.
 */
export function hangWorkers(region: FaultTarget, chosen: readonly WorkerModel[], forS: number): void {
  const { parts, world } = region;
  const hung = chosen.filter(({ machine }) => parts.workers.has(machine.id));
  for (const worker of hung) {
    worker.pause();
    region.workerProcessOf(worker.machine.id)?.freeze();
  }
  world.schedule(world.now + forS * 1000, () => {
    for (const worker of hung) {
      if (!parts.workers.has(worker.machine.id)) continue;
      worker.resume();
      region.workerProcessOf(worker.machine.id)?.thaw();
    }
  });
}

/** The hosts that a controller is cut off from, by the value of `from`. */
const CUT_FROM: Record<FaultOf<'controller_cut'>['from'], (other: Host) => boolean> = {
  all: () => true,
  state: (other) => other.ip === '10.2.0.1',
  users: (other) => other.ip === '10.3.0.1',
  workers: isWorker,
  controllers: isController,
  'state and controllers': (other) => other.ip === '10.2.0.1' || isController(other),
};

/** Which machines a fault affects. */
interface MachineSelection {
  readonly count?: number | undefined;
  readonly share?: number | undefined;
  readonly zone?: string | undefined;
}

/** Chooses machines at random, by count or else by share, from one zone if given. `all` holds the machines up. */
export function chooseMachines(
  all: readonly Machine[],
  random: RandomStream,
  { count, share, zone }: MachineSelection,
): Machine[] {
  const candidates = all.filter((machine) => zone === undefined || machine.zone === zone);
  return random.sample(candidates, count ?? Math.round(candidates.length * (share ?? 0)));
}

/** Chooses the machines that a fault affects, with a random stream for this moment. */
const selectMachines = (region: FaultTarget, which: MachineSelection): Machine[] =>
  chooseMachines(region.parts.cloud.up, region.random.fork(`drawn ${region.world.now}`), which);

/** The controllers that a fault affects; none while there is no leader. */
function controllersOf(region: FaultTarget, which: number | 'leader' | 'all'): readonly Controller[] {
  if (which === 'all') return region.controllers;
  const controller = which === 'leader' ? region.leader : region.controllers[which];
  return controller ? [controller] : [];
}

/** Starts a fault and schedules its end. */
export function startFault(fault: Fault, region: FaultTarget): void {
  const { day, parts, network, world } = region;
  region.logEvent(`trouble ${fault.kind}`);
  const scheduleEnd = (seconds: number, work: () => void): void => {
    world.schedule(world.now + seconds * 1000, () => {
      region.logEvent(`over ${fault.kind}`);
      work();
    });
  };
  const cutFor = (seconds: number, kind: PartitionKind, between: Partition['between']): void => {
    const cut: Partition = { kind, between };
    network.addPartition(cut);
    scheduleEnd(seconds, () => network.removePartition(cut));
  };
  /** Applies a fault of the state service to some controllers only, until the fault is over. */
  const applyToControllers = (
    { controller, for_s }: FaultOf<'controller_refused' | 'watch_held'>,
    apply: (ip: string, on: boolean) => void,
  ): void => {
    const chosen = controllersOf(region, controller).map(({ host }) => host.ip);
    for (const ip of chosen) apply(ip, true);
    scheduleEnd(for_s, () => {
      for (const ip of chosen) apply(ip, false);
    });
  };
  const workersOf = (chosen: readonly Machine[]) =>
    chosen.flatMap((machine) => {
      const hosted = parts.workers.get(machine.id);
      return hosted ? [hosted.model] : [];
    });

  switch (fault.kind) {
    case 'burst':
      parts.users.setArrivalFactor(fault.class, fault.times);
      scheduleEnd(fault.for_s, () => parts.users.setArrivalFactor(fault.class, 1));
      break;
    case 'machines_die':
      for (const machine of selectMachines(region, fault)) parts.cloud.failMachine(machine);
      break;
    case 'machines_hang': {
      hangWorkers(region, workersOf(selectMachines(region, fault)), fault.for_s);
      break;
    }
    case 'machines_cut': {
      const hosts = new Set(
        selectMachines(region, fault).flatMap((machine) => {
          const process = region.workerProcessOf(machine.id);
          return process ? [process.host] : [];
        }),
      );
      cutFor(fault.for_s, fault.manner, (a, b) => hosts.has(a) && !hosts.has(b));
      break;
    }
    case 'machines_fail_tasks': {
      const chosen = workersOf(selectMachines(region, fault));
      for (const worker of chosen) worker.tasks.failsTasks = true;
      scheduleEnd(fault.for_s, () => {
        for (const worker of chosen) worker.tasks.failsTasks = false;
      });
      break;
    }
    case 'machines_slow': {
      const chosen = workersOf(selectMachines(region, fault));
      for (const worker of chosen) worker.tasks.slowness = fault.times;
      scheduleEnd(fault.for_s, () => {
        for (const worker of chosen) worker.tasks.slowness = 1;
      });
      break;
    }
    case 'spot_wave': {
      const spot = parts.cloud.up.filter((machine) => machine.spot);
      const random = region.random.fork(`wave ${region.world.now}`);
      for (const machine of random.sample(spot, Math.round(spot.length * fault.share)))
        parts.cloud.reclaim(machine, fault.notice);
      break;
    }
    case 'controller_crash':
      for (const controller of controllersOf(region, fault.controller))
        region.crash(controller, fault.down_s ?? day.controllers.restart_s);
      break;
    case 'controller_pause': {
      const chosen = controllersOf(region, fault.controller).flatMap(({ process }) => (process ? [process] : []));
      for (const process of chosen) process.freeze();
      scheduleEnd(fault.for_s, () => {
        for (const process of chosen) process.thaw();
      });
      break;
    }
    case 'controller_cut': {
      const hosts = new Set(controllersOf(region, fault.controller).map(({ host }) => host));
      const isCutFrom = CUT_FROM[fault.from];
      cutFor(fault.for_s, fault.manner, (a, b) => hosts.has(a) && !hosts.has(b) && isCutFrom(b));
      break;
    }
    case 'controller_refused':
      applyToControllers(fault, (ip, on) => parts.state.refuse(ip, on));
      break;
    case 'watch_held':
      applyToControllers(fault, (ip, on) => parts.state.holdWatches(ip, on));
      break;
    case 'rolling_restart':
      for (const [i, controller] of region.controllers.entries())
        world.schedule(world.now + i * fault.gap_s * 1000, () => region.crash(controller, day.controllers.restart_s));
      break;
    case 'rollout': {
      const order = fault.order ?? region.controllers.map((_, i) => i);
      for (const [i, number] of order.entries()) {
        const controller = region.controllers[number];
        if (!controller) continue;
        world.schedule(world.now + i * fault.gap_s * 1000, () =>
          region.replace(controller, fault.to, fault.down_s ?? day.controllers.restart_s, fault.leave),
        );
      }
      break;
    }
    case 'peers_refuse':
      cutFor(fault.for_s, 'refuse', (a, b) => isController(a) && isController(b));
      break;
    case 'state_limits': {
      const { next } = day.state;
      if (next) parts.state.limit({ writeRps: next.write_rps, valueKb: next.value_kb, txnOps: next.txn_ops });
      break;
    }
    case 'machines_deaf': {
      const chosen = workersOf(selectMachines(region, fault));
      for (const worker of chosen) worker.dropsInbound = true;
      scheduleEnd(fault.for_s, () => {
        for (const worker of chosen) worker.dropsInbound = false;
      });
      break;
    }
    case 'machines_mute': {
      const chosen = workersOf(selectMachines(region, fault));
      for (const worker of chosen) worker.dropsOutbound = true;
      scheduleEnd(fault.for_s, () => {
        for (const worker of chosen) worker.dropsOutbound = false;
      });
      break;
    }
    case 'commands_held': {
      const chosen = workersOf(selectMachines(region, fault));
      for (const worker of chosen) worker.delaysCommands = true;
      scheduleEnd(fault.for_s, () => {
        for (const worker of chosen) worker.delaysCommands = false;
      });
      break;
    }
    case 'cancel_now': {
      const views = parts.users.close.cancelRunningJobs(
        fault.count,
        ({ spec }) => parts.machinesOf(spec.ref).length > 0,
      );
      const { hang_s } = fault;
      if (hang_s === undefined) break;
      const machines = new Set(views.flatMap(({ job }) => parts.machinesOf(job.spec.ref)));
      // The jobs are cancelled within 200 ms. Spreading the hangs over 250 ms makes some machines hang before the
      // cancellation and some after it.
      for (const worker of [...machines].slice(0, MAX_HUNG_WORKERS))
        world.schedule(world.now + region.random.uniform(0, 250), () => hangWorkers(region, [worker], hang_s));
      break;
    }
    case 'cancel_at_end':
      parts.users.close.behavior.cancelAtCompletionShare = fault.share;
      scheduleEnd(fault.for_s, () => (parts.users.close.behavior.cancelAtCompletionShare = 0));
      break;
    case 'odd_requests':
      parts.users.close.behavior.sendsUnusualRequests = true;
      scheduleEnd(fault.for_s, () => (parts.users.close.behavior.sendsUnusualRequests = false));
      break;
    case 'close_looks':
      parts.users.close.behavior.queriesAllNodes = true;
      scheduleEnd(fault.for_s, () => (parts.users.close.behavior.queriesAllNodes = false));
      break;
    case 'answers_held':
      parts.state.heldAnswerShare = fault.share;
      scheduleEnd(fault.for_s, () => (parts.state.heldAnswerShare = 0));
      break;
    case 'boots_at_once':
      parts.cloud.bootsFast = true;
      scheduleEnd(fault.for_s, () => (parts.cloud.bootsFast = false));
      break;
    case 'reports_again':
      duplicateReports(region, fault);
      break;
    case 'commands_again':
      duplicateCommands(region, fault);
      break;
    case 'writes_again':
      duplicateWrites(region, fault);
      break;
    case 'machines_restart':
      for (const worker of workersOf(selectMachines(region, fault))) worker.restart(fault.down_s);
      break;
    case 'state_outage':
      parts.state.setOutage(true);
      scheduleEnd(fault.for_s, () => parts.state.setOutage(false));
      break;
    case 'state_slow':
      parts.state.slowness = fault.times;
      scheduleEnd(fault.for_s, () => (parts.state.slowness = 1));
      break;
    case 'late_writes':
      parts.state.lateWriteShare = fault.share;
      parts.state.appliesLateWritesAtOnce = fault.at_once === true;
      scheduleEnd(fault.for_s, () => (parts.state.lateWriteShare = 0));
      break;
    case 'watch_forgets':
      parts.state.forget();
      break;
    case 'cloud_outage':
      parts.cloud.setOutage(true);
      scheduleEnd(fault.for_s, () => parts.cloud.setOutage(false));
      break;
    case 'capacity_drop':
      parts.cloud.capacityShare = 1 - fault.share;
      scheduleEnd(fault.for_s, () => (parts.cloud.capacityShare = 1));
      break;
    case 'boots_late':
      parts.cloud.bootTimeFactor = fault.times;
      scheduleEnd(fault.for_s, () => (parts.cloud.bootTimeFactor = 1));
      break;
    case 'boots_never':
      parts.cloud.neverBootShare = fault.share;
      scheduleEnd(fault.for_s, () => (parts.cloud.neverBootShare = 0));
      break;
    case 'zone_cut':
      cutFor(fault.for_s, fault.manner, (a, b) => a.zone === fault.zone && b.zone !== fault.zone);
      break;
  }
}
