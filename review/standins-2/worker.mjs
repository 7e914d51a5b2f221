// Stand-in of a worker, by the page "The protocols": reports, commands, tokens, lease, tasks and gangs.
import { Client, serveJson } from './http.mjs';

const REPORT_TIMEOUT_MS = 4000;

/** Gangs find each other by job and attempt. Shared by all workers of a region. */
export class Gangs {
  constructor(facts) {
    this.facts = facts;
    this.attempts = new Map();
  }

  of(job, launch) {
    const key = `${job.ref}@${launch}`;
    let gang = this.attempts.get(key);
    if (!gang) this.attempts.set(key, (gang = { job, tasks: new Map(), started: false, done: false, failed: false }));
    return gang;
  }

  /** A task has its image and waits for the others. */
  join(task) {
    const gang = this.of(task.job, task.launch);
    gang.tasks.set(task.index, task);
    task.gang = gang;
    task.phase = 'gathering';
    task.timer = setTimeout(() => task.exit('alone'), this.facts.gang_wait_s * 1000);
    if (gang.tasks.size < task.job.pieces) return;
    gang.started = true;
    for (const member of gang.tasks.values()) {
      clearTimeout(member.timer);
      member.run();
    }
    gang.timer = setTimeout(() => {
      gang.done = true;
      for (const member of [...gang.tasks.values()]) member.exit('done');
    }, task.job.run_s * 1000);
  }

  /** A task of the gang has left its machine. */
  left(task) {
    const { gang } = task;
    if (!gang) return;
    gang.tasks.delete(task.index);
    if (!gang.started || gang.done || gang.failed) return;
    gang.failed = true;
    clearTimeout(gang.timer);
    for (const member of gang.tasks.values()) member.timer = setTimeout(() => member.exit('mates_gone'), this.facts.gang_peer_s * 500);
  }
}

class Task {
  constructor(worker, job, index, launch) {
    Object.assign(this, { worker, job, index, launch, key: `${job.ref}/${index}`, phase: 'fetching', cause: null });
  }

  begin() {
    const { images, fetches, type } = this.worker;
    const { bundle, pull_gb } = this.job;
    if (images.has(bundle)) return void (this.timer = setTimeout(() => this.ready(), 0));
    // A machine fetches an image once for all tasks that need it.
    let fetch = fetches.get(bundle);
    if (!fetch) {
      fetch = { tasks: new Set() };
      fetches.set(bundle, fetch);
      fetch.timer = setTimeout(
        () => {
          fetches.delete(bundle);
          images.add(bundle);
          for (const task of fetch.tasks) task.ready();
        },
        (pull_gb / type.fetch_gb_per_s) * 1000,
      );
    }
    fetch.tasks.add(this);
    this.fetch = fetch;
  }

  /** It gives the fetch up when no task waits for it any more. */
  leaveFetch() {
    const { fetch } = this;
    if (!fetch?.tasks.delete(this) || fetch.tasks.size > 0 || this.worker.fetches.get(this.job.bundle) !== fetch) return;
    clearTimeout(fetch.timer);
    this.worker.fetches.delete(this.job.bundle);
    this.worker.watch.fetchGivenUp(this);
  }

  /** Its image is there. */
  ready() {
    if (this.phase === 'exited') return;
    this.onMachine = true;
    this.worker.watch.on(this);
    if (this.job.shape === 'ensemble') this.worker.gangs.join(this);
    else {
      this.run();
      // A job that was submitted with a mistake fails on every machine.
      if (this.job.fails) this.timer = setTimeout(() => this.exit('error'), 300);
      else if (this.job.shape === 'sweep') this.timer = setTimeout(() => this.exit('done'), this.job.run_s * this.worker.slow * 1000);
    }
    this.worker.changed();
  }

  run() {
    this.phase = 'running';
    this.worker.watch.runs(this);
    this.worker.changed();
  }

  exit(cause) {
    if (this.phase === 'exited') return;
    clearTimeout(this.timer);
    this.leaveFetch();
    this.phase = 'exited';
    this.cause = cause;
    if (this.onMachine) this.worker.watch.off(this, cause);
    this.worker.gangs.left(this);
    this.worker.changed();
  }
}

export class Worker {
  /** `region`: nodes [{name, port}], jobs, gangs, facts, watch, record. */
  constructor(machine, type, region) {
    Object.assign(this, { machine, type, ref: machine.ref });
    const { jobs, gangs, facts, watch, record, nodes } = region;
    Object.assign(this, { jobs, gangs, facts, watch, record, nodes });
    this.clients = nodes.map(({ port }) => new Client(port, 1));
    this.node = 0;
    this.helm = 0;
    this.tide = 1;
    this.tally = 0;
    this.tasks = new Map();
    this.images = new Set();
    this.fetches = new Map();
    this.slow = 1;
    this.leaseFrom = performance.now();
    this.lastReportAt = -1e9;
    this.statuses = new Map();
    this.lastStatus = '';
    this.ended = false;
  }

  async start() {
    this.server = await serveJson((req) => this.handle(req));
    this.machine.address = `127.0.0.1:${this.server.port}`;
    this.leaseTimer = setInterval(() => this.checkLease(), 50);
    this.schedule(Math.random() * 200);
  }

  end() {
    if (this.ended) return;
    this.ended = true;
    clearInterval(this.leaseTimer);
    clearTimeout(this.reportTimer);
    for (const task of this.tasks.values()) task.exit('machine gone');
    this.tasks.clear();
    for (const client of this.clients) client.close();
    this.server?.close();
  }

