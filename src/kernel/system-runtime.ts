import { randomBytes } from 'node:crypto';
import { connect, createServer, type AddressInfo } from 'node:net';
import { asyncScheduler } from 'rxjs';
import { millis, wallMillis } from './branded-types.js';
import type { TcpListener, ListenOptions, Runtime } from './runtime.js';

function listen({ host, port, maxConnections, allowHalfOpen, accept, failed }: ListenOptions): TcpListener {
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

/** The host's own clocks, timers, random numbers and sockets. No other module of the service uses them directly. */
export const systemRuntime: Runtime = {
  now: () => millis(performance.now()),
  wall: () => wallMillis(Date.now()),
  after: (ms, callback) => {
    const timer = setTimeout(callback, ms);
    return { cancel: () => clearTimeout(timer) };
  },
  every: (ms, callback) => {
    const timer = setInterval(callback, ms);
    return { cancel: () => clearInterval(timer) };
  },
  sleep: (ms) => new Promise((resolve) => setTimeout(resolve, ms)),
  scheduler: asyncScheduler,
  random: () => Math.random(),
  uniqueId: () => randomBytes(8).toString('hex'),
  connect: ({ host, port }) => connect({ host, port, noDelay: true }),
  listen,
};
