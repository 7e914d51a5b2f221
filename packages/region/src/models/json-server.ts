import {
  FastPathConnection,
  type Connection,
  type Endpoint,
  type TcpListener,
  type Logger,
  type Runtime,
} from '../../../../src/kernel/index.js';

/** A response of a JSON service. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
}

/** A request to a JSON service. */
export interface JsonRequest {
  readonly method: string;
  /** Path without the query. */
  readonly path: string;
  readonly query: URLSearchParams;
  /** undefined if there is none, or if it is not valid JSON. */
  readonly body: unknown;
  /** IP address of the sender; empty where the network doesn't provide it. */
  readonly from: string;
}

/** Longer requests are rejected with 400. */
const MAX_BODY_BYTES = 64 * 1024;

function parseJson(body: Buffer): unknown {
  if (body.length === 0) return undefined;
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}

/**
 * Serves JSON over HTTP/1.1 through the controllers' fast path, on simulated or real sockets. Closing the listener closes
 * its connections.
 */
export function serveJson(
  runtime: Runtime,
  at: Endpoint,
  log: Logger,
  handle: (request: JsonRequest) => JsonResponse | Promise<JsonResponse>,
): TcpListener {
  const connections = new Set<Connection>();
  const listener = runtime.listen({
    ...at,
    allowHalfOpen: true,
    accept: (connection) => {
      connections.add(connection);
      connection.on('close', () => connections.delete(connection));
      const from = connection.remoteAddress ?? '';
      FastPathConnection.serve(
        connection,
        () => async (head, body) => {
          const queryStart = head.path.indexOf('?');
          const path = queryStart < 0 ? head.path : head.path.slice(0, queryStart);
          const query = new URLSearchParams(queryStart < 0 ? '' : head.path.slice(queryStart + 1));
          const { status, body: value } = await handle({
            method: head.method,
            path,
            query,
            body: parseJson(body),
            from,
          });
          return { status, text: JSON.stringify(value) };
        },
        MAX_BODY_BYTES,
        // The simulated protocols contain only plain requests of limited length; anything else is rejected.
        (invalid) => invalid.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'),
      );
    },
    failed: (error) => log.error({ err: error, at }, 'simulated service cannot listen'),
  });
  return {
    ready: listener.ready,
    close: () => {
      listener.close();
      for (const connection of connections) connection.destroy();
    },
  };
}

/** A token bucket: `ratePerS` requests per second on average, with a burst of at most `maxBurstS` seconds' worth. */
export class TokenBucket {
  private availableTokens: number;
  private refilledAt: number;

  constructor(
    private readonly runtime: Runtime,
    public ratePerS: number,
    private readonly maxBurstS: number,
  ) {
    this.availableTokens = ratePerS * maxBurstS;
    this.refilledAt = runtime.now();
  }

  /** Takes `count` tokens if that many are available; returns whether it did. */
  take(count: number): boolean {
    const now = this.runtime.now();
    this.availableTokens = Math.min(
      this.ratePerS * this.maxBurstS,
      this.availableTokens + ((now - this.refilledAt) / 1000) * this.ratePerS,
    );
    this.refilledAt = now;
    if (this.availableTokens < count) return false;
    this.availableTokens -= count;
    return true;
  }
}
