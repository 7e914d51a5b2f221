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
  Lane,
  type Address,
  type Connection,
  type LaneAnswer,
  type LaneHandler,
  type Listening,
  type Logger,
  type RequestHead,
  type Runtime,
} from '../kernel/index.js';
import { parseJobId, parseSubmission } from '../jobs/index.js';
import type { ReportReply } from '../holder/index.js';
import { decodeMessage, type WorkerMessage } from '../workers/index.js';
import type { UserAnswer, UserRequest } from './users.js';

const BODY_LIMIT = 64 * 1024;
const IDLE_MS = 120_000;
/** From this share of its connections on, users' idle ones give way to new ones. */
const CROWDED = 0.9;
const LOOKED_AT = 8;
/** The balancer's probes and workers' reports keep their connections. */
const STAYS = /^\/(?:healthz|v1\/report)$/;

export interface Handlers {
  healthy(): boolean;
  serve(request: UserRequest): Promise<UserAnswer>;
  report(message: WorkerMessage): ReportReply;
}

/** Users poll every job they have: this is written without the router's help, which costs more than the answer. */
function send(res: ServerResponse, answer: UserAnswer): void {
  const text = JSON.stringify(answer.body);
  if (answer.retryAfterS !== undefined) res.setHeader('retry-after', String(answer.retryAfterS));
  res.writeHead(answer.status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) });
  res.end(text);
}

/** The interface of users, workers and operators. */
export function createApp(handlers: Handlers, admin: Router, log: Logger): Express {
  const user = (res: Response, next: NextFunction, request: UserRequest): void => {
    handlers.serve(request).then((answer) => send(res, answer), next);
  };
  const app = express();
  app.disable('x-powered-by');
  app.disable('etag');
  app.get('/healthz', (_req, res) => {
    if (handlers.healthy()) res.status(200).json({ ok: true });
    else res.status(503).set('Retry-After', '1').json({ ok: false });
  });
  app.use(express.json({ limit: BODY_LIMIT, strict: false, type: () => true }));

  app.post('/v1/jobs', (req, res, next) => {
    submit(handlers, req.body).then((answer) => send(res, answer), next);
  });
  app.get('/v1/jobs/:id', (req, res, next) => user(res, next, { op: 'query', id: req.params.id }));
  app.post('/v1/jobs/:id/cancel', (req, res, next) => user(res, next, { op: 'cancel', id: req.params.id }));
  // Reports that are not plain enough for the lane.
  app.post('/v1/report', (req, res) => send(res, answerReport(handlers, log, req.body)));
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
    // What the body parser refuses is malformed in the users' terms, too long included.
    if (typeof status === 'number' && status >= 400 && status < 500) res.status(400).json({ error: reason });
    else {
      log.error({ err: error }, 'a request failed');
      res.status(503).set('Retry-After', '1').json({ error: 'cannot serve this now' });
    }
  };
  app.use(onError);
  return app;
}

/**
 * A job that was accepted is known, whatever its submission looks like when it is repeated: an earlier release took some
 * that this one finds malformed.
 */
async function submit(handlers: Handlers, body: unknown): Promise<UserAnswer> {
  const submission = parseSubmission(body);
  if (submission.ok) return handlers.serve({ op: 'submit', spec: submission.spec, awaits: submission.awaits });
  const id = parseJobId(isObject(body) && typeof body['ref'] === 'string' ? body['ref'] : '');
  const known = id && (await handlers.serve({ op: 'query', id }));
  return known && known.status !== 404 ? known : { status: 400, body: { error: submission.reason } };
}

function parsed(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}

function answerReport(handlers: Handlers, log: Logger, body: unknown): ReportReply {
  const message = decodeMessage(body);
  if (message) return handlers.report(message);
  log.warn('a report of no valid form was refused');
  return { status: 400, body: { error: 'not a report' } };
}

const toLane = (answer: UserAnswer): LaneAnswer => ({
  status: answer.status,
  text: JSON.stringify(answer.body),
  ...(answer.retryAfterS === undefined ? {} : { retryAfterS: answer.retryAfterS }),
});
const FAILED: UserAnswer = { status: 503, body: { error: 'cannot serve this now' }, retryAfterS: 1 };

