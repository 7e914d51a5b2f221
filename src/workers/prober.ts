import { HttpClient, parseAddress, type Runtime } from '../kernel/index.js';
import { decodeWorkerMessage, type WorkerMessage } from './wire.js';

const PROBE_TIMEOUT_MS = 1000;

/** Requests the status of a worker over a connection of its own; null when it gives no valid answer. */
export async function probeWorker(addressText: string, runtime: Runtime): Promise<WorkerMessage | null> {
  const address = parseAddress(addressText);
  if (!address) return null;
  const client = new HttpClient(address, 1, runtime);
  const answer = await client.call({ method: 'GET', path: '/status', timeoutMs: PROBE_TIMEOUT_MS });
  client.close();
  return answer.kind === 'answered' ? decodeWorkerMessage(answer.body) : null;
}

/** Requests the status of some workers, each over its own connection, and returns how many answered. */
export async function probeWorkers(addresses: readonly string[], runtime: Runtime): Promise<number> {
  const messages = await Promise.all(addresses.map((address) => probeWorker(address, runtime)));
  return messages.filter((message) => message !== null).length;
}
