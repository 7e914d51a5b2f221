import type { JobId } from '../kernel/index.js';
import type { Order } from '../workers/index.js';
import type { HeldMachine } from './held-machine.js';
import type { JobRun } from './job-run.js';

/** Forget orders that are sent together while the machine is in use. */
const MIN_FORGET_BATCH = 6;

/**
 * Orders for a worker to forget exited tasks. A finished task is kept until its completion is stored, and so are tasks
 * of jobs that the holder does not manage. As each forget order makes the worker report at once, orders wait until
 * there are several, or until the machine is idle.
 */
export function forgetOrders(
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
