// A small region on loopback: stand-ins of state service, cloud and workers in this process, and the project's own
// controllers as processes of their own, started with the run command of deploy/service.toml.
import { spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync, writeSync, closeSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Client, freePorts, sleep } from './http.mjs';
import { StateService } from './state-service.mjs';
import { Cloud } from './cloud.mjs';
import { Gangs, Worker } from './worker.mjs';

export { sleep, Client };
const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const TROUBLE = process.env.TROUBLE !== '0';

/** Machine types of the two sites. */
export const TYPES = {
  kiosk: { sku: 'kiosk', vcpus: 4, accelerators: 0, ram_gb: 32, cache_gb: 40, fetch_gb_per_s: 0.25, rate: 0.27, low_price: 0.06, startup_s: 30 },
  biurko: { sku: 'biurko', vcpus: 16, accelerators: 0, ram_gb: 32, cache_gb: 25, fetch_gb_per_s: 0.8, rate: 0.83, low_price: 0.21, startup_s: 25 },
  magazyn: { sku: 'magazyn', vcpus: 64, accelerators: 0, ram_gb: 256, cache_gb: 60, fetch_gb_per_s: 0.8, rate: 3.33, low_price: 0.73, startup_s: 25 },
  dispensary: { sku: 'dispensary', vcpus: 16, accelerators: 0, ram_gb: 64, cache_gb: 30, fetch_gb_per_s: 1.0, rate: 1.13, low_price: 0.4, startup_s: 15 },
  theatre: { sku: 'theatre', vcpus: 24, accelerators: 2, ram_gb: 192, cache_gb: 150, fetch_gb_per_s: 0.4, rate: 7.89, low_price: 2.59, startup_s: 50 },
};
const typesAt = (...names) => names.map((name) => TYPES[name]);