const POLL = /^\/v1\/jobs\/([^/?#%]+)$/;
const CANCEL = /^\/v1\/jobs\/([^/?#%]+)\/cancel$/;

/** What passes by the router: reports, polls, health, submissions and cancellations, as `createApp` answers them. */
export function laneRoutes(handlers: Handlers, log: Logger): (head: RequestHead) => LaneHandler | undefined {
  const guarded =
    (serve: (head: RequestHead, body: Buffer) => UserAnswer | Promise<UserAnswer>): LaneHandler =>
    (head, body) => {
      const failed = (error: unknown): LaneAnswer => {
        log.error({ err: error }, 'a request failed');
        return toLane(FAILED);
      };
      try {
        const answer = serve(head, body);
        return answer instanceof Promise ? answer.then(toLane, failed) : toLane(answer);
      } catch (error) {
        return failed(error);
      }
    };
  const report = guarded((_head, body) => answerReport(handlers, log, parsed(body)));
  const submits = guarded((_head, body) => submit(handlers, parsed(body)));
  const query = guarded((head) => handlers.serve({ op: 'query', id: POLL.exec(head.path)?.[1] ?? '' }));
  const cancel = guarded((head) => handlers.serve({ op: 'cancel', id: CANCEL.exec(head.path)?.[1] ?? '' }));
  const health = guarded(() =>
    handlers.healthy() ? { status: 200, body: { ok: true } } : { status: 503, body: { ok: false }, retryAfterS: 1 },
  );
  return ({ method, path }) => {
    if (method === 'POST') {
      if (path === '/v1/report') return report;
      if (path === '/v1/jobs') return submits;
      return CANCEL.test(path) ? cancel : undefined;
    }
    if (method !== 'GET') return undefined;
    if (path === '/healthz') return health;
    return POLL.test(path) ? query : undefined;
  };
}

export interface Listener {
  /** The port that it listens on. */
  readonly ready: Promise<number>;
  /** Ends it and every connection. */
  shut(): void;
}

/** The listener: plain requests by the short way, everything else through the router. */
export function listen(
  app: Express,
  find: (head: RequestHead) => LaneHandler | undefined,
  on: Address,
  maxConnections: number,
  runtime: Runtime,
  log: Logger,
): Listener {
  // Never listens itself: it is given the connections that need it, and what they have sent so far.
  const web = createWebServer(app);
  web.keepAliveTimeout = IDLE_MS;
  web.timeout = IDLE_MS;
  web.on('clientError', (_error, socket) => {
    if (socket.writable) socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
    else socket.destroy();
  });
  const sockets = new Set<Connection>();
  /** Connections whose last request was a user's, the longest ago first. */
  const users = new Map<Connection, Lane>();
  // A worker that is shut out loses its lease and all that runs there; a user connects again.
  const makeRoom = (): void => {
    let looked = 0;
    for (const [socket, lane] of users) {
      looked += 1;
      if (lane.resting) socket.end();
      if (lane.resting || looked >= LOOKED_AT) {
        users.delete(socket);
        return;
      }
    }
  };
  const listening: Listening = runtime.listen({
    ...on,
    maxConnections,
    allowHalfOpen: true,
    accept: (socket) => {
      sockets.add(socket);
      socket.on('close', () => {
        sockets.delete(socket);
        users.delete(socket);
      });
      if (sockets.size > maxConnections * CROWDED) makeRoom();
      const lane = Lane.serve(socket, noted, BODY_LIMIT, (given, unread) => {
        users.delete(given);
        given.unshift(unread);
        web.emit('connection', given);
      });
      function noted(head: RequestHead): LaneHandler | undefined {
        users.delete(socket);
        if (!STAYS.test(head.path)) users.set(socket, lane);
        return find(head);
      }
    },
    failed: (error) => log.error({ err: error }, 'the listener failed'),
  });
  return {
    ready: listening.ready,
    shut: () => {
      listening.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
