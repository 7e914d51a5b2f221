import assert from 'node:assert/strict';
import { test } from 'node:test';
import { incarnation, machineId, nodeName, shardName } from '../src/kernel/index.js';
import {
  encodeShard,
  addMachines,
  removeMachines,
  Paging,
  ShardDirectory,
  type BlockMachine,
  type KnownShard,
} from '../src/membership/index.js';
import { LIVE_PREFIX, Mirror, pageKey, shardKey, StateClient, Urgency, type Op } from '../src/state/index.js';
import type { StateModel } from '../packages/region/src/index.js';
import { SimulationHarness } from '../packages/region/test/simulation-harness.js';

const SHARD = shardName('n-0');
const LATE_ADDRESS = '10.0.0.2';
const STATE_LIMITS = { writeRps: 1000, valueKb: 2, txnOps: 5 };
const BLOCK_LIMITS = { maxRecordMachines: 600, pageBytes: 2048 };
const machine = (n: number): BlockMachine => ({
  ...{ id: machineId(`host-${String(n).padStart(6, '0')}`), type: 'desk', zone: 'north', spot: false },
  address: `10.1.0.${n}:9000`,
});

/** A process that has loaded the state once and whose watch delivers nothing afterwards. */
class ProcessWithoutWatch {
  readonly state: StateClient;
  readonly mirror: Mirror;
  readonly directory: ShardDirectory;
  readonly paging: Paging;

  constructor(
    private readonly lab: SimulationHarness,
    ip: string,
    at: { readonly host: string; readonly port: number },
    next = STATE_LIMITS,
  ) {
    const process = lab.process(ip);
    this.state = new StateClient(at, { rps: 1000, writeRps: 1000, next }, lab.log, process);
    this.mirror = new Mirror(this.state, LIVE_PREFIX, process, lab.log);
    this.directory = new ShardDirectory(this.mirror);
    this.paging = new Paging({ state: this.state, mirror: this.mirror, directory: this.directory, log: lab.log });
  }

  load(): Promise<boolean> {
    return this.lab.runUntilSettled(this.mirror.load());
  }

  get known(): KnownShard {
    const known = this.directory.all.get(SHARD);
    assert.ok(known);
    return known;
  }

  moveToPages(): Promise<void> {
    return this.lab.runUntilSettled(this.paging.moveToPages(SHARD, this.known));
  }

  async change(change: { readonly guards: readonly { key: string; version: number }[]; readonly ops: readonly Op[] }) {
    const result = await this.lab.runUntilSettled(this.state.txn(Urgency.shard, change.guards, change.ops));
    assert.equal(result.kind, 'ok');
    if (result.kind === 'ok') this.mirror.applyTxn(change.ops, result.revision);
  }

  addMachines(machines: readonly BlockMachine[]): Promise<void> {
    return this.change(addMachines(SHARD, this.known, machines, BLOCK_LIMITS).change);
  }

  async removeMachine(id: string): Promise<void> {
    for (const { change } of removeMachines(SHARD, this.known, new Set([machineId(id)]))) await this.change(change);
  }
}

interface Processes {
  readonly lab: SimulationHarness;
  readonly holder: ProcessWithoutWatch;
  readonly late: ProcessWithoutWatch;
  readonly model: StateModel;
  /** The ids of the machines in the stored shard. */
  storedIds(): Promise<string[]>;
}

/** Starts a holder, and a process that has loaded the shard's record before the holder changes it. */
async function startProcesses(machines: readonly BlockMachine[], lateLimits = STATE_LIMITS): Promise<Processes> {
  const lab = new SimulationHarness();
  const { model, at } = lab.state();
  const record = { holder: nodeName('n-0'), incarnation: incarnation('a'), released: false, next: null, earlier: [] };
  model.put(shardKey(SHARD), encodeShard({ ...record, machines, epoch: null }));
  const holder = new ProcessWithoutWatch(lab, '10.0.0.1', at);
  const late = new ProcessWithoutWatch(lab, LATE_ADDRESS, at, lateLimits);
  assert.ok((await holder.load()) && (await late.load()));
  const stored = async (): Promise<string[]> => {
    const reader = new ProcessWithoutWatch(lab, '10.0.0.3', at);
    await reader.load();
    return reader.known.value.machines.map(({ id }) => id as string).sort();
  };
  return { lab, holder, late, model, storedIds: stored };
}

const idsOf = (...numbers: number[]): string[] => numbers.map((n) => machine(n).id as string);

/** Stages pages in several rounds, as a process does that still takes the shard for vacant. */
async function stageRepeatedly({ lab, late }: Processes, staleShard: KnownShard): Promise<void> {
  for (let round = 0; round < 4; round++)
    await lab.runUntilSettled(late.paging.stage(SHARD, staleShard, Urgency.session));
}

test('staging pages for an older record by a late process removes no machine from the block', async () => {
  const processes = await startProcesses([machine(1), machine(2)]);
  const staleShard = processes.late.known;
  await processes.holder.addMachines([machine(3)]);
  await processes.holder.moveToPages();
  assert.deepEqual(await processes.storedIds(), idsOf(1, 2, 3));
  await stageRepeatedly(processes, staleShard);
  assert.deepEqual(await processes.storedIds(), idsOf(1, 2, 3));
});

test('staging pages by a late process for a record that has become the head leaves its pages unchanged', async () => {
  const processes = await startProcesses([machine(1), machine(2)]);
  const staleShard = processes.late.known;
  await processes.holder.moveToPages();
  await processes.holder.removeMachine('host-000001');
  await processes.holder.addMachines([machine(4)]);
  await stageRepeatedly(processes, staleShard);
  assert.deepEqual(await processes.storedIds(), idsOf(2, 4));
});

test('a record does not become the head of pages that another process has laid out again meanwhile', async () => {
  const machines = Array.from({ length: 100 }, (_, i) => machine(i + 1));
  const processes = await startProcesses(machines, { ...STATE_LIMITS, valueKb: 0.25 });
  const { lab, holder, late, model } = processes;
  assert.ok(await lab.runUntilSettled(holder.paging.stage(SHARD, holder.known, Urgency.shard)));
  // The late process stages its first pages under its own limit and stops halfway.
  model.injectFault = ({ from, body }) =>
    from === LATE_ADDRESS && JSON.stringify(body ?? null).includes(pageKey(SHARD, 5)) ? 'lost-request' : null;
  for (let round = 0; round < 2; round++)
    await lab.runUntilSettled(late.paging.stage(SHARD, late.known, Urgency.shard));
  await holder.moveToPages();
  assert.equal((await processes.storedIds()).length, machines.length);
  for (let round = 0; round < 4; round++) await holder.moveToPages();
  assert.notEqual(holder.known.value.epoch, null);
  assert.equal((await processes.storedIds()).length, machines.length);
});