/** Settings of the site przenos-hosting-waw. */
export const SITE = {
  zones: ['wola', 'praga', 'krakow'],
  teams: [{ name: 'przenosiny', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
  workers: { report_s: 1, lease_s: 10, gang_wait_s: 45, gang_peer_s: 5, cancel_s: 35 },
  state: { rps: 150, write_rps: 20, value_kb: 32, txn_ops: 16 },
  cloud: { rps: 4, list_lag_s: 5 },
  max_connections: 800,
  types: typesAt('kiosk', 'biurko', 'magazyn'),
};

/** Settings of the site kliniki-ratiba-dsm. */
export const KLINIKI = {
  zones: ['msasani'],
  teams: [{ name: 'ratiba', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
  workers: { report_s: 3, lease_s: 18, gang_wait_s: 40, gang_peer_s: 5, cancel_s: 48 },
  state: { rps: 200, write_rps: 40, value_kb: 32, txn_ops: 16 },
  cloud: { rps: 6, list_lag_s: 6 },
  max_connections: 2500,
  types: typesAt('dispensary', 'theatre'),
};
const CONTROLLERS = 3;

export class Region {
  /** `machines`: [{type, zone, flotsam}]; `site`: see SITE; `folder`: where record.txt is written. */
  constructor({ folder, machines, site = SITE }) {
    this.site = site;
    this.types = site.types.map((type) => ({ ...type, berths: site.zones }));
    this.wanted = machines;
    this.folder = folder;
    this.startedAt = performance.now();
    this.recordFile = openSync(join(folder, 'record.txt'), 'w');
    this.children = new Map();
    this.jobs = new Map();
    this.workers = new Map();
    this.tasksOn = new Map();
    this.violations = [];
    this.hooks = { on() {}, runs() {}, off() {}, reported() {}, leaseOver() {} };
    this.quietTasks = new Set();
    this.record = (who, what, detail) => {
      const at = ((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8);
      try {
        writeSync(this.recordFile, `${at} ${who}: ${what}${detail === undefined ? '' : ` ${JSON.stringify(detail)}`}\n`);
      } catch {
        // The record is closed while the last stand-ins end.
      }
    };
  }

  get nowS() {
    return (performance.now() - this.startedAt) / 1000;
  }

  async start() {
    this.temp = mkdtempSync(join(tmpdir(), 'wooddrift-review-'));
    this.state = new StateService(this.site.state);
    await this.state.start();
    this.cloud = new Cloud(this.types, this.record, (id) => this.workers.get(id)?.end());
    await this.cloud.start();
    const ports = await freePorts(2 * CONTROLLERS);
    const { zones } = this.site;
    this.nodes = Array.from({ length: CONTROLLERS }, (_, i) => ({
      name: `drifter-${i}`,
      zone: zones[i % zones.length],
      port: ports[2 * i],
      peerPort: ports[2 * i + 1],
    }));
    this.writeSettings();
    this.users = this.nodes.map(({ port }) => new Client(port, 32));
    const gangs = new Gangs(this.site.workers);
    const note = (task, what) => {
      if (!this.quietTasks.has(task.job.ref)) this.record(task.worker.ref, what, { piece: task.key, launch: task.launch });
    };
    const watch = {
      on: (task) => {
        note(task, 'task is on the machine');
        const there = this.tasksOn.get(task.key) ?? new Set();
        this.tasksOn.set(task.key, there);
        there.add(task);
        this.hooks.on(task, there);
      },
      runs: (task) => {
        note(task, 'task runs');
        this.hooks.runs(task);
      },
      off: (task, cause) => {
        note(task, `task has left: ${cause}`);
        this.tasksOn.get(task.key)?.delete(task);
        this.hooks.off(task, cause);
      },
      fetchGivenUp: (task) => note(task, 'the fetch of its image is given up'),
      reported: (worker, status, bytes) => this.hooks.reported(worker, status, bytes),
      leaseOver: (worker, lost) => this.hooks.leaseOver(worker, lost),
    };
    const shared = { nodes: this.nodes, jobs: this.jobs, gangs, facts: this.site.workers, watch, record: this.record };
    for (const [i, { type, zone, flotsam = false }] of this.wanted.entries()) {
      const ref = `host-${String(i + 1).padStart(6, '0')}`;
      const machine = { ref, address: '', hull: type, berth: zone, flotsam };
      const worker = new Worker(machine, this.types.find(({ sku }) => sku === type), shared);
      this.workers.set(ref, worker);
      this.cloud.machines.set(ref, machine);
    }
    for (const node of this.nodes) this.startController(node);
    await this.until('all controllers are healthy', 20, async () => {
      const answers = await Promise.all(this.users.map((user) => user.call('GET', '/healthz', undefined, 1000)));
      return answers.every(({ status }) => status === 200);
    });
    // The machines come up when each controller has claimed its shard, so that they are divided between the shards.
    await sleep(2000);
    for (const worker of this.workers.values()) await worker.start();
  }

  settingsPath(node) {
    return join(this.temp, `${node.name}.toml`);
  }

  writeSettings() {
    const { site } = this;
    this.nodes.forEach((node) => {
      const seeds = this.nodes
        .filter((other) => other !== node)
        .map((other) => `[[seeds]]\nnode = "${other.name}"\narea = "${other.zone}"\npeer_addr = "127.0.0.1:${other.peerPort}"\n`);
      const teams = site.teams.map(
        (t) => `[[facts.teams]]\nname = "${t.name}"\ncpus = ${t.cpus.toFixed(1)}\ncpus_max = ${t.cpus_max.toFixed(1)}\ngpus = ${t.gpus.toFixed(1)}\ngpus_max = ${t.gpus_max.toFixed(1)}\n`,
      );
      const table = (values) => Object.entries(values).map(([key, value]) => `${key} = ${value}\n`).join('');
      writeFileSync(
        this.settingsPath(node),
        `node = "${node.name}"\narea = "${node.zone}"\nserve_on = "127.0.0.1:${node.port}"\ncluster_listen = "127.0.0.1:${node.peerPort}"\n\n` +
          `${seeds.join('\n')}\n[services]\ncloud = "127.0.0.1:${this.cloud.port}"\nstate = "127.0.0.1:${this.state.port}"\n\n` +
          `[facts]\nnodes = ${this.nodes.length}\nzones = [${site.zones.map((zone) => `"${zone}"`).join(', ')}]\nskew_ms = 100.0\n\n${teams.join('\n')}\n` +
          (site.objectives ?? []).map((o) => `[[facts.objectives]]\nkind = "${o.kind}"\nclass = "${o.class}"\nwithin_s = ${o.within_s.toFixed(1)}\nshare = ${o.share}\n\n`).join('') +
          `[facts.workers]\n${table(site.workers)}\n[facts.state]\n${table(site.state)}\n` +
          (site.stateNext ? `[facts.state.next]\n${table(site.stateNext)}\n` : '') +
          `[facts.cloud]\n${table(site.cloud)}\n[facts.machine_limits]\nmax_connections = ${site.max_connections}\n`,
      );
    });
  }

  startController(node) {
    const command = /^run\s*=\s*"(.*)"\s*$/m.exec(readFileSync(join(ROOT, 'deploy', 'service.toml'), 'utf8'))?.[1];
    if (!command) throw new CannotRun('deploy/service.toml has no run command');
    const [program, ...args] = [...command.split(/\s+/), this.settingsPath(node)];
    const log = openSync(join(this.temp, `${node.name}.log`), 'a');
    const child = spawn(program, args, { cwd: ROOT, stdio: ['ignore', 'ignore', log], env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' } });
    closeSync(log);
    this.children.set(node.name, child);
    this.record(node.name, 'controller started');
    child.on('exit', (code, signal) => {
      if (this.children.get(node.name) !== child) return;
      this.children.delete(node.name);
      this.record(node.name, 'controller ended', { code, signal });
      if (!this.ending) this.hooks.controllerEnded?.(node, code, signal);
    });
  }

  signal(node, signal) {
    this.record(node.name, `gets ${signal}`);
    this.children.get(node.name)?.kill(signal);
  }

  /** Polls `check` until it is true; throws CannotRun after `withinS`. */
  async until(what, withinS, check, everyMs = 200) {
    const until = performance.now() + withinS * 1000;
    for (;;) {
      if (await check()) {
        this.record('test', what);
        return;
      }
      if (performance.now() > until) throw new CannotRun(`not reached in ${withinS} s: ${what}`);
      await sleep(everyMs);
    }
  }

  /** Makes a full description of a job. `run_s` (how long a task truly runs) and `fails` are known to the workers only. */
  job(fields) {
    const { run_s = 1e6, fails = false, ...rest } = fields;
    const submission = {
      jobclass: 'donor-exchange',
      owner: this.site.teams[0].name,
      shape: 'sweep',
      urgency: 'standard',
      pieces: 1,
      vcpus: 1,
      accelerators: 0,
      ram_gb: 0.5,
      bundle: 'img-01',
      pull_gb: 0.2,
      hulls: null,
      berth: null,
      same_place: false,
      scatter: false,
      flotsam: false,
      expected_s: 30,
      mark_every_s: 0,
      mark_cost_s: 0,
      due_s: null,
      ...rest,
    };
    this.jobs.set(submission.ref, { ...submission, run_s, fails });
    return submission;
  }

  /** One request of a user, recorded. */
  async ask(i, method, path, body, timeoutMs = 5000) {
    const answer = await this.users[i].call(method, path, body, timeoutMs);
    this.record('user', `${method} ${path} at ${this.nodes[i].name}: ${answer.status ?? answer.failed}`, answer.body);
    return answer;
  }

  /** Submits with a user's retries, at one node or in turn. Returns the last answer. */
  async submit(submission, i = 0, { turn = true, forS = 60 } = {}) {
    const until = performance.now() + forS * 1000;
    for (let n = i; ; n += turn ? 1 : 0) {
      const answer = await this.ask(n % this.nodes.length, 'POST', '/v1/jobs', submission);
      if ([200, 201, 400, 422].includes(answer.status) || performance.now() > until) return answer;
      await sleep(Math.max(1000, Math.min(30, answer.retryAfter ?? 0) * 1000));
    }
  }

  async cancel(ref, i = 0) {
    const until = performance.now() + 60_000;
    for (let n = i; ; n += 1) {
      const answer = await this.ask(n % this.nodes.length, 'POST', `/v1/jobs/${ref}/cancel`, {});
      if (answer.status === 200 || performance.now() > until) return answer;
      await sleep(1000);
    }
  }

  /** Number of tasks of a job that are on machines now. */
  onMachines(ref) {
    let count = 0;
    for (const [key, there] of this.tasksOn) if (key.startsWith(`${ref}/`)) count += there.size;
    return count;
  }

  /** How many tasks of a job fit now beside what is on the machines that are up. */
  room(job) {
    let slots = 0;
    for (const { ended, tasks, type, machine } of this.workers.values()) {
      if (ended || (job.berth !== null && job.berth !== machine.berth) || (machine.flotsam && !job.flotsam)) continue;
      if (job.hulls !== null && !job.hulls.includes(machine.hull)) continue;
      const live = [...tasks.values()].filter(({ phase }) => phase !== 'exited');
      const free = (field) => type[field] - live.reduce((sum, task) => sum + (task.job[field] ?? 0), 0) + 1e-6;
      slots += Math.max(0, Math.min(...['vcpus', 'ram_gb'].map((field) => Math.floor(free(field) / job[field]))));
    }
    return slots;
  }

  end() {
    this.ending = true;
    for (const child of this.children.values()) child.kill('SIGKILL');
    for (const worker of this.workers.values()) worker.end();
    for (const user of this.users ?? []) user.close();
    this.cloud?.close();
    this.state?.close();
    if (this.temp && process.env.KEEP_LOGS !== '1') rmSync(this.temp, { recursive: true, force: true });
    else if (this.temp) process.stderr.write(`logs in ${this.temp}\n`);
  }
}

export class CannotRun extends Error {}

/** Runs a case: exit code 1 if it returns a text (the rule was broken), 0 if it returns null, 2 if it could not run. */
export function runCase(region, limitS, play) {
  let over = false;
  const finish = (code, text) => {
    if (over) return;
    over = true;
    region.record('result', `${text} (exit code ${code})`);
    process.stdout.write(`${text}\n`);
    region.end();
    process.exit(code);
  };
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(signal, () => finish(2, `ended by ${signal}`));
  process.on('uncaughtException', (error) => finish(2, `the test failed: ${error.stack}`));
  process.on('unhandledRejection', (error) => finish(2, `the test failed: ${error?.stack ?? error}`));
  setTimeout(() => finish(2, `the test did not end within ${limitS} s`), limitS * 1000);
  region.record('test', `TROUBLE=${TROUBLE ? 1 : 0}`);
  Promise.resolve()
    .then(() => play())
    .then(
      (broken) => (broken ? finish(1, `BROKEN: ${broken}`) : finish(0, 'the rule held')),
      (error) => finish(2, error instanceof CannotRun ? `could not run: ${error.message}` : `the test failed: ${error.stack}`),
    );
}
