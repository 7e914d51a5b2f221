// A small deployment on loopback: the controllers as processes of their own, state service, cloud and workers as stand-ins.
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Cloud } from './cloud.mjs';
import { call, sleep } from './http.mjs';
import { StateService } from './state.mjs';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** A free port outside the range from which outgoing connections take theirs, as far as that is known. */
let nextPort = 10_000 + Math.floor(Math.random() * 15_000);
async function freePort() {
  for (;;) {
    const port = nextPort++;
    const free = await new Promise((resolve) => {
      const probe = createServer();
      probe.once('error', () => resolve(false));
      probe.listen(port, '127.0.0.1', () => probe.close(() => resolve(true)));
    });
    if (free) return port;
  }
}

/** The run command of the deploy file, as a program and its arguments. */
function runCommand() {
  const line = readFileSync(join(ROOT, 'deploy', 'service.toml'), 'utf8').match(/^run = "(.*)"$/m);
  return line[1].split(' ');
}

export class World {
  constructor({ facts, teams, objectives = [], cloud, controllers = 3, recordFile, zones, logLevel = 'error' }) {
    Object.assign(this, { facts, teams, objectives, recordFile, zones, logLevel });
    this.jobs = new Map();
    this.results = new Set();
    this.runSOf = new Map();
    this.listeners = [];
    this.startedAt = performance.now();
    this.nodes = Array.from({ length: controllers }, (_, i) => ({ name: `drifter-${i}`, zone: zones[i % zones.length] }));
    this.state = new StateService(facts.state);
    this.cloud = new Cloud(cloud, this);
    this.temp = mkdtempSync(join(tmpdir(), 'review-'));
    writeFileSync(recordFile, '');
    this.guard();
  }

