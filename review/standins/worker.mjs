// Stand-in of a worker (one machine): reports, leases, tokens, commands and tasks as the protocol has them.
import http from 'node:http';
import { call, serveJson } from './http.mjs';

export class Worker {
  /**
   * @param machine { name, hull, berth, flotsam, type } where type is the cloud's entry of the machine type
   * @param world { facts, controllers(): [{name, port}], jobs: Map ref -> description, results: Set of done pieces, event(kind, fields), runS(ref, index) }
   */
  constructor(machine, world) {
    this.machine = machine;
    this.world = world;
    this.tide = 1;
    this.tally = 0;
    this.helm = 0;
    this.pieces = new Map();
    this.images = new Set();
    this.fetching = new Map();
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    this.target = Math.floor(Math.random() * 3);
    this.inFlight = false;
    this.lastSentAt = -1e9;
    this.changed = false;
    this.dead = false;
  }

  async start() {
    this.server = await serveJson((request) => this.serve(request));
    this.address = `127.0.0.1:${this.server.port}`;
    this.leaseFrom = performance.now();
    this.nextReportAt = performance.now();
    this.timer = setInterval(() => this.tick(), 50);
  }

  stop() {
    this.dead = true;
    clearInterval(this.timer);
    for (const piece of this.pieces.values()) this.end(piece);
    this.pieces.clear();
    this.agent.destroy();
    this.server?.close();
  }

  /** A report of the worker. */
  message() {
    this.tally += 1;
    const { name, hull, berth, flotsam } = this.machine;
    const pieces = [...this.pieces.values()].map(({ piece, launch, phase, cause, stored }) => ({
      piece,
      launch,
      phase,
      ...(cause ? { cause } : {}),
      ...(stored ? { stored: true } : {}),
    }));
    return { drifter: name, address: this.address, hull, berth, flotsam, tide: this.tide, tally: this.tally, helm: this.helm, recall_s: null, pieces };
  }

  tick() {
    const now = performance.now();
    const { lease_s: leaseS } = this.world.facts.workers;
    if (now - this.leaseFrom > leaseS * 1000) {
      if (this.pieces.size > 0)
        this.world.event('lease-over', { machine: this.machine.name, tide: this.tide, pieces: this.pieces.size });
      for (const piece of this.pieces.values()) this.end(piece, 'lease over');
      this.pieces.clear();
      this.tide += 1;
      this.leaseFrom = now;
      this.changed = true;
    }
    const due = now >= this.nextReportAt || (this.changed && now - this.lastSentAt >= 500);
    if (due && !this.inFlight) void this.report();
  }

  async report() {
    const controllers = this.world.controllers();
    const { report_s: reportS } = this.world.facts.workers;
    const sentAt = performance.now();
    this.inFlight = true;
    this.changed = false;
    this.lastSentAt = sentAt;
    this.nextReportAt = sentAt + reportS * 1000 * (0.75 + Math.random() / 2);
    const { tide } = this;
    const body = this.message();
    this.lastReportBytes = Buffer.byteLength(JSON.stringify(body));
    const to = controllers[this.target % controllers.length];
    const answer = await call({ port: to.port, method: 'POST', path: '/v1/report', body, agent: this.agent, timeoutMs: 4000 });
    this.inFlight = false;
    if (this.dead) return;
    if (answer.status === 200) {
      const { helm, orders = [] } = answer.body ?? {};
      if (tide !== this.tide || typeof helm !== 'number' || helm < this.helm) return;
      if (helm > this.helm) this.changed = true;
      this.helm = helm;
      this.leaseFrom = sentAt;
      this.execute(orders);
      return;
    }
    const named = answer.status === 421 ? controllers.findIndex(({ name }) => name === answer.body?.harbour) : -1;
    if (named >= 0 && named !== this.target % controllers.length) {
      this.target = named;
      this.nextReportAt = performance.now() + Math.random() * 500;
    } else {
      if (answer.status !== 421) this.world.event('report-unanswered', { machine: this.machine.name, to: to.name, status: answer.status ?? answer.failed, bytes: this.lastReportBytes });
      this.target += 1;
      this.nextReportAt = performance.now() + 1000;
      this.lastSentAt = performance.now() + 500;
    }
  }

