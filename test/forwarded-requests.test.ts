import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobRegistry, JobRequestOutcome, JobSpec } from '../src/jobs/index.js';
import { incarnation, jobId, nodeName, type JobId, type NodeName } from '../src/kernel/index.js';
import { PeerTransport, type PeerCondition, type PeerMessage } from '../src/peers/index.js';
import { PIPELINES } from '../src/rollout/index.js';
import { handlePeerMessage, UserRequestHandler, type PeerMessageDeps } from '../src/service/index.js';
import type { SimProcess } from '../packages/region/src/index.js';
import { SimulationHarness } from '../packages/region/test/simulation-harness.js';

const ASKER = nodeName('asker');
const ANSWERER = nodeName('answerer');
const BYSTANDER = nodeName('bystander');
const ADDRESSES = new Map<NodeName, { readonly host: string; readonly port: number }>([
  [ASKER, { host: '10.0.1.1', port: 8081 }],
  [ANSWERER, { host: '10.0.1.2', port: 8081 }],
  [BYSTANDER, { host: '10.0.1.3', port: 8081 }],
]);
const [FIRST_JOB, SECOND_JOB] = [jobId('j-000001'), jobId('j-000002')];
/** Long enough for a lost connection to be noticed and opened again. */
const RECONNECT_MS = 3000;
/** Long enough for a connection to an ended process to be replaced, and shorter than its last hello counts. */
const RECONNECT_DELAY_MS = 1500;
/** Long enough for a frame to arrive, and shorter than the longest wait for an answer. */
const DELIVERY_MS = 200;

/** A controller of which only the transport and the handling of users' requests run. */
interface TestNode {
  readonly process: SimProcess;
  readonly peers: PeerTransport;
  readonly requests: UserRequestHandler;
  /** Answers the queries that have arrived at this node: the job is running. */
  answerQueries(): void;
}

const condition = (stateOk: boolean, features: readonly string[]): PeerCondition => ({
  ...{ stateOk, fit: true, leaving: false, release: 1, features, limitsFallen: false },
});

/** How a node differs from one that connects to all others and supports no features. */
interface NodeOptions {
  readonly features?: readonly string[];
  readonly connectsTo?: readonly NodeName[];
}

/** Starts a process of a node. */
function startNode(
  lab: SimulationHarness,
  name: NodeName,
  process: SimProcess,
  stateOk: boolean,
  { features = [], connectsTo = [...ADDRESSES.keys()] }: NodeOptions = {},
): TestNode {
  const address = ADDRESSES.get(name);
  assert.ok(address);
  const seeds = [...ADDRESSES]
    .filter(([node]) => node !== name && connectsTo.includes(node))
    .map(([node, at]) => ({ node, address: at }));
  const ownIncarnation = incarnation(process.uniqueId());
  const peers = new PeerTransport(
    name,
    ownIncarnation,
    address,
    seeds,
    () => condition(stateOk, features),
    process,
    lab.log,
  );
  const queries: (() => void)[] = [];
  const query = (id: JobId): Promise<JobRequestOutcome> =>
    stateOk
      ? new Promise((resolve) =>
          queries.push(() => resolve({ kind: 'known', view: { id, phase: 'running', done: 0, running: 1 } })),
        )
      : Promise.resolve({ kind: 'later', reason: 'no state service' });
  const submit = ({ id }: JobSpec): Promise<JobRequestOutcome> =>
    Promise.resolve(
      stateOk
        ? { kind: 'created', view: { id, phase: 'queued', done: 0, running: 0 } }
        : { kind: 'later', reason: 'no state service' },
    );
  const requests = new UserRequestHandler(
    { query, submit } as unknown as JobRegistry,
    peers,
    () => true,
    () => stateOk,
  );
  const deps = { peers, userRequests: requests } as unknown as PeerMessageDeps;
  peers.received.subscribe((received) => {
    if (received.message.kind === 'ask') handlePeerMessage(deps, received);
  });
  peers.start();
  return { process, peers, requests, answerQueries: () => queries.splice(0).forEach((answer) => answer()) };
}

/** Ends the asking process and starts the next one, which the others then reach. */
async function replaceAsker(lab: SimulationHarness, ended: TestNode): Promise<TestNode> {
  ended.process.kill();
  const asker = startNode(lab, ASKER, lab.restart(ended.process), false);
  await lab.advance(RECONNECT_MS);
  return asker;
}

/** A frame that forwards the query of a job. */
const queryFrame = (id: number, job: JobId): PeerMessage => ({
  ...{ kind: 'ask', id, op: 'query', body: JSON.stringify({ op: 'query', id: job }) },
});

const receivedAnswers = ({ peers }: TestNode): number => peers.traffic.received['answer']?.frames ?? 0;

const receivedAsks = ({ peers }: TestNode): number => peers.traffic.received['ask']?.frames ?? 0;

/** The job that a user is shown, or else the status of the answer. */
async function shownJob(lab: SimulationHarness, answer: Promise<{ status: number; body: unknown }>): Promise<unknown> {
  const { status, body } = await lab.runUntilSettled(answer);
  return status === 200 ? (body as { ref: unknown }).ref : status;
}