  /** Ends every controller with this process, and this process after 117 s at the latest. */
  guard() {
    process.on('exit', () => {
      for (const { child, ended } of this.nodes) if (child && !ended) child.kill('SIGKILL');
      rmSync(this.temp, { recursive: true, force: true });
    });
    for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => process.exit(2));
    setTimeout(() => {
      this.record('the case has taken too long');
      process.exit(2);
    }, 117_000).unref();
  }

  now() {
    return performance.now() - this.startedAt;
  }

  /** Writes one line to the record. */
  record(text) {
    appendFileSync(this.recordFile, `${(this.now() / 1000).toFixed(3)} ${text}\n`);
  }

  event(kind, fields) {
    for (const listener of this.listeners) listener(kind, fields, this.now());
    if (this.quietEvents?.has(kind)) return;
    this.record(`${kind} ${Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(' ')}`);
  }

  controllers() {
    return this.nodes.map(({ name, port }) => ({ name, port }));
  }

  /** A gang task has its image: the gang starts once all tasks of its attempt have theirs, and ends as a whole. */
  gather(worker, piece) {
    const { ref, launch, job } = piece;
    const id = `${ref}#${launch}`;
    this.gangs ??= new Map();
    const gang = this.gangs.get(id) ?? { members: new Set(), running: false };
    this.gangs.set(id, gang);
    gang.members.add({ worker, piece });
    piece.timer = setTimeout(() => piece.phase === 'gathering' && worker.exit(piece, 'alone'), this.facts.workers.gang_wait_s * 1000);
    const present = [...gang.members].filter((member) => member.piece.phase === 'gathering');
    if (gang.running || present.length < job.pieces) return;
    gang.running = true;
    gang.members = new Set(present);
    for (const member of present) {
      clearTimeout(member.piece.timer);
      member.piece.phase = 'running';
      member.worker.changed = true;
    }
    this.event('gang-runs', { job: ref, launch });
    const runMs = this.runS(ref, 0) * 1000;
    const began = performance.now();
    const watch = setInterval(() => {
      const lost = present.some((member) => member.piece.phase !== 'running' || !member.piece.on);
      if (lost) {
        clearInterval(watch);
        for (const member of present) if (member.piece.phase === 'running' && member.piece.on) member.worker.exit(member.piece, 'mates_gone');
      } else if (performance.now() - began >= runMs) {
        clearInterval(watch);
        for (const member of present) {
          this.results.add(member.piece.piece);
          member.worker.exit(member.piece, 'done');
        }
      }
    }, 200);
    watch.unref();
  }

  runS(ref, index) {
    const runS = this.runSOf.get(ref);
    return typeof runS === 'function' ? runS(index) : (runS ?? 5);
  }

  async start() {
    const cloudPort = await this.cloud.listen();
    for (const node of this.nodes) {
      node.port = await freePort();
      node.peerPort = await freePort();
      node.statePort = await this.state.port(node.name);
    }
    for (const node of this.nodes) {
      node.settings = join(this.temp, `${node.name}.toml`);
      writeFileSync(node.settings, this.settingsOf(node, cloudPort));
    }
  }

  /** The address under which `from` reaches the peer port of `to`; a case may put a proxy in between. */
  peerPortFor(_from, to) {
    return to.peerPort;
  }

  settingsOf(node, cloudPort) {
    const { facts } = this;
    const toml = [`node = "${node.name}"`, `area = "${node.zone}"`, `serve_on = "127.0.0.1:${node.port}"`, `cluster_listen = "127.0.0.1:${node.peerPort}"`];
    for (const other of this.nodes)
      if (other !== node) toml.push('[[seeds]]', `node = "${other.name}"`, `area = "${other.zone}"`, `peer_addr = "127.0.0.1:${this.peerPortFor(node, other)}"`);
    toml.push('[services]', `cloud = "127.0.0.1:${cloudPort}"`, `state = "127.0.0.1:${node.statePort}"`);
    toml.push('[facts]', `nodes = ${this.nodes.length}`, `zones = ${JSON.stringify(this.zones)}`, 'skew_ms = 100.0');
    const table = (name, values) => {
      toml.push(`[facts.${name}]`);
      for (const [key, value] of Object.entries(values)) if (key !== 'latency_ms') toml.push(`${key} = ${value}`);
    };
    for (const team of this.teams) {
      toml.push('[[facts.teams]]', `name = "${team.name}"`);
      for (const field of ['cpus', 'cpus_max', 'gpus', 'gpus_max']) toml.push(`${field} = ${team[field] ?? 0}`);
    }
    for (const { kind, within_s: withinS, share, ...rest } of this.objectives)
      toml.push('[[facts.objectives]]', `kind = "${kind}"`, `class = "${rest.class}"`, `within_s = ${withinS}`, `share = ${share}`);
    table('workers', facts.workers);
    table('state', facts.state);
    table('cloud', { rps: this.cloud.facts.rps, list_lag_s: this.cloud.facts.list_lag_s });
    table('machine_limits', facts.machine_limits);
    return `${toml.join('\n')}\n`;
  }

  /** Starts a controller with the run command of the deploy file. */
  launch(node) {
    const [program, ...args] = runCommand();
    const child = spawn(program, [...args, node.settings], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: this.logLevel },
    });
    node.child = child;
    node.ended = null;
    this.record(`started ${node.name} pid=${child.pid}`);
    let tail = '';
    child.stderr.on('data', (chunk) => {
      if (this.logFile) appendFileSync(this.logFile, `${node.name} ${(this.now() / 1000).toFixed(3)} ${chunk}`);
      tail = (tail + chunk).slice(-4000);
    });
    child.on('exit', (code, signal) => {
      if (node.child === child) node.ended = { code, signal, byUs: child.killedByUs === true };
      this.record(`ended ${node.name} pid=${child.pid} code=${code} signal=${signal} by-the-test=${child.killedByUs === true}`);
      if (child.killedByUs !== true) {
        const fatal = /FATAL ERROR.*/.exec(tail)?.[0];
        if (fatal) this.record(`stderr ${node.name} ${fatal}`);
        this.onCrash?.(node, fatal);
      }
    });
  }

  kill(node) {
    if (!node.child || node.ended) return;
    node.child.killedByUs = true;
    node.child.kill('SIGKILL');
    this.record(`killed ${node.name}`);
  }

  /** Waits until a controller answers its health check with 200. */
  async healthy(node, withinMs = 20_000) {
    const until = performance.now() + withinMs;
    while (performance.now() < until) {
      const { status } = await call({ port: node.port, path: '/healthz', timeoutMs: 1000 });
      if (status === 200) return true;
      await sleep(100);
    }
    return false;
  }

  async stop() {
    for (const node of this.nodes) this.kill(node);
    await sleep(100);
    this.cloud.close();
    this.state.close();
    rmSync(this.temp, { recursive: true, force: true });
  }
}