  serve({ method, path, body }) {
    if (this.dead) return null;
    if (method === 'GET' && path === '/status') return { status: 200, body: this.message() };
    if (method !== 'POST' || path !== '/commands') return { status: 404, body: {} };
    const { helm, tide, orders = [] } = body ?? {};
    if (typeof helm !== 'number' || typeof tide !== 'number') return { status: 400, body: this.message() };
    if (helm < this.helm) return { status: 409, body: this.message() };
    if (helm > this.helm) {
      this.helm = helm;
      this.changed = true;
    }
    if (tide !== this.tide) return { status: 409, body: this.message() };
    this.execute(orders);
    return { status: 200, body: this.message() };
  }

  execute(orders) {
    for (const order of orders) {
      const key = order.piece;
      const known = this.pieces.get(key);
      if (order.verb === 'start') {
        if (known && (known.launch === order.launch || known.phase !== 'exited')) {
          if (known.launch !== order.launch) this.refuse(`${key}#${order.launch}`, key, order.launch, 'in_use');
          continue;
        }
        this.startPiece(key, order.launch);
      } else if (known?.launch === order.launch) {
        if (order.verb === 'forget' && known.phase === 'exited') this.pieces.delete(key);
        if (order.verb === 'stop' && known.phase !== 'exited') this.exit(known, 'stopped');
      }
      this.changed = true;
    }
  }

  refuse(slot, piece, launch, cause) {
    this.pieces.set(slot, { piece, launch, phase: 'exited', cause });
    this.changed = true;
  }

  startPiece(key, launch) {
    const [ref, number] = [key.slice(0, key.lastIndexOf('/')), Number(key.slice(key.lastIndexOf('/') + 1))];
    const job = this.world.jobs.get(ref);
    if (!job || number >= job.pieces) return this.refuse(key, key, launch, 'no_such');
    const { type } = this.machine;
    const used = { vcpus: 0, accelerators: 0, ram_gb: 0 };
    for (const { phase, job: other } of this.pieces.values())
      if (phase !== 'exited') for (const name of Object.keys(used)) used[name] += other[name];
    for (const name of Object.keys(used))
      if (used[name] + job[name] > type[name] + 1e-6) return this.refuse(key, key, launch, 'no_room');
    const piece = { piece: key, launch, phase: 'fetching', job, ref, number };
    this.pieces.set(key, piece);
    this.world.event('ordered', { piece: key, launch, machine: this.machine.name });
    const ready = () => {
      if (this.dead || this.pieces.get(key) !== piece || piece.phase !== 'fetching') return;
      this.images.add(job.bundle);
      piece.on = true;
      this.world.event('on', { piece: key, launch, machine: this.machine.name });
      if (this.world.results.has(key)) return this.exit(piece, 'done');
      if (job.shape === 'ensemble') {
        piece.phase = 'gathering';
        this.changed = true;
        this.world.gather?.(this, piece);
        return;
      }
      this.run(piece);
    };
    if (this.images.has(job.bundle)) ready();
    else piece.timer = setTimeout(ready, (job.pull_gb / type.fetch_gb_per_s) * 1000);
  }

  run(piece) {
    piece.phase = 'running';
    this.changed = true;
    if (piece.job.shape === 'daemon') return;
    piece.timer = setTimeout(() => {
      this.world.results.add(piece.piece);
      this.exit(piece, 'done');
    }, this.world.runS(piece.ref, piece.number) * 1000);
  }

  /** The task leaves the machine. */
  end(piece, why) {
    clearTimeout(piece.timer);
    if (piece.on) this.world.event('off', { piece: piece.piece, launch: piece.launch, machine: this.machine.name, why: why ?? piece.cause });
    piece.on = false;
  }

  exit(piece, cause) {
    piece.phase = 'exited';
    piece.cause = cause;
    this.end(piece);
    this.changed = true;
  }
}
