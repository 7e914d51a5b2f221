/**
 * Resolves once every promise and stream callback that is under way has come to rest. The only place
 * of the simulation that uses the real event loop: what it does there takes no simulated time.
 */
export const rest = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));