  checkLease() {
    if (performance.now() - this.leaseFrom <= this.facts.lease_s * 1000) return;
    const lost = [...this.tasks.values()].filter(({ phase }) => phase !== 'exited');
    if (this.tasks.size > 0)
      this.record(this.ref, `lease over after ${this.facts.lease_s} s without an accepted answer: kills and forgets all tasks`, {
        tide: this.tide,
        live: lost.length,
        listed: this.tasks.size,
      });
    this.watch.leaseOver(this, lost);
    for (const task of lost) task.exit('lease over');
    this.tasks.clear();
    this.tide += 1;
    this.tally = 0;
    this.leaseFrom = performance.now();
    this.changed();
  }

  message() {
    this.tally += 1;
    const { ref, address, hull, berth, flotsam } = this.machine;
    const pieces = [...this.tasks.values()].map((task) => ({
      piece: task.key,
      launch: task.launch,
      phase: task.phase,
      ...(task.cause === null ? {} : { cause: task.cause }),
    }));
    return { drifter: ref, address, hull, berth, flotsam, tide: this.tide, tally: this.tally, helm: this.helm, recall_s: null, pieces };
  }

  schedule(ms) {
    clearTimeout(this.reportTimer);
    if (!this.ended) this.reportTimer = setTimeout(() => void this.report(), ms);
  }

  /** Reports a change at once, but no more often than every half second. */
  changed() {
    this.dirty = true;
    if (this.reporting || this.ended) return;
    this.schedule(Math.max(0, this.lastReportAt + 500 - performance.now()));
  }

  async report() {
    if (this.reporting || this.ended) return;
    this.reporting = true;
    this.dirty = false;
    const sentAt = performance.now();
    this.lastReportAt = sentAt;
    const { tide } = this;
    const body = this.message();
    const bytes = Buffer.byteLength(JSON.stringify(body));
    const target = this.nodes[this.node];
    const answer = await this.clients[this.node].call('POST', '/v1/report', body, REPORT_TIMEOUT_MS);
    this.reporting = false;
    if (this.ended) return;
    const status = answer.status ?? answer.failed;
    this.statuses.set(status, (this.statuses.get(status) ?? 0) + 1);
    if (status !== this.lastStatus)
      this.record(this.ref, `report to ${target.name} answered ${status}`, { bytes, pieces: body.pieces.length });
    this.lastStatus = status;
    this.watch.reported(this, status, bytes);
    if (status === 200) {
      const renewed = tide === this.tide && Number.isInteger(answer.body?.helm) && answer.body.helm >= this.helm;
      if (renewed) {
        this.leaseFrom = Math.max(this.leaseFrom, sentAt);
        this.takeToken(answer.body.helm);
        this.execute(answer.body.orders ?? []);
      }
      this.schedule(this.dirty ? 500 : this.facts.report_s * 1000 * (0.75 + Math.random() / 2));
      return;
    }
    const named = status === 421 ? this.nodes.findIndex(({ name }) => name === answer.body?.harbour) : -1;
    if (named >= 0 && named !== this.node) {
      this.node = named;
      this.schedule(Math.random() * 500);
    } else {
      this.node = (this.node + 1) % this.nodes.length;
      this.schedule(1000);
    }
  }

  takeToken(helm) {
    if (helm <= this.helm) return;
    this.helm = helm;
    const now = performance.now();
    if (now - (this.tokenReportedAt ?? -1e9) < this.facts.lease_s * 500) return;
    this.tokenReportedAt = now;
    this.changed();
  }

  handle({ method, path, body }) {
    if (this.ended) return null;
    if (method === 'GET' && path === '/status') return [200, this.message()];
    if (method !== 'POST' || path !== '/commands') return [404, {}];
    if (!Number.isInteger(body?.helm) || !Number.isInteger(body?.tide)) return [400, { error: 'helm or tide is missing' }];
    if (body.helm < this.helm || body.tide !== this.tide) return [409, this.message()];
    this.takeToken(body.helm);
    this.execute(body.orders ?? []);
    return [200, this.message()];
  }

  execute(orders) {
    for (const { verb, piece, launch } of orders) {
      const task = this.tasks.get(`${piece}@${launch}`);
      if (verb === 'start' && !task) this.startTask(piece, launch);
      else if (verb === 'stop' && task) task.exit('stopped');
      else if (verb === 'forget' && task?.phase === 'exited') {
        this.tasks.delete(`${piece}@${launch}`);
        this.changed();
      }
    }
  }

  startTask(piece, launch) {
    const [ref, number] = piece.split('/');
    const job = this.jobs.get(ref);
    const task = new Task(this, job ?? { ref, pull_gb: 0 }, Number(number), launch);
    this.tasks.set(`${piece}@${launch}`, task);
    this.changed();
    const live = [...this.tasks.values()].filter((other) => other !== task && other.phase !== 'exited');
    if (!job || task.index >= job.pieces) return void Object.assign(task, { phase: 'exited', cause: 'no_such' });
    if (live.some((other) => other.key === piece)) return void Object.assign(task, { phase: 'exited', cause: 'in_use' });
    const used = (field) => live.reduce((sum, other) => sum + other.job[field], 0);
    const fits =
      used('vcpus') + job.vcpus <= this.type.vcpus + 1e-6 &&
      used('ram_gb') + job.ram_gb <= this.type.ram_gb + 1e-6 &&
      used('accelerators') + job.accelerators <= this.type.accelerators + 1e-6;
    if (!fits) return void Object.assign(task, { phase: 'exited', cause: 'no_room' });
    task.begin();
  }
}
