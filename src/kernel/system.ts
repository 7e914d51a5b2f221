import { randomBytes } from 'node:crypto';
import { connect, createServer, type AddressInfo } from 'node:net';
import { asyncScheduler } from 'rxjs';
import { millis, wallMillis } from './brands.js';
import type { Listening, ListenOptions, Runtime } from './runtime.js';

function listen({ host, port, maxConnections, allowHalfOpen, accept, failed }: ListenOptions): Listening {
  const server = createServer({ allowHalfOpen: allowHalfOpen === true, noDelay: true }, accept);
  if (maxConnections !== undefined) server.maxConnections = maxConnections;
  server.on('error', failed);
  server.listen(port, host);
  return {
    ready: new Promise((resolve) => {
      server.once('listening', () => resolve((server.address() as AddressInfo).port));
    }),
    close: () => {
      server.close();
    },
  };
}

/** The machine's own time, luck and sockets. Nothing else in the core calls these. */
export const systemRuntime: Runtime = {
  now: () => millis(performance.now()),
  wall: () => wallMillis(Date.now()),
  after: (ms, work) => {
    const timer = setTimeout(work, ms);
    return { cancel: () => clearTimeout(timer) };
  },
  every: (ms, work) => {
    const timer = setInterval(work, ms);
    return { cancel: () => clearInterval(timer) };
  },
  sleep: (ms) => new Promise((resolve) => setTimeout(resolve, ms)),
  scheduler: asyncScheduler,
  random: () => Math.random(),
  uniqueId: () => randomBytes(8).toString('hex'),
  connect: ({ host, port }) => connect({ host, port, noDelay: true }),
  listen,
};
