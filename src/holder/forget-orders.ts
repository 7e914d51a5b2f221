import type { JobId } from '../kernel/index.js';
import type { MessageOutcome, Order } from '../workers/index.js';
import type { HeldMachine } from './held-machine.js';
import type { JobRun } from './job-run.js';

/** Forget orders that are sent together while the machine is in use. */
const MIN_FORGET_BATCH = 6;

/**
 * Orders for a worker to forget exited tasks. A finished task is kept until its completion is stored, and so are tasks
 * of jobs that the holder does not manage. As each forget order makes the worker report at once, orders wait until
 * there are several, or until the machine is idle.
 */
function forgetOrders(
  machine: HeldMachine,
  findRun: (id: JobId) => JobRun | undefined,
  isUnmanaged: (id: JobId) => boolean,
): Order[] {
  const orders: Order[] = [];
  let sendNow = machine.tracker.empty;
  for (const [key, listed] of machine.tracker.tasks) {
    if (listed.state !== 'exited' || machine.tracker.pendingStarts.has(key)) continue;
    const run = findRun(listed.job);
    const kept =
      isUnmanaged(listed.job) || (listed.why === 'done' && run && !run.ended && !run.stored.has(listed.index));
    if (!kept) orders.push({ op: 'forget', key, attempt: listed.attempt });
    // An unfinished task may be started on this machine again, which is unambiguous once the old entry is gone.
    if (!kept && listed.why !== 'done') sendNow = true;
  }
  return sendNow || orders.length >= MIN_FORGET_BATCH ? orders : [];
}

/**
 * The forget orders for the answer to a report. The token of the answer refuses copies of the starts of what is
 * forgotten. A stale report may come from a restarted worker, which has forgotten everything: its answer raises the token
 * as well. Not while a command is in flight, because the worker would refuse it.
 */
export function ordersToForget(
  machine: HeldMachine,
  outcome: MessageOutcome,
  findRun: (id: JobId) => JobRun | undefined,
  isUnmanaged: (id: JobId) => boolean,
): Order[] {
  const orders = forgetOrders(machine, findRun, isUnmanaged);
  if (orders.length === 0 && outcome === 'applied') return orders;
  return machine.commandSender.idle && machine.tracker.retireStarts() ? orders : [];
}
