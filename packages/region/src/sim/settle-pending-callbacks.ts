/**
 * Resolves once all pending promise and stream callbacks have run. This is the only place where the simulation
 * uses the real event loop; it takes no simulated time.
 */
export const settlePendingCallbacks = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));
