import assert from 'node:assert/strict';
import { createServer as createWebServer } from 'node:http';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { test } from 'node:test';
import { Router } from 'express';
import { createLogger, HttpClient, decodeChunkedBody, systemRuntime } from '../src/kernel/index.js';
import { createApp, laneRoutes, listen, type Handlers } from '../src/service/index.js';

const log = createLogger('silent', 'test');
const HOST = '127.0.0.1';

const handlers: Handlers = {
  healthy: () => true,
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

const message = (line: string, headers: string[], body = ''): string =>
  `${line} HTTP/1.1\r\n${['Host: x', ...headers].join('\r\n')}\r\n\r\n${body}`;
const post = (path: string, value: unknown, headers: string[] = []): string => {
  const body = typeof value === 'string' ? value : JSON.stringify(value);
  return message(`POST ${path}`, [...headers, `Content-Length: ${Buffer.byteLength(body)}`], body);
};
const inChunks = (path: string, value: unknown): string => {
  const body = JSON.stringify(value);
  const [a, b] = [body.slice(0, 5), body.slice(5)];
  const framed = `${a.length.toString(16)}\r\n${a}\r\n${b.length.toString(16)};x=1\r\n${b}\r\n0\r\n\r\n`;
  return message(`POST ${path}`, ['Transfer-Encoding: chunked'], framed);
};

/** Requests that leave the connection open, and whatever the http module thinks of the last ones. */
const OPEN = [
  post('/v1/report', report),
  post('/v1/report', report, ['connection: keep-alive', 'Content-Type: text/plain']),
  post('/v1/report', 'nonsense'),
  post('/v1/report', ['x']),
  message('GET /v1/jobs/j-1', []),
  message('GET /v1/jobs/nothing', []),
  message('GET /v1/jobs/j-later', []),
  message('GET /v1/jobs/j-broken', []),
  post('/v1/jobs', job),
  post('/v1/jobs', { ...job, pieces: 'many' }),
  post('/v1/jobs', { ...job, ref: 'j-none', pieces: 'many' }),
  post('/v1/jobs', { ...job, ref: 'j-later', pieces: 'many' }),
  post('/v1/jobs', '{'),
  post('/v1/jobs', 'null'),
  post('/v1/jobs/j-1/cancel', {}),
  post('/v1/jobs/j-1/cancel', ''),
  message('GET /healthz', []),
  message('GET /v1/jobs/j-%31', []),
  message('GET /v1/jobs/j-1?x=y', []),
  inChunks('/v1/jobs', job),
  inChunks('/v1/report', report),
  message('GET /nowhere', []),
  post('/v1/jobs', { ...job, bundle: 'ü'.repeat(90) }),
  post('/v1/jobs', { ...job, bundle: 'x'.repeat(70_000) }),
];
const LAST = [
  message('GET /v1/jobs/j-1', ['Connection: close']),
  'nonsense\r\n\r\n',
  message('POST /v1/report', ['Content-Length: 2', 'Content-Length: 3'], '{}'),
  message('POST /v1/report', ['Content-Length: x'], '{}'),
];

interface Seen {
  readonly status: number;
  readonly body: string;
  readonly retry: boolean;
}

/** Reads answers with a Content-Length, as long as they come. */
function answersIn(text: string): { seen: Seen[]; rest: string } {
  const seen: Seen[] = [];
  let rest = text;
  for (;;) {
    const end = rest.indexOf('\r\n\r\n');
    const head = rest.slice(0, end);
    const length = Number(/\r\ncontent-length: *(\d+)/i.exec(head)?.[1] ?? 0);
    if (end < 0 || rest.length < end + 4 + length) return { seen, rest };
    const status = Number(head.split(' ')[1]);
    // Why something is malformed each says in its own words.
    const body = status === 400 ? '' : rest.slice(end + 4, end + 4 + length);
    seen.push({ status, body, retry: /\r\nretry-after: 1\r\n/i.test(head) });
    rest = rest.slice(end + 4 + length);
  }
}

/** Sends each request once the one before is answered, cut where `cuts` says. */
function talk(port: number, requests: readonly string[], cut: (length: number) => number): Promise<Seen[]> {
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
      if (answersIn(got).seen.length < sent) return;
      if (sent < requests.length) send();
      else socket.end();
    });
    socket.on('error', reject);
    socket.on('close', () => resolve(answersIn(got).seen));
  });
}

