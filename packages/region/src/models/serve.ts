import {
  FastPathConnection,
  type Connection,
  type Endpoint,
  type TcpListener,
  type Logger,
  type Runtime,
} from '../../../../src/kernel/index.js';

export interface Answer {
  readonly status: number;
  readonly body: unknown;
}

export interface Request {
  readonly method: string;
  /** Without the query. */
  readonly path: string;
  readonly query: URLSearchParams;
  /** undefined: there was none, or it is not JSON. */
  readonly body: unknown;
  /** The sender's IP number, where the network tells it. */
  readonly from: string;
}

const MAX_BODY = 64 * 1024;

function parse(body: Buffer): unknown {
  if (body.length === 0) return undefined;
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}

/** Serves JSON over HTTP/1.1 by the service's own lane, on simulated sockets or real ones. Closing it breaks its connections. */
export function serveJson(
  runtime: Runtime,
  at: Endpoint,
  log: Logger,
  answer: (request: Request) => Answer | Promise<Answer>,
): TcpListener {
  const open = new Set<Connection>();
  const listening = runtime.listen({
    ...at,
    allowHalfOpen: true,
    accept: (connection) => {
      open.add(connection);
      connection.on('close', () => open.delete(connection));
      const from = connection.remoteAddress ?? '';
      FastPathConnection.serve(
        connection,
        () => async (head, body) => {
          const cut = head.path.indexOf('?');
          const path = cut < 0 ? head.path : head.path.slice(0, cut);
          const query = new URLSearchParams(cut < 0 ? '' : head.path.slice(cut + 1));
          const { status, body: value } = await answer({ method: head.method, path, query, body: parse(body), from });
          return { status, text: JSON.stringify(value) };
        },
        MAX_BODY,
        // What is no plain request, or too long, isn't part of the protocols.
        (odd) => odd.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'),
      );
    },
    failed: (error) => log.error({ err: error, at }, 'a model cannot listen'),
  });
  return {
    ready: listening.ready,
    close: () => {
      listening.close();
      for (const connection of open) connection.destroy();
    },
  };
}

/** So many a second on average, a burst of `burstS` seconds' worth at most. */
export class Allowance {
  private left: number;
  private at: number;

  constructor(
    private readonly runtime: Runtime,
    public perS: number,
    private readonly burstS: number,
  ) {
    this.left = perS * burstS;
    this.at = runtime.now();
  }

  /** Takes so many if they are there. */
  take(count: number): boolean {
    const now = this.runtime.now();
    this.left = Math.min(this.perS * this.burstS, this.left + ((now - this.at) / 1000) * this.perS);
    this.at = now;
    if (this.left < count) return false;
    this.left -= count;
    return true;
  }
}
