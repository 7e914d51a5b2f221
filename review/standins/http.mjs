// Small HTTP helpers of the stand-ins: a JSON server, a JSON client and a token bucket.
import http from 'node:http';

/** Serves JSON on a loopback port; `handle` gets { method, path, query, body, bytes } and returns { status, body } or null for silence. */
export function serveJson(handle, { port = 0, maxBody = Infinity } = {}) {
  const sockets = new Set();
  const server = http.createServer((req, res) => {
    const parts = [];
    let size = 0;
    req.on('data', (chunk) => {
      size += chunk.length;
      parts.push(chunk);
    });
    req.on('error', () => undefined);
    req.on('end', async () => {
      const url = new URL(req.url, 'http://loopback');
      let body;
      try {
        const text = Buffer.concat(parts).toString('utf8');
        body = text === '' ? undefined : JSON.parse(text);
      } catch {
        body = undefined;
      }
      const request = { method: req.method, path: url.pathname, query: url.searchParams, body, bytes: size, socket: req.socket };
      const answer = size > maxBody ? { status: 400, body: { error: 'too long' } } : await handle(request);
      if (!answer || res.destroyed) return;
      const text = JSON.stringify(answer.body ?? {});
      res.writeHead(answer.status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) });
      res.end(text);
    });
  });
  server.keepAliveTimeout = 120_000;
  server.on('connection', (socket) => {
    socket.setNoDelay(true);
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  return new Promise((resolve, reject) => {
    server.on('error', reject);
    server.listen(port, '127.0.0.1', () =>
      resolve({
        port: server.address().port,
        close: () => {
          server.close();
          for (const socket of sockets) socket.destroy();
        },
      }),
    );
  });
}

/** Sends one JSON request; resolves to { status, body, retryAfterS } or { failed: reason }. Never rejects. */
export function call({ port, method = 'GET', path, body, timeoutMs = 5000, agent, headers = {} }) {
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    let done = false;
    const finish = (result) => {
      if (done) return;
      done = true;
      clearTimeout(timer);
      resolve(result);
    };
    const req = http.request(
      {
        host: '127.0.0.1',
        port,
        method,
        path,
        agent: agent ?? false,
        headers: {
          ...headers,
          ...(text === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
        },
      },
      (res) => {
        const parts = [];
        res.on('data', (chunk) => parts.push(chunk));
        res.on('error', (error) => finish({ failed: error.message }));
        res.on('end', () => {
          let parsed = null;
          try {
            parsed = JSON.parse(Buffer.concat(parts).toString('utf8'));
          } catch {
            parsed = null;
          }
          finish({ status: res.statusCode, body: parsed, retryAfterS: Number(res.headers['retry-after'] ?? 0) });
        });
      },
    );
    req.on('socket', (socket) => socket.setNoDelay(true));
    req.on('error', (error) => finish({ failed: error.message }));
    const timer = setTimeout(() => {
      finish({ failed: 'timeout' });
      req.destroy();
    }, timeoutMs);
    req.end(text);
  });
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Allows `rate` units a second, with a burst of `burst` units. */
export class TokenBucket {
  constructor(rate, burst = rate) {
    this.rate = rate;
    this.burst = burst;
    this.tokens = burst;
    this.at = performance.now();
  }

  take(count = 1) {
    const now = performance.now();
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.at) / 1000) * this.rate);
    this.at = now;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}
