import assert from 'node:assert/strict';
import { createServer as createWebServer } from 'node:http';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { test } from 'node:test';
import { Router } from 'express';
import { createLogger, HttpClient, decodeChunkedBody, systemRuntime } from '../src/kernel/index.js';
import { createApp, fastPathRoutes, listen, type RequestHandlers } from '../src/service/index.js';

const log = createLogger('silent', 'test');
const HOST = '127.0.0.1';

const handlers: RequestHandlers = {
  isHealthy: () => true,
  serve: async (request) => {
    await Promise.resolve();
    if (request.op === 'submit') return { status: 201, body: { ref: request.spec.id } };
    if (request.id === 'j-later') return { status: 503, body: { error: 'not now' }, retryAfterS: 1 };
    if (request.id === 'j-broken') throw new Error('a defect');
    if (request.id === 'j-none') return { status: 404, body: {} };
    return { status: request.id.startsWith('j-') ? 200 : 404, body: { [request.op]: request.id } };
  },
  report: (message) => ({ status: 200, body: { helm: 7, of: message.machine } }),
};

const job = {
  ref: 'j-1',
  jobclass: 'c',
  owner: 't',
  shape: 'sweep',
  urgency: 'low',
  pieces: 1,
  vcpus: 1,
  accelerators: 0,
  ram_gb: 1,
  bundle: 'i',
  pull_gb: 1,
  same_place: false,
  scatter: false,
  flotsam: false,
  expected_s: 1,
  mark_every_s: 0,
  mark_cost_s: 0,
};
const report = { drifter: 'm1', tide: 1, tally: 1, helm: 0, pieces: [] };

const requestText = (line: string, headers: string[], body = ''): string =>
  `${line} HTTP/1.1\r\n${['Host: x', ...headers].join('\r\n')}\r\n\r\n${body}`;
const post = (path: string, value: unknown, headers: string[] = []): string => {
  const body = typeof value === 'string' ? value : JSON.stringify(value);
  return requestText(`POST ${path}`, [...headers, `Content-Length: ${Buffer.byteLength(body)}`], body);
};
const postChunked = (path: string, value: unknown): string => {
  const body = JSON.stringify(value);
  const [a, b] = [body.slice(0, 5), body.slice(5)];
  const framed = `${a.length.toString(16)}\r\n${a}\r\n${b.length.toString(16)};x=1\r\n${b}\r\n0\r\n\r\n`;
  return requestText(`POST ${path}`, ['Transfer-Encoding: chunked'], framed);
};

/** Requests after which the connection stays open. */
const KEEP_ALIVE_REQUESTS = [
  post('/v1/report', report),
  post('/v1/report', report, ['connection: keep-alive', 'Content-Type: text/plain']),
  post('/v1/report', 'nonsense'),
  post('/v1/report', ['x']),
  requestText('GET /v1/jobs/j-1', []),
  requestText('GET /v1/jobs/nothing', []),
  requestText('GET /v1/jobs/j-later', []),
  requestText('GET /v1/jobs/j-broken', []),
  post('/v1/jobs', job),
  post('/v1/jobs', { ...job, pieces: 'many' }),
  post('/v1/jobs', { ...job, ref: 'j-none', pieces: 'many' }),
  post('/v1/jobs', { ...job, ref: 'j-later', pieces: 'many' }),
  post('/v1/jobs', '{'),
  post('/v1/jobs', 'null'),
  post('/v1/jobs/j-1/cancel', {}),
  post('/v1/jobs/j-1/cancel', ''),
  requestText('GET /healthz', []),
  requestText('GET /v1/jobs/j-%31', []),
  requestText('GET /v1/jobs/j-1?x=y', []),
  postChunked('/v1/jobs', job),
  postChunked('/v1/report', report),
  requestText('GET /nowhere', []),
  post('/v1/jobs', { ...job, bundle: 'ü'.repeat(90) }),
  post('/v1/jobs', { ...job, bundle: 'x'.repeat(70_000) }),
];
/** Requests after which the connection is closed, the malformed ones as the http module decides. */
const CLOSING_REQUESTS = [
  requestText('GET /v1/jobs/j-1', ['Connection: close']),
  'nonsense\r\n\r\n',
  requestText('POST /v1/report', ['Content-Length: 2', 'Content-Length: 3'], '{}'),
  requestText('POST /v1/report', ['Content-Length: x'], '{}'),
];

/** The part of a response that is compared. */
interface ReceivedResponse {
  readonly status: number;
  readonly body: string;
  readonly retry: boolean;
}