/** A submission with the fields that the protocol asks for. */
export const submission = (fields) => ({
  jobclass: 'batch',
  owner: 'przenosiny',
  shape: 'sweep',
  urgency: 'standard',
  pieces: 1,
  vcpus: 2,
  accelerators: 0,
  ram_gb: 3.8,
  bundle: 'img-01',
  pull_gb: 0.2,
  hulls: null,
  berth: null,
  same_place: false,
  scatter: false,
  flotsam: true,
  expected_s: 30,
  mark_every_s: 0,
  mark_cost_s: 0,
  due_s: null,
  ...fields,
});

/** Settings like those of the deployment przenos-hosting-waw. */
export const WARSAW = {
  zones: ['wola', 'praga', 'krakow'],
  teams: [{ name: 'przenosiny' }],
  facts: {
    workers: { report_s: 1, lease_s: 10, gang_wait_s: 45, gang_peer_s: 5, cancel_s: 35 },
    state: { rps: 150, write_rps: 20, value_kb: 32, txn_ops: 16, latency_ms: 5 },
    machine_limits: { core_share: 0.17, mem_mb: 114, max_connections: 800 },
  },
  cloud: {
    rps: 4,
    list_lag_s: 5,
    latency_ms: 200,
    boot_s: 25,
    types: [
      { sku: 'kiosk', vcpus: 4, accelerators: 0, ram_gb: 32, cache_gb: 40, fetch_gb_per_s: 0.25, rate: 0.27, low_price: 0.06, startup_s: 30, berths: ['wola', 'praga', 'krakow'] },
      { sku: 'biurko', vcpus: 16, accelerators: 0, ram_gb: 32, cache_gb: 25, fetch_gb_per_s: 0.8, rate: 0.83, low_price: 0.21, startup_s: 25, berths: ['wola', 'praga', 'krakow'] },
      { sku: 'magazyn', vcpus: 64, accelerators: 0, ram_gb: 256, cache_gb: 60, fetch_gb_per_s: 0.8, rate: 3.33, low_price: 0.73, startup_s: 25, berths: ['praga', 'krakow'] },
    ],
    capacity: new Map([
      ['kiosk/wola/false', 3], ['kiosk/wola/true', 4], ['kiosk/praga/false', 3], ['kiosk/praga/true', 3], ['kiosk/krakow/false', 2], ['kiosk/krakow/true', 3],
      ['biurko/wola/false', 1], ['biurko/wola/true', 1], ['biurko/praga/false', 1], ['biurko/praga/true', 1], ['biurko/krakow/false', 1], ['biurko/krakow/true', 1],
      ['magazyn/praga/false', 1], ['magazyn/praga/true', 1], ['magazyn/krakow/false', 1], ['magazyn/krakow/true', 1],
    ]),
  },
};

/** Settings like those of the deployment kliniki-ratiba-dsm. */
export const DAR = {
  zones: ['msasani'],
  teams: [{ name: 'ratiba' }],
  facts: {
    workers: { report_s: 4, lease_s: 18, gang_wait_s: 40, gang_peer_s: 5, cancel_s: 48 },
    state: { rps: 200, write_rps: 40, value_kb: 32, txn_ops: 16, latency_ms: 3 },
    machine_limits: { core_share: 0.68, mem_mb: 306, max_connections: 2500 },
  },
  cloud: {
    rps: 6,
    list_lag_s: 6,
    latency_ms: 100,
    boot_s: 15,
    types: [
      { sku: 'dispensary', vcpus: 16, accelerators: 0, ram_gb: 64, cache_gb: 30, fetch_gb_per_s: 1, rate: 1.13, low_price: 0.4, startup_s: 15, berths: ['msasani'] },
      { sku: 'theatre', vcpus: 24, accelerators: 2, ram_gb: 192, cache_gb: 150, fetch_gb_per_s: 0.4, rate: 7.89, low_price: 2.59, startup_s: 50, berths: ['msasani'] },
    ],
    capacity: new Map([
      ['dispensary/msasani/false', 16], ['dispensary/msasani/true', 5], ['theatre/msasani/false', 7], ['theatre/msasani/true', 4],
    ]),
  },
};
