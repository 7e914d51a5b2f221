/** Duplicates of messages that were executed and answered: when they arrive once more. */

import { isObject } from '../../../src/kernel/index.js';
import type { Fault, SimulationScenario } from './scenario/index.js';
import type { RegionParts } from './region-parts.js';
import type { EventQueue, RandomStream } from './sim/index.js';

/** The fault of a given kind. */
type FaultOf<K extends Fault['kind']> = Extract<Fault, { kind: K }>;

/** The region as the faults of this module see it. */
export interface CopyTarget {
  readonly day: SimulationScenario;
  readonly parts: RegionParts;
  readonly world: EventQueue;
  readonly random: RandomStream;
}

/** Time after the end of the fault in which kept copies are still delivered when a leader or shard holder changes. */
const KEPT_COPY_RETENTION_S = 40;
/** At most this many copies are kept; the oldest are dropped first. */
const MAX_KEPT_COPIES = 400;
/** Interval at which leader and shard holders are compared while copies are kept. */
const ROLE_POLL_INTERVAL_MS = 50;
/** Kept copies arrive within this time after the change. */
const DELIVERY_SPREAD_MS = 1500;

/** The longest delay of duplicates in seconds when the day sets none: well over the duration of a lease. */
const defaultDelayS = (day: SimulationScenario): number => 1.7 * day.workers.lease_s;

/** The leader and the holder of each shard with its incarnation, as a string that can be compared. */
function currentRoles({ state }: RegionParts): string {
  const shards = state.under('live/shards/').map((key) => state.get(key));
  return JSON.stringify([
    state.get('live/leader'),
    shards.map((shard) => (isObject(shard) ? [shard['holder'], shard['incarnation']] : null)),
  ]);
}

/**
 * Keeps deliveries of copies until the leader or a shard's holder changes, and then makes each of them within
 * `DELIVERY_SPREAD_MS`. Returns the function that takes a delivery.
 */
function keepUntilTakeover({ parts, world, random }: CopyTarget, endAt: number): (deliver: () => void) => void {
  const kept: (() => void)[] = [];
  let roles = currentRoles(parts);
  const pollRoles = (): void => {
    const latest = currentRoles(parts);
    if (latest !== roles) {
      roles = latest;
      for (const deliver of kept.splice(0)) world.schedule(world.now + random.uniform(0, DELIVERY_SPREAD_MS), deliver);
    }
    if (world.now < endAt + KEPT_COPY_RETENTION_S * 1000) world.schedule(world.now + ROLE_POLL_INTERVAL_MS, pollRoles);
  };
  pollRoles();
  return (deliver) => {
    kept.push(deliver);
    if (kept.length > MAX_KEPT_COPIES) kept.shift();
  };
}

/** Starts to duplicate reports, until the fault is over. */
export function duplicateReports(region: CopyTarget, fault: FaultOf<'reports_again'>): void {
  const { day, parts, world } = region;
  const endAt = world.now + fault.for_s * 1000;
  const schedule = fault.for_next === true ? keepUntilTakeover(region, endAt) : null;
  const copies = schedule
    ? {
        share: fault.share,
        lateMs: 0,
        keep: (body: unknown) => {
          schedule(() => parts.deliverReport(body));
        },
      }
    : { share: fault.share, lateMs: (fault.late_s ?? defaultDelayS(day)) * 1000 };
  parts.duplicateReports = copies;
  world.schedule(endAt, () => {
    if (parts.duplicateReports === copies) parts.duplicateReports = null;
  });
}

/** The shortest and longest delay of a fault's copies in milliseconds. */
export const delayRangeMs = (
  day: SimulationScenario,
  lateS: readonly [number, number] | undefined,
): [number, number] => (lateS ? [lateS[0] * 1000, lateS[1] * 1000] : [0, defaultDelayS(day) * 1000]);

/** Starts to duplicate commands to workers, until the fault is over. */
export function duplicateCommands(region: CopyTarget, fault: FaultOf<'commands_again'>): void {
  const { day, parts, world } = region;
  const endAt = world.now + fault.for_s * 1000;
  const copies = {
    share: fault.share,
    lateMs: delayRangeMs(day, fault.late_s),
    afterRestart: fault.after_restart === true,
    ...(fault.for_next === true ? { keep: keepUntilTakeover(region, endAt) } : {}),
  };
  parts.duplicateCommands = copies;
  world.schedule(endAt, () => {
    if (parts.duplicateCommands === copies) parts.duplicateCommands = null;
  });
}

/** Starts to duplicate transactions and lease calls, until the fault is over. */
export function duplicateWrites({ day, parts, world }: CopyTarget, fault: FaultOf<'writes_again'>): void {
  const { state } = parts;
  const copies = { share: fault.share, lateMs: delayRangeMs(day, fault.late_s) };
  state.writeCopies = copies;
  world.schedule(world.now + fault.for_s * 1000, () => {
    if (state.writeCopies === copies) state.writeCopies = null;
  });
}

/** Seconds after the end of a fault in which its copies can still arrive. */
export function copiesArriveForS(day: SimulationScenario, fault: Fault): number {
  if (fault.kind !== 'reports_again' && fault.kind !== 'commands_again' && fault.kind !== 'writes_again') return 0;
  if ('for_next' in fault && fault.for_next === true) return defaultDelayS(day) + KEPT_COPY_RETENTION_S;
  const { late_s } = fault;
  return (typeof late_s === 'number' ? late_s : late_s?.[1]) ?? defaultDelayS(day);
}
