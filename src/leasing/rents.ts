/** Which kinds of machine are rented for demand that is left. */
import type { MachineType } from '../cloud/index.js';
import type { JobSpec } from '../jobs/index.js';
import { allowsMachine } from '../placement/index.js';
import { machineKindKey, slotsThatFit, type AssignmentInput, type JobDemand, type PlannedRent } from './capacity.js';

/** The cloud's limit of machines per rent call. */
const MAX_MACHINES_PER_CALL = 50;

/**
 * Splits planned rents into calls within the cloud's limit per call, with the kinds taking turns. Without the split, a
 * plan for 300 machines at the start of a day with a backlog was sent as one call for 50; as 50 came, fewer than
 * planned, the kind was treated as sold out.
 */
export function splitIntoCalls(rents: readonly PlannedRent[]): PlannedRent[] {
  const calls: PlannedRent[] = [];
  const most = Math.max(0, ...rents.map((rent) => rent.count));
  for (let done = 0; done < most; done += MAX_MACHINES_PER_CALL) {
    for (const rent of rents) {
      const count = Math.min(MAX_MACHINES_PER_CALL, rent.count - done);
      if (count > 0) calls.push({ ...rent, count });
    }
  }
  return calls;
}

/** Returns the lowest price per cpu among the kinds that a job may use. */
function lowestCpuPrice(spec: JobSpec, input: AssignmentInput): number {
  let lowest = Infinity;
  for (const type of input.types.values()) {
    if (slotsThatFit(spec, type) <= 0) continue;
    for (const zone of type.zones) {
      for (const spot of [true, false]) {
        if (!allowsMachine(spec, { type: type.name, zone, spot })) continue;
        lowest = Math.min(lowest, (spot ? type.spotPrice : type.price) / type.cpus);
      }
    }
  }
  return lowest;
}

/**
 * Plans rents of the cheapest kinds for the demand that is left. The cost is the price of a machine divided by the
 * slots that are actually used, and grows slightly with the number already planned of the kind.
 */
export function addRents(
  demand: JobDemand,
  input: AssignmentInput,
  rents: Map<string, PlannedRent>,
  maxPriceRatio: number,
): void {
  const maxCpuPrice = maxPriceRatio === Infinity ? Infinity : lowestCpuPrice(demand.spec, input) * maxPriceRatio;
  for (let tries = 0; tries < 40 && demand.unplacedTasks > 0; tries++) {
    let best: { type: MachineType; zone: string; spot: boolean; slots: number } | null = null;
    let bestCost = Infinity;
    for (const type of input.types.values()) {
      const slots = slotsThatFit(demand.spec, type);
      if (slots <= 0 || (demand.spec.gpus <= 0 && type.gpus > 0)) continue;
      for (const zone of type.zones) {
        for (const spot of [true, false]) {
          if (!allowsMachine(demand.spec, { type: type.name, zone, spot })) continue;
          const key = machineKindKey(type.name, zone, spot);
          if (input.refused.has(key)) continue;
          const price = spot ? type.spotPrice : type.price;
          if (price / type.cpus > maxCpuPrice) continue;
          const alreadyPlanned = rents.get(key)?.count ?? 0;
          const cost = price / Math.min(slots, demand.unplacedTasks) + alreadyPlanned * 1e-6 * price;
          if (cost < bestCost) {
            best = { type, zone, spot, slots };
            bestCost = cost;
          }
        }
      }
    }
    if (!best) return;
    const key = machineKindKey(best.type.name, best.zone, best.spot);
    rents.set(key, { type: best.type.name, zone: best.zone, spot: best.spot, count: (rents.get(key)?.count ?? 0) + 1 });
    demand.unplacedTasks -= best.slots;
  }
}
