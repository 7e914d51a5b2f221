import { Agent, request } from 'node:http';

/** What came of an outgoing request: an answer, or a failure whose effect is unknown when it was sent. */
export type Answer =
  | { readonly kind: 'answered'; readonly status: number; readonly body: unknown }
  | { readonly kind: 'failed'; readonly reason: string };

export interface Address {
  readonly host: string;
  readonly port: number;
}

export interface Call {
  readonly method: 'GET' | 'POST' | 'PATCH' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  /** Every request has a deadline: a silent machine gives no error. */
  readonly timeoutMs: number;
  readonly maxBytes?: number;
}

const MAX_BYTES = 4 * 1024 * 1024;

export function parseAddress(text: string): Address | null {
  const match = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/.exec(text);
  if (!match) return null;
  const port = Number(match[2]);
  return port > 0 && port < 65536 ? { host: match[1] ?? '', port } : null;
}

/** A client for one remote address, with bounded sockets that are kept open. */
export class HttpClient {
  private readonly agent: Agent;

  constructor(
    readonly address: Address,
    maxSockets: number,
  ) {
    this.agent = new Agent({ keepAlive: true, maxSockets, maxFreeSockets: maxSockets, scheduling: 'lifo' });
  }

  close(): void {
    this.agent.destroy();
  }

  call(call: Call): Promise<Answer> {
    return new Promise((resolve) => {
      let settled = false;
      const finish = (answer: Answer): void => {
        if (settled) return;
        settled = true;
        clearTimeout(timer);
        resolve(answer);
      };
      const payload = call.body === undefined ? undefined : Buffer.from(JSON.stringify(call.body));
      const headers: Record<string, string | number> = {};
      if (payload) {
        headers['content-type'] = 'application/json';
        headers['content-length'] = payload.length;
      }
      const req = request(
        {
          agent: this.agent,
          host: this.address.host,
          port: this.address.port,
          method: call.method,
          path: call.path,
          headers,
        },
        (res) => {
          const chunks: Buffer[] = [];
          let size = 0;
          res.on('data', (chunk: Buffer) => {
            size += chunk.length;
            if (size > (call.maxBytes ?? MAX_BYTES)) {
              finish({ kind: 'failed', reason: 'answer too long' });
              req.destroy();
            } else chunks.push(chunk);
          });
          res.on('end', () => {
            let body: unknown = null;
            try {
              body = size === 0 ? null : JSON.parse(Buffer.concat(chunks).toString('utf8'));
            } catch {
              finish({ kind: 'failed', reason: 'answer is not JSON' });
              return;
            }
            finish({ kind: 'answered', status: res.statusCode ?? 0, body });
          });
          res.on('error', (error) => finish({ kind: 'failed', reason: error.message }));
          res.on('aborted', () => finish({ kind: 'failed', reason: 'answer cut off' }));
        },
      );
      const timer = setTimeout(() => {
        finish({ kind: 'failed', reason: 'timeout' });
        req.destroy();
      }, call.timeoutMs);
      req.on('error', (error) => finish({ kind: 'failed', reason: error.message }));
      req.end(payload);
    });
  }
}

/** Reads of untrusted JSON: a field of the wrong kind is undefined, never a thrown error. */
export type JsonObject = Record<string, unknown>;
export const isObject = (value: unknown): value is JsonObject =>
  typeof value === 'object' && value !== null && !Array.isArray(value);
export const asString = (value: unknown): string | undefined => (typeof value === 'string' ? value : undefined);
export const asNumber = (value: unknown): number | undefined =>
  typeof value === 'number' && Number.isFinite(value) ? value : undefined;
export const asCount = (value: unknown): number | undefined =>
  typeof value === 'number' && Number.isSafeInteger(value) && value >= 0 ? value : undefined;
export const asList = (value: unknown): readonly unknown[] => (Array.isArray(value) ? value : []);

export const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
