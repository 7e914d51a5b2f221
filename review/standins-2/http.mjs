// JSON over HTTP/1.1, for the stand-ins. No dependency beyond Node.
import { createServer, request, Agent } from 'node:http';
import { createServer as createTcpServer } from 'node:net';

/** Serves JSON on a free loopback port; `handle` returns [status, body] or a promise of it. */
export function serveJson(handle, port = 0) {
  const server = createServer((req, res) => {
    const chunks = [];
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('error', () => undefined);
    req.on('end', async () => {
      const text = Buffer.concat(chunks).toString('utf8');
      let body;
      try {
        body = text === '' ? null : JSON.parse(text);
      } catch {
        body = undefined;
      }
      const url = new URL(req.url, 'http://127.0.0.1');
      let answer;
      try {
        answer = await handle({ method: req.method, path: url.pathname, query: url.searchParams, body, bytes: text.length });
      } catch (error) {
        process.stderr.write(`stand-in: ${error.stack}\n`);
        answer = [500, { error: 'stand-in failed' }];
      }
      if (answer === null || res.destroyed) return;
      const out = JSON.stringify(answer[1]);
      res.writeHead(answer[0], { 'content-type': 'application/json', 'content-length': Buffer.byteLength(out) });
      res.end(out);
    });
  });
  server.keepAliveTimeout = 600_000;
  server.requestTimeout = 0;
  return new Promise((resolve) => {
    server.listen(port, '127.0.0.1', () => {
      resolve({
        port: server.address().port,
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      });
    });
  });
}

/** One client with keep-alive connections to one loopback port. Never throws: {status, body} or {failed}. */
export class Client {
  constructor(port, maxSockets = 4) {
    this.port = port;
    this.agent = new Agent({ keepAlive: true, maxSockets });
  }

  call(method, path, body, timeoutMs) {
    return new Promise((resolve) => {
      const text = body === undefined ? '' : JSON.stringify(body);
      const headers = body === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
      const req = request({ host: '127.0.0.1', port: this.port, method, path, headers, agent: this.agent }, (res) => {
        const chunks = [];
        res.on('data', (chunk) => chunks.push(chunk));
        res.on('error', (error) => finish({ failed: error.code ?? error.message }));
        res.on('end', () => {
          try {
            const joined = Buffer.concat(chunks).toString('utf8');
            finish({ status: res.statusCode, body: joined === '' ? null : JSON.parse(joined), retryAfter: Number(res.headers['retry-after'] ?? 0) });
          } catch {
            finish({ failed: 'not JSON' });
          }
        });
      });
      const timer = setTimeout(() => {
        finish({ failed: 'timeout' });
        req.destroy();
      }, timeoutMs);
      let done = false;
      function finish(result) {
        if (done) return;
        done = true;
        clearTimeout(timer);
        resolve(result);
      }
      req.on('error', (error) => finish({ failed: error.code ?? error.message }));
      req.end(text);
    });
  }

  close() {
    this.agent.destroy();
  }
}

/** Finds `count` free loopback ports. */
export async function freePorts(count) {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((resolve, reject) => {
          const server = createTcpServer();
          server.on('error', reject);
          server.listen(0, '127.0.0.1', () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