/** Parses all complete responses with a Content-Length at the start of the text. */
function parseResponses(text: string): { seen: ReceivedResponse[]; rest: string } {
  const seen: ReceivedResponse[] = [];
  let rest = text;
  for (;;) {
    const end = rest.indexOf('\r\n\r\n');
    const head = rest.slice(0, end);
    const length = Number(/\r\ncontent-length: *(\d+)/i.exec(head)?.[1] ?? 0);
    if (end < 0 || rest.length < end + 4 + length) return { seen, rest };
    const status = Number(head.split(' ')[1]);
    // The bodies of 400 responses differ in wording and are not compared.
    const body = status === 400 ? '' : rest.slice(end + 4, end + 4 + length);
    seen.push({ status, body, retry: /\r\nretry-after: 1\r\n/i.test(head) });
    rest = rest.slice(end + 4 + length);
  }
}

/** Sends each request after the response to the previous one, in two writes split at `cut(length)`. */
function exchange(
  port: number,
  requests: readonly string[],
  cut: (length: number) => number,
): Promise<ReceivedResponse[]> {
  return new Promise((resolve, reject) => {
    const socket: Socket = connect(port, HOST);
    socket.setEncoding('latin1');
    let got = '';
    let sent = 0;
    const send = (): void => {
      const bytes = Buffer.from(requests[sent++] ?? '');
      const at = cut(bytes.length);
      socket.write(bytes.subarray(0, at));
      setImmediate(() => socket.write(bytes.subarray(at)));
    };
    socket.on('connect', send);
    socket.on('data', (text) => {
      got += String(text);
      if (parseResponses(got).seen.length < sent) return;
      if (sent < requests.length) send();
      else socket.end();
    });
    socket.on('error', reject);
    socket.on('close', () => resolve(parseResponses(got).seen));
  });
}

test('a malformed submission is refused; for a known job both servers respond as to a query instead', async () => {
  const app = createApp(handlers, Router(), log);
  const expressServer = createWebServer(app);
  await new Promise<void>((resolve) => expressServer.listen(0, HOST, resolve));
  const fastPath = listen(app, fastPathRoutes(handlers, log), { host: HOST, port: 0 }, 50, systemRuntime, log);
  const without = Object.fromEntries(Object.entries(job).filter(([name]) => name !== 'same_place'));
  const asked = ['j-none', 'j-1', 'j-later'].map((ref) => post('/v1/jobs', { ...without, ref }));
  try {
    for (const port of [(expressServer.address() as AddressInfo).port, await fastPath.ready]) {
      const seen = await exchange(port, asked, (length) => length);
      assert.deepEqual(
        seen.map(({ status, retry }) => [status, retry]),
        [
          [400, false],
          [200, false],
          [503, true],
        ],
      );
    }
  } finally {
    expressServer.close();
    fastPath.close();
  }
});

test('the fast path responds like the express router, wherever the input is split', async () => {
  const app = createApp(handlers, Router(), log);
  const expressServer = createWebServer(app);
  await new Promise<void>((resolve) => expressServer.listen(0, HOST, resolve));
  const fastPath = listen(app, fastPathRoutes(handlers, log), { host: HOST, port: 0 }, 50, systemRuntime, log);
  const fastPathPort = await fastPath.ready;
  const expressPort = (expressServer.address() as AddressInfo).port;
  try {
    for (const [round, last] of CLOSING_REQUESTS.entries()) {
      // After the first request that is not plain, the http module serves the rest of the connection. The order is
      // rotated from round to round so that different requests come before it.
      const rotated = [...KEEP_ALIVE_REQUESTS.slice(round * 5), ...KEEP_ALIVE_REQUESTS.slice(0, round * 5), last];
      const wanted = await exchange(expressPort, rotated, (length) => length);
      const got = await exchange(fastPathPort, rotated, (length) => (length * (7 * round + 3)) % (length + 1));
      assert.equal(wanted.length, rotated.length);
      assert.deepEqual(got, wanted);
    }
    // A request that is sent before the previous response waits for its turn.
    const pipelined = `${KEEP_ALIVE_REQUESTS[4] ?? ''}${KEEP_ALIVE_REQUESTS[0] ?? ''}`;
    const responses = await new Promise<ReceivedResponse[]>((resolve) => {
      const socket = connect(fastPathPort, HOST, () => socket.write(pipelined));
      let got = '';
      socket.on('data', (chunk) => {
        got += chunk.toString('latin1');
        const { seen } = parseResponses(got);
        if (seen.length === 2) socket.end(() => resolve(seen));
      });
    });
    assert.deepEqual(
      responses.map((seen) => seen.body),
      ['{"query":"j-1"}', '{"helm":7,"of":"m1"}'],
    );
  } finally {
    fastPath.close();
    expressServer.closeAllConnections();
    expressServer.close();
  }
});

