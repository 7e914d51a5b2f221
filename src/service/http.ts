import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import express, {
  type ErrorRequestHandler,
  type Express,
  type NextFunction,
  type Response,
  type Router,
} from 'express';
import type { Logger } from '../kernel/index.js';
import { parseSubmission } from '../jobs/index.js';
import type { ReportReply } from '../holder/index.js';
import { decodeMessage, type WorkerMessage } from '../workers/index.js';
import type { UserAnswer, UserRequest } from './users.js';

const BODY_LIMIT = 64 * 1024;

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
    const parsed = parseSubmission(req.body);
    if (!parsed.ok) res.status(400).json({ error: parsed.reason });
    else user(res, next, { op: 'submit', spec: parsed.spec });
  });
  app.get('/v1/jobs/:id', (req, res, next) => user(res, next, { op: 'query', id: req.params.id }));
  app.post('/v1/jobs/:id/cancel', (req, res, next) => user(res, next, { op: 'cancel', id: req.params.id }));
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

const REPORT_PATH = '/v1/report';

/**
 * Reports are most of what a controller is asked, hundreds a second on a fraction of a core: they
 * pass by the router and its body parser, which cost more than a report itself.
 */
function serveReport(handlers: Handlers, log: Logger, req: IncomingMessage, res: ServerResponse): void {
  const chunks: Buffer[] = [];
  let size = 0;
  const answer = (status: number, body: unknown): void => send(res, { status, body });
  req.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size <= BODY_LIMIT) chunks.push(chunk);
  });
  req.on('error', () => undefined);
  req.on('end', () => {
    try {
      const message = size <= BODY_LIMIT ? decodeMessage(parsed(chunks)) : null;
      if (!message) {
        log.warn({ size }, 'a report of no valid form was refused');
        answer(400, { error: 'not a report' });
        return;
      }
      const reply = handlers.report(message);
      answer(reply.status, reply.body);
    } catch (error) {
      log.error({ err: error }, 'a report failed');
      if (!res.headersSent) answer(503, { error: 'cannot serve this now' });
    }
  });
}

function parsed(chunks: readonly Buffer[]): unknown {
  try {
    return JSON.parse((chunks.length === 1 && chunks[0] ? chunks[0] : Buffer.concat(chunks)).toString('utf8'));
  } catch {
    return null;
  }
}

/** What the listener serves: reports at once, everything else through the router. */
export const createHandler =
  (app: Express, handlers: Handlers, log: Logger): ((req: IncomingMessage, res: ServerResponse) => void) =>
  (req, res) => {
    if (req.method === 'POST' && req.url === REPORT_PATH) serveReport(handlers, log, req, res);
    else app(req, res);
  };

export function listen(
  handler: (req: IncomingMessage, res: ServerResponse) => void,
  port: number,
  host: string,
  maxConnections: number,
  log: Logger,
): Server {
  const server = createServer(handler);
  server.keepAliveTimeout = 120_000;
  server.headersTimeout = 125_000;
  server.requestTimeout = 30_000;
  server.maxConnections = maxConnections;
  server.on('error', (error) => log.error({ err: error }, 'the listener failed'));
  server.on('clientError', (_error, socket) => {
    if (socket.writable) socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
    else socket.destroy();
  });
  server.listen(port, host);
  return server;
}
