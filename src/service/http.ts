import { createServer as createWebServer, type ServerResponse } from 'node:http';
import express, {
  type ErrorRequestHandler,
  type Express,
  type NextFunction,
  type Response,
  type Router,
} from 'express';
import {
  isObject,
  FastPathConnection,
  type Address,
  type Connection,
  type FastPathResponse,
  type FastPathHandler,
  type TcpListener,
  type Logger,
  type RequestHead,
  type Runtime,
} from '../kernel/index.js';
import { parseJobId, parseSubmission } from '../jobs/index.js';
import type { ReportReply } from '../holder/index.js';
import { decodeWorkerMessage, type WorkerMessage } from '../workers/index.js';
import type { UserResponse, UserRequest } from './user-requests.js';

const BODY_LIMIT_BYTES = 64 * 1024;
/** Idle timeout of connections that the Express app serves. */
const IDLE_TIMEOUT_MS = 120_000;
/** Fraction of `maxConnections` above which each new connection tries to evict an idle user connection. */
const EVICTION_LOAD_FRACTION = 0.9;
/** Upper bound on the user connections that one eviction examines. */
const MAX_EVICTION_CANDIDATES = 8;
/**
 * Connections whose last request had such a path are not evicted: health probes of the balancer, reports of workers.
 */
const NEVER_EVICTED_PATHS = /^\/(?:healthz|v1\/report)$/;

/** The operations behind the HTTP interface. */
export interface RequestHandlers {
  /** Whether the load balancer should send users here. */
  isHealthy(): boolean;
  /** Serves a request of a user. */
  serve(request: UserRequest): Promise<UserResponse>;
  /** Handles a report of a worker. */
  report(message: WorkerMessage): ReportReply;
}

/**
 * Writes a response without Express's response helpers, which cost more than the response itself: users poll every job
 * that they have.
 */
function sendResponse(res: ServerResponse, response: UserResponse): void {
  const text = JSON.stringify(response.body);
  if (response.retryAfterS !== undefined) res.setHeader('retry-after', String(response.retryAfterS));
  res.writeHead(response.status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) });
  res.end(text);
}

/** Creates the Express app with the HTTP interface for users, workers and operators. */
export function createApp(handlers: RequestHandlers, admin: Router, log: Logger): Express {
  const respond = (res: Response, next: NextFunction, request: UserRequest): void => {
    handlers.serve(request).then((response) => sendResponse(res, response), next);
  };
  const app = express();
  app.disable('x-powered-by');
  app.disable('etag');
  app.get('/healthz', (_req, res) => {
    if (handlers.isHealthy()) res.status(200).json({ ok: true });
    else res.status(503).set('Retry-After', '1').json({ ok: false });
  });
  app.use(express.json({ limit: BODY_LIMIT_BYTES, strict: false, type: () => true }));

  app.post('/v1/jobs', (req, res, next) => {
    submit(handlers, req.body).then((response) => sendResponse(res, response), next);
  });
  app.get('/v1/jobs/:id', (req, res, next) => respond(res, next, { op: 'query', id: req.params.id }));
  app.post('/v1/jobs/:id/cancel', (req, res, next) => respond(res, next, { op: 'cancel', id: req.params.id }));
  // Reports whose HTTP form the fast path (`FastPathConnection`) does not handle.
  app.post('/v1/report', (req, res) => sendResponse(res, handleReport(handlers, log, req.body)));
  app.use('/admin/v1', admin);
  app.use((_req, res) => {
    res.status(404).json({ error: 'not found' });
  });
  const onError: ErrorRequestHandler = (error: unknown, _req, res, next) => {
    if (res.headersSent) {
      next(error);
      return;
    }
    const status = (error as { status?: unknown }).status;
    const reason = error instanceof Error ? error.message : String(error);
    // Whatever the body parser rejects is a malformed request for the user, also a body that is too long.
    if (typeof status === 'number' && status >= 400 && status < 500) res.status(400).json({ error: reason });
    else {
      log.error({ err: error }, 'HTTP request failed');
      res.status(503).set('Retry-After', '1').json({ error: 'cannot serve this now' });
    }
  };
  app.use(onError);
  return app;
}

/**
 * Handles a submission. A malformed one whose job exists already is answered with that job, because an earlier release
 * accepted some submissions that this release finds malformed.
 */
async function submit(handlers: RequestHandlers, body: unknown): Promise<UserResponse> {
  const submission = parseSubmission(body);
  if (submission.ok) return handlers.serve({ op: 'submit', spec: submission.spec, awaits: submission.awaits });
  const id = parseJobId(isObject(body) && typeof body['ref'] === 'string' ? body['ref'] : '');
  const existing = id && (await handlers.serve({ op: 'query', id }));
  return existing && existing.status !== 404 ? existing : { status: 400, body: { error: submission.reason } };
}

/** Parses a body as JSON; undefined if it is invalid. */
function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}

function handleReport(handlers: RequestHandlers, log: Logger, body: unknown): ReportReply {
  const message = decodeWorkerMessage(body);
  if (message) return handlers.report(message);
  log.warn('malformed worker report refused');
  return { status: 400, body: { error: 'not a report' } };
}

