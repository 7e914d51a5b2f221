import { HttpClient, parseAddress, type Runtime } from '../kernel/index.js';
import { decodeWorkerMessage } from './wire.js';

const PROBE_TIMEOUT_MS = 1000;

/** Requests the status of some workers, each over its own connection, and returns how many answered. */
export async function probeWorkers(addresses: readonly string[], runtime: Runtime): Promise<number> {
  const answers = await Promise.all(
    addresses.map(async (text): Promise<number> => {
      const address = parseAddress(text);
      if (!address) return 0;
      const client = new HttpClient(address, 1, runtime);
      const answer = await client.call({ method: 'GET', path: '/status', timeoutMs: PROBE_TIMEOUT_MS });
      client.close();
      return answer.kind === 'answered' && decodeWorkerMessage(answer.body) ? 1 : 0;
    }),
  );
  return answers.reduce((sum, n) => sum + n, 0);
}
