// Stand-in of the users' load balancer: works on connections, by the rules of the protocol.
import { connect, createServer } from 'node:net';
import { call } from './http.mjs';

export class Balancer {
  constructor(nodes, record) {
    this.record = record;
    this.targets = nodes.map((node) => ({
      node, healthy: false, everHealthy: false, last: [], successes: 0, unhealthySince: null, pauseMs: 3000, removals: [],
      open: new Set(), failed: 0, skipUntil: 0, healthySince: 0,
    }));
  }

  async listen() {
    this.server = createServer((socket) => this.accept(socket));
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.port = this.server.address().port;
    this.timers = this.targets.map((target) => {
      const round = async () => {
        await this.probe(target);
        if (!this.closed) target.timer = setTimeout(round, 950 + Math.random() * 100);
      };
      void round();
    });
  }

  close() {
    this.closed = true;
    for (const target of this.targets) {
      clearTimeout(target.timer);
      for (const socket of target.open) socket.destroy();
    }
    this.server.close();
  }

  async probe(target) {
    const { status } = await call({ port: target.node.port, path: '/healthz', timeoutMs: 1000 });
    const ok = status === 200;
    const now = performance.now();
    target.probedAt = now;
    target.last = [...target.last, ok].slice(-6);
    target.successes = ok ? target.successes + 1 : 0;
    if (target.healthy) {
      const failures = target.last.filter((each) => !each).length;
      if ((!ok && target.last.at(-2) === false) || failures >= 3) {
        target.healthy = false;
        target.unhealthySince = now;
        target.removals = [...target.removals.filter((at) => now - at < 120_000), now];
        target.pauseMs = Math.min(60_000, 3000 * 2 ** (target.removals.length - 1));
        this.record(`balancer: ${target.node.name} is unhealthy`);
      }
    } else if (ok && (!target.everHealthy || (target.successes >= 2 && now - target.unhealthySince >= target.pauseMs))) {
      target.healthy = true;
      target.everHealthy = true;
      target.unhealthySince = null;
      target.healthySince = now;
      target.last = [];
      this.record(`balancer: ${target.node.name} is healthy`);
    }
    if (target.unhealthySince !== null && now - target.unhealthySince > 5000) for (const socket of target.open) socket.destroy();
  }

  accept(user) {
    user.on('error', () => undefined);
    const now = performance.now();
    const order = this.targets
      .filter(({ healthy, skipUntil }) => healthy && now >= skipUntil)
      // A node that has just become healthy gets its full share only after 10 s.
      .filter(({ healthySince }) => Math.random() < Math.max(0.1, (now - healthySince) / 10_000))
      .sort((a, b) => a.open.size - b.open.size || Math.random() - 0.5)
      .slice(0, 3);
    const attempt = () => {
      const target = order.shift();
      if (!target || user.destroyed) return user.destroy();
      const server = connect({ host: '127.0.0.1', port: target.node.port, noDelay: true });
      const timer = setTimeout(() => server.destroy(new Error('not accepted')), 500);
      server.once('connect', () => {
        clearTimeout(timer);
        target.failed = 0;
        target.open.add(server);
        server.removeAllListeners('error');
        server.on('error', () => user.destroy());
        server.on('close', () => {
          target.open.delete(server);
          user.end();
        });
        user.on('close', () => server.destroy());
        user.pipe(server);
        server.pipe(user);
      });
      server.once('error', () => {
        clearTimeout(timer);
        target.failed += 1;
        if (target.failed >= 3) [target.failed, target.skipUntil] = [0, performance.now() + 3000];
        attempt();
      });
    };
    attempt();
  }
}