// Guards against accepted jobs being forgotten: a user was told of a job that another user had submitted to the process
// that ran at this address before.
test('the answer to a request of an ended process never reaches the user of the process that follows it', async () => {
  const lab = new SimulationHarness();
  const answerer = startNode(lab, ANSWERER, lab.process('10.0.1.2'), true);
  const ended = startNode(lab, ASKER, lab.process('10.0.1.1'), false);
  await lab.advance(RECONNECT_MS);
  void ended.requests.serve({ op: 'query', id: FIRST_JOB });
  await lab.advance(DELIVERY_MS);
  const asker = await replaceAsker(lab, ended);
  // The answer to the ended process is sent while the process that follows it waits for an answer of its own.
  const answer = asker.requests.serve({ op: 'query', id: SECOND_JOB });
  await lab.advance(DELIVERY_MS);
  answerer.answerQueries();
  assert.equal(await shownJob(lab, answer), SECOND_JOB);
});

// Guards against the same fault where only the asking controller is of an earlier release, which numbers the requests of
// each of its processes from 1.
test('an answer is not sent to another process than the one that asked, even if the request ids are the same', async () => {
  const lab = new SimulationHarness();
  const answerer = startNode(lab, ANSWERER, lab.process('10.0.1.2'), true);
  const ended = startNode(lab, ASKER, lab.process('10.0.1.1'), false);
  await lab.advance(RECONNECT_MS);
  ended.peers.send(ANSWERER, queryFrame(1, FIRST_JOB));
  await lab.advance(DELIVERY_MS);
  const asker = await replaceAsker(lab, ended);
  answerer.answerQueries();
  await lab.advance(DELIVERY_MS);
  assert.equal(answerer.peers.forwarding.undeliverableAnswers, 1);
  assert.equal(receivedAnswers(asker), 0);
  // A request of the later process is answered, whatever its id.
  asker.peers.send(ANSWERER, queryFrame(1, SECOND_JOB));
  await lab.advance(DELIVERY_MS);
  answerer.answerQueries();
  await lab.advance(DELIVERY_MS);
  assert.equal(receivedAnswers(asker), 1);
});

// Guards against the same fault where only the answering controller is of an earlier release, which answers whatever
// process runs at the address of the one that asked.
test('request ids of a process are not those of the process before it, and another peer cannot answer a request', async () => {
  const lab = new SimulationHarness();
  const answerer = startNode(lab, ANSWERER, lab.process('10.0.1.2'), true);
  const bystander = startNode(lab, BYSTANDER, lab.process('10.0.1.3'), false);
  const ended = startNode(lab, ASKER, lab.process('10.0.1.1'), false);
  const ids: number[] = [];
  answerer.peers.received.subscribe(({ message }) => {
    if (message.kind === 'ask') ids.push(message.id);
  });
  await lab.advance(RECONNECT_MS);
  void ended.requests.serve({ op: 'query', id: FIRST_JOB });
  await lab.advance(DELIVERY_MS);
  const asker = await replaceAsker(lab, ended);
  const answer = asker.requests.serve({ op: 'query', id: SECOND_JOB });
  await lab.advance(DELIVERY_MS);
  const [idOfEnded, id] = ids;
  assert.ok(idOfEnded !== undefined && id !== undefined);
  answerer.peers.send(ASKER, { kind: 'answer', id: idOfEnded, status: 404, body: '{}' });
  bystander.peers.send(ASKER, { kind: 'answer', id, status: 404, body: '{}' });
  await lab.advance(DELIVERY_MS);
  answerer.answerQueries();
  assert.equal(await shownJob(lab, answer), SECOND_JOB);
  assert.equal(asker.peers.forwarding.unmatchedAnswers, 2);
});

test('an answer that shows another job than the one that was asked for is refused', async () => {
  const lab = new SimulationHarness();
  const answerer = startNode(lab, ANSWERER, lab.process('10.0.1.2'), true);
  const asker = startNode(lab, ASKER, lab.process('10.0.1.1'), false);
  answerer.peers.received.subscribe(({ from, incarnation: sender, message }) => {
    if (message.kind === 'ask')
      answerer.peers.answerRequest(from, sender, message.id, { status: 200, body: JSON.stringify({ ref: FIRST_JOB }) });
  });
  await lab.advance(RECONNECT_MS);
  assert.equal(await shownJob(lab, asker.requests.serve({ op: 'query', id: SECOND_JOB })), 503);
  assert.ok(asker.requests.answersAboutOtherJobs > 0);
});

// Guards against a job that starts before the jobs that it awaits: a release that knows no dependencies drops them.
test('a job with dependencies is forwarded only to the process that has announced that it supports them', async () => {
  const lab = new SimulationHarness();
  const asker = startNode(lab, ASKER, lab.process('10.0.1.1'), false);
  const earlier = startNode(lab, ANSWERER, lab.process('10.0.1.2'), true, { features: [PIPELINES] });
  await lab.advance(RECONNECT_MS);
  const spec = { id: SECOND_JOB } as JobSpec;
  const submit = { op: 'submit', spec, awaits: [FIRST_JOB] } as const;
  assert.equal((await lab.runUntilSettled(asker.requests.serve(submit))).status, 201);
  earlier.process.kill();
  // The next process is of another release. It can be reached, but its hello has not arrived yet.
  const next = startNode(lab, ANSWERER, lab.restart(earlier.process), true, { connectsTo: [] });
  await lab.advance(RECONNECT_DELAY_MS);
  assert.equal((await lab.runUntilSettled(asker.requests.serve(submit))).status, 503);
  assert.equal(receivedAsks(next), 0);
  await lab.runUntilSettled(asker.requests.serve({ op: 'submit', spec }));
  assert.ok(receivedAsks(next) > 0);
});