const toFastPathResponse = (response: UserResponse): FastPathResponse => ({
  status: response.status,
  text: JSON.stringify(response.body),
  ...(response.retryAfterS === undefined ? {} : { retryAfterS: response.retryAfterS }),
});
/** The response to a request whose handler failed. */
const UNAVAILABLE: UserResponse = { status: 503, body: { error: 'cannot serve this now' }, retryAfterS: 1 };

const QUERY_PATH = /^\/v1\/jobs\/([^/?#%]+)$/;
const CANCEL_PATH = /^\/v1\/jobs\/([^/?#%]+)\/cancel$/;

/**
 * Returns the handlers of the requests that bypass Express: reports, polls, health checks, submissions and
 * cancellations. Their responses equal those of the app of `createApp`.
 */
export function fastPathRoutes(
  handlers: RequestHandlers,
  log: Logger,
): (head: RequestHead) => FastPathHandler | undefined {
  const withErrorResponse =
    (serve: (head: RequestHead, body: Buffer) => UserResponse | Promise<UserResponse>): FastPathHandler =>
    (head, body) => {
      const onFailure = (error: unknown): FastPathResponse => {
        log.error({ err: error }, 'HTTP request failed');
        return toFastPathResponse(UNAVAILABLE);
      };
      try {
        const response = serve(head, body);
        return response instanceof Promise
          ? response.then(toFastPathResponse, onFailure)
          : toFastPathResponse(response);
      } catch (error) {
        return onFailure(error);
      }
    };
  const report = withErrorResponse((_head, body) => handleReport(handlers, log, parseJson(body)));
  const submitJob = withErrorResponse((_head, body) => submit(handlers, parseJson(body)));
  const queryJob = withErrorResponse((head) =>
    handlers.serve({ op: 'query', id: QUERY_PATH.exec(head.path)?.[1] ?? '' }),
  );
  const cancelJob = withErrorResponse((head) =>
    handlers.serve({ op: 'cancel', id: CANCEL_PATH.exec(head.path)?.[1] ?? '' }),
  );
  const health = withErrorResponse(() =>
    handlers.isHealthy() ? { status: 200, body: { ok: true } } : { status: 503, body: { ok: false }, retryAfterS: 1 },
  );
  return ({ method, path }) => {
    if (method === 'POST') {
      if (path === '/v1/report') return report;
      if (path === '/v1/jobs') return submitJob;
      return CANCEL_PATH.test(path) ? cancelJob : undefined;
    }
    if (method !== 'GET') return undefined;
    if (path === '/healthz') return health;
    return QUERY_PATH.test(path) ? queryJob : undefined;
  };
}

/** A listening HTTP server. */
export interface Listener {
  /** The port that it listens on, once it does. */
  readonly ready: Promise<number>;
  /** Stops listening and destroys every connection. */
  close(): void;
}

/**
 * Listens for HTTP requests: plain ones take the fast path (`FastPathConnection`), all others go through the Express
 * app.
 */
export function listen(
  app: Express,
  findHandler: (head: RequestHead) => FastPathHandler | undefined,
  address: Address,
  maxConnections: number,
  runtime: Runtime,
  log: Logger,
): Listener {
  // This server never listens itself. It takes over connections that the fast path cannot serve, with their unread
  // bytes.
  const appServer = createWebServer(app);
  appServer.keepAliveTimeout = IDLE_TIMEOUT_MS;
  appServer.timeout = IDLE_TIMEOUT_MS;
  appServer.on('clientError', (_error, socket) => {
    if (socket.writable) socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
    else socket.destroy();
  });
  const connections = new Set<Connection>();
  /** Connections whose last request came from a user, least recently used first. */
  const userConnections = new Map<Connection, FastPathConnection>();
  // Only user connections are evicted: a user reconnects, but a worker that is refused a connection loses its lease and
  // all its running tasks.
  const evictIdleUserConnection = (): void => {
    let examined = 0;
    for (const [socket, fastPath] of userConnections) {
      examined += 1;
      if (fastPath.isIdle) socket.end();
      if (fastPath.isIdle || examined >= MAX_EVICTION_CANDIDATES) {
        userConnections.delete(socket);
        return;
      }
    }
  };
  const listening: TcpListener = runtime.listen({
    ...address,
    maxConnections,
    allowHalfOpen: true,
    accept: (socket) => {
      connections.add(socket);
      socket.on('close', () => {
        connections.delete(socket);
        userConnections.delete(socket);
      });
      if (connections.size > maxConnections * EVICTION_LOAD_FRACTION) evictIdleUserConnection();
      const fastPath = FastPathConnection.serve(socket, trackAndFindHandler, BODY_LIMIT_BYTES, (connection, unread) => {
        userConnections.delete(connection);
        connection.unshift(unread);
        appServer.emit('connection', connection);
      });
      function trackAndFindHandler(head: RequestHead): FastPathHandler | undefined {
        userConnections.delete(socket);
        if (!NEVER_EVICTED_PATHS.test(head.path)) userConnections.set(socket, fastPath);
        return findHandler(head);
      }
    },
    failed: (error) => log.error({ err: error }, 'HTTP listener failed'),
  });
  return {
    ready: listening.ready,
    close: () => {
      listening.close();
      for (const socket of connections) socket.destroy();
    },
  };
}