/** Runs `use` with the port of a TCP server whose connections `serve` handles, then closes everything. */
async function withServer(serve: (socket: Socket) => void, use: (port: number) => Promise<void>): Promise<void> {
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    serve(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  try {
    await use((server.address() as AddressInfo).port);
  } finally {
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

test('the client parses every supported form of response byte by byte and fails on all others', async () => {
  const head = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n';
  const forms: [string, unknown][] = [
    [`${head}Content-Length: 7\r\n\r\n{"a":1}`, { a: 1 }],
    [`${head}content-length:0\r\n\r\n`, null],
    [`${head}Transfer-Encoding: chunked\r\n\r\n3\r\n{"a\r\n4;n=v\r\n":1}\r\n0\r\n\r\n`, { a: 1 }],
    [`${head}Connection: close\r\n\r\n{"a":1}`, { a: 1 }],
    [`${head}Content-Length: 3\r\n\r\n{"a`, 'response is not JSON'],
    [`${head}Content-Length: 30\r\n\r\n{"a"`, 'response ended early'],
    [`${head}Transfer-Encoding: chunked\r\n\r\nzz\r\n`, 'malformed chunked body'],
    ['SMTP ready\r\n\r\n', 'not an HTTP response'],
    [`${head}Content-Length: 900\r\n\r\n${' '.repeat(900)}`, 'response too large'],
  ];
  for (const [text, wanted] of forms) {
    const serve = (socket: Socket): void => {
      socket.setNoDelay(true);
      socket.once('data', () => {
        void (async () => {
          for (const byte of Buffer.from(text)) {
            socket.write(Buffer.of(byte));
            await new Promise((resolve) => setImmediate(resolve));
          }
          if (!/chunked|length: ?7|length:0/i.test(text) || typeof wanted === 'string') socket.end();
        })();
      });
    };
    await withServer(serve, async (port) => {
      const client = new HttpClient({ host: HOST, port }, 1);
      const answer = await client.call({ method: 'GET', path: '/', timeoutMs: 20_000, maxResponseBytes: 500 });
      assert.deepEqual(answer.kind === 'answered' ? answer.body : answer.reason, wanted, text);
      client.close();
    });
  }
});

test('the client keeps its connection limit, and an unanswered request does not block the others', async () => {
  let accepted = 0;
  let sendLateResponse: (() => void) | undefined;
  const serve = (socket: Socket): void => {
    accepted += 1;
    socket.on('data', (chunk) => {
      const path = chunk.toString('latin1').split(' ')[1] ?? '';
      const body = JSON.stringify({ path });
      const answer = (): unknown => socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
      if (path === '/silent') sendLateResponse = answer;
      else answer();
    });
  };
  await withServer(serve, async (port) => {
    const client = new HttpClient({ host: HOST, port }, 2);
    const get = async (path: string, timeoutMs = 20_000): Promise<unknown> => {
      const answer = await client.call({ method: 'GET', path, timeoutMs });
      return answer.kind === 'answered' ? answer.body : answer.reason;
    };
    const paths = ['/a', '/b', '/c', '/d', '/e'];
    const wanted = paths.map((path) => ({ path }));
    assert.deepEqual(await Promise.all(paths.map((path) => get(path))), wanted);
    assert.equal(accepted, 2);
    const silent = get('/silent', 50);
    assert.deepEqual(await Promise.all(paths.map((path) => get(path))), wanted);
    assert.equal(await silent, 'timeout');
    // The response after the timeout is not attributed to the next request.
    sendLateResponse?.();
    assert.deepEqual(await Promise.all(paths.map((path) => get(path))), wanted);
    client.close();
  });
});

test('chunked bodies: an incomplete body waits for more input, an invalid chunk size is malformed', () => {
  const whole = Buffer.from('5\r\nhello\r\n0\r\n\r\nrest');
  const decoded = decodeChunkedBody(whole);
  assert.ok(typeof decoded !== 'string');
  assert.equal(decoded.body.toString(), 'hello');
  assert.equal(decoded.used, whole.length - 4);
  for (let cut = 0; cut < decoded.used; cut++) assert.equal(decodeChunkedBody(whole.subarray(0, cut)), 'more');
  assert.equal(decodeChunkedBody(Buffer.from('-1\r\n')), 'malformed');
  assert.equal(decodeChunkedBody(Buffer.from('9'.repeat(200))), 'malformed');
});