test('a malformed submission is refused, but for a job that is known: that is told, by both ways', async () => {
  const app = createApp(handlers, Router(), log);
  const plain = createWebServer(app);
  await new Promise<void>((resolve) => plain.listen(0, HOST, resolve));
  const lane = listen(app, laneRoutes(handlers, log), { host: HOST, port: 0 }, 50, systemRuntime, log);
  const without = Object.fromEntries(Object.entries(job).filter(([name]) => name !== 'same_place'));
  const asked = ['j-none', 'j-1', 'j-later'].map((ref) => post('/v1/jobs', { ...without, ref }));
  try {
    for (const port of [(plain.address() as AddressInfo).port, await lane.ready]) {
      const seen = await talk(port, asked, (length) => length);
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
    plain.close();
    lane.shut();
  }
});

test('the lane answers as the router alone does, wherever the bytes are cut', async () => {
  const app = createApp(handlers, Router(), log);
  const plain = createWebServer(app);
  await new Promise<void>((resolve) => plain.listen(0, HOST, resolve));
  const lane = listen(app, laneRoutes(handlers, log), { host: HOST, port: 0 }, 50, systemRuntime, log);
  const lanePort = await lane.ready;
  const plainPort = (plain.address() as AddressInfo).port;
  try {
    for (const [round, last] of LAST.entries()) {
      // What is not plain takes the rest of its connection along: the order differs from round to round.
      const turned = [...OPEN.slice(round * 5), ...OPEN.slice(0, round * 5), last];
      const wanted = await talk(plainPort, turned, (length) => length);
      const got = await talk(lanePort, turned, (length) => (length * (7 * round + 3)) % (length + 1));
      assert.equal(wanted.length, turned.length);
      assert.deepEqual(got, wanted);
    }
    // What is sent before the answer is there waits for its turn.
    const both = `${OPEN[4] ?? ''}${OPEN[0] ?? ''}`;
    const piped = await new Promise<Seen[]>((resolve) => {
      const socket = connect(lanePort, HOST, () => socket.write(both));
      let got = '';
      socket.on('data', (chunk) => {
        got += chunk.toString('latin1');
        const { seen } = answersIn(got);
        if (seen.length === 2) socket.end(() => resolve(seen));
      });
    });
    assert.deepEqual(
      piped.map((seen) => seen.body),
      ['{"query":"j-1"}', '{"helm":7,"of":"m1"}'],
    );
  } finally {
    lane.shut();
    plain.closeAllConnections();
    plain.close();
  }
});

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

test('the client reads answers of every plain form, byte by byte, and fails on all others', async () => {
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
      const answer = await client.call({ method: 'GET', path: '/', timeoutMs: 20_000, maxBytes: 500 });
      assert.deepEqual(answer.kind === 'answered' ? answer.body : answer.reason, wanted, text);
      client.close();
    });
  }
});

test('the client opens no more connections than allowed, and one that is silent does not stop the rest', async () => {
  let accepted = 0;
  let late: (() => void) | undefined;
  const serve = (socket: Socket): void => {
    accepted += 1;
    socket.on('data', (chunk) => {
      const path = chunk.toString('latin1').split(' ')[1] ?? '';
      const body = JSON.stringify({ path });
      const answer = (): unknown => socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
      if (path === '/silent') late = answer;
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
    // Its answer comes too late, and is not taken for the next one's.
    late?.();
    assert.deepEqual(await Promise.all(paths.map((path) => get(path))), wanted);
    client.close();
  });
});

test('chunks: what is not whole waits, what is no number is refused', () => {
  const whole = Buffer.from('5\r\nhello\r\n0\r\n\r\nrest');
  const joined = decodeChunkedBody(whole);
  assert.ok(typeof joined !== 'string');
  assert.equal(joined.body.toString(), 'hello');
  assert.equal(joined.used, whole.length - 4);
  for (let cut = 0; cut < joined.used; cut++) assert.equal(decodeChunkedBody(whole.subarray(0, cut)), 'more');
  assert.equal(decodeChunkedBody(Buffer.from('-1\r\n')), 'malformed');
  assert.equal(decodeChunkedBody(Buffer.from('9'.repeat(200))), 'malformed');
});
