import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HttpClient, isObject, type HttpResult } from '../../../src/kernel/index.js';
import { Region, type SimProcess, type Submission } from '../src/index.js';
import { shortDay } from './test-days.js';

/** The release before answers were matched with the process that had asked. */
const LAST_RELEASE = 'before-matched-answers';
/** The controller that the state service refuses, so that it forwards its users' requests. */
const REFUSED = 2;
/** The controller that answers them. */
const ANSWERING = 0;
const REFUSED_AT_S = 10;
/** Requests are forwarded from here on; the controller that forwards them ends right after the first of them. */
const FORWARDING_AT_S = 11.8;
const ENDS_AT_S = FORWARDING_AT_S + 0.04;
/** The answering controller's link to the state service is held from here on, so that its answers come late. */
const HELD_AT_S = FORWARDING_AT_S + 0.03;
const HELD_FOR_S = 1.15;
/** The next process asks from here on, and goes on until the late answers arrive. */
const ASKS_AGAIN_AT_S = FORWARDING_AT_S + 0.5;
const JOBS_BEFORE_END = 30;
const JOBS_AFTER_END = 100;
const ASK_INTERVAL_MS = 5;
const REQUEST_TIMEOUT_MS = 2000;
const MAX_CONNECTIONS = 200;
const REFUSED_FOR_S = 7;
const POLLED_UNTIL_S = 19;
const DAY_S = 20;

/** The releases of the controller that forwards, before and after it ends, and of the controllers that answer. */
interface ReleaseMix {
  readonly ending: string;
  readonly following: string;
  readonly answering: string;
}

/** Answers to submissions about another job, and accepted jobs that no controller knows. */
interface Outcome {
  readonly accepted: number;
  readonly foreignAnswers: readonly string[];
  readonly unknown: readonly string[];
}

const submission = (ref: string): Submission => ({
  ...{ ref, jobclass: 'letters', owner: 'mail', shape: 'sweep', urgency: 'standard', pieces: 1, vcpus: 1 },
  ...{ accelerators: 0, ram_gb: 2, bundle: 'letters-0', pull_gb: 1, hulls: null, berth: null, same_place: false },
  ...{ scatter: false, flotsam: true, expected_s: 20, mark_every_s: 0, mark_cost_s: 0, due_s: null },
});

const refOf = (result: HttpResult): unknown =>
  result.kind === 'answered' && isObject(result.body) ? result.body['ref'] : undefined;
const statusOf = (result: HttpResult): number | null => (result.kind === 'answered' ? result.status : null);

/** Users of one controller, who don't go through the load balancer. */
class DirectUsers {
  readonly accepted: string[] = [];
  readonly foreignAnswers: string[] = [];
  private nextJob = 800_000;

  constructor(
    private readonly client: HttpClient,
    private readonly process: SimProcess,
  ) {}

  /** Submits jobs at a steady rate. */
  submitJobs(count: number, intervalMs: number): void {
    for (let i = 0; i < count; i++) this.process.after(1 + i * intervalMs, () => void this.submit());
  }

  private async submit(): Promise<void> {
    const ref = `j-${this.nextJob++}`;
    const call = { method: 'POST', path: '/v1/jobs', body: submission(ref), timeoutMs: REQUEST_TIMEOUT_MS } as const;
    const result = await this.client.call(call);
    const status = statusOf(result);
    if (status !== 200 && status !== 201) return;
    this.accepted.push(ref);
    if (refOf(result) !== ref) this.foreignAnswers.push(`${ref} got ${String(refOf(result))}`);
  }
}

/** Returns the jobs that a controller answers with 404. */
async function unknownJobs(region: Region, jobs: readonly string[]): Promise<string[]> {
  const controller = region.controllers[ANSWERING];
  assert.ok(controller);
  const client = new HttpClient(controller.spec.serveOn, MAX_CONNECTIONS, region.createExternalProcess('poller'));
  const unknown: string[] = [];
  for (const ref of jobs)
    void client.call({ method: 'GET', path: `/v1/jobs/${ref}`, timeoutMs: REQUEST_TIMEOUT_MS }).then((result) => {
      if (statusOf(result) === 404) unknown.push(ref);
    });
  await region.play(POLLED_UNTIL_S);
  client.close();
  return unknown;
}

/**
 * The state service refuses a controller, which forwards its users' requests; it ends and is back at once, and the
 * answers to its first requests are ready while the process that follows it waits for answers to its own.
 */
async function playRestartWhileForwarding({ ending, following, answering }: ReleaseMix): Promise<Outcome> {
  const day = shortDay(DAY_S, [
    { kind: 'controller_refused', at_s: REFUSED_AT_S, for_s: REFUSED_FOR_S, controller: REFUSED },
    {
      kind: 'controller_cut',
      at_s: HELD_AT_S,
      for_s: HELD_FOR_S,
      controller: ANSWERING,
      from: 'state',
      manner: 'hold',
    },
    { kind: 'rollout', at_s: ENDS_AT_S, gap_s: 1, to: following, order: [REFUSED], down_s: 0.05, leave: false },
  ]);
  const region = new Region({
    day: { ...day, controllers: { ...day.controllers, releases: [answering, answering, ending] } },
  });
  const controller = region.controllers[REFUSED];
  assert.ok(controller);
  await region.play(FORWARDING_AT_S);
  const process = region.createExternalProcess('users');
  const users = new DirectUsers(new HttpClient(controller.spec.serveOn, MAX_CONNECTIONS, process), process);
  users.submitJobs(JOBS_BEFORE_END, 0);
  await region.play(ASKS_AGAIN_AT_S);
  users.submitJobs(JOBS_AFTER_END, ASK_INTERVAL_MS);
  await region.play(REFUSED_AT_S + REFUSED_FOR_S);
  const { accepted, foreignAnswers } = users;
  const unknown = await unknownJobs(region, accepted);
  region.close();
  return { accepted: accepted.length, foreignAnswers, unknown };
}

/** Plays a mix of releases and checks that each user is told of the user's own job, which then stays known. */
async function assertAnswersMatch(mix: ReleaseMix): Promise<void> {
  const { accepted, foreignAnswers, unknown } = await playRestartWhileForwarding(mix);
  assert.deepEqual({ foreignAnswers, unknown }, { foreignAnswers: [], unknown: [] }, JSON.stringify(mix));
  assert.ok(accepted > 10, `${accepted} jobs were accepted with ${JSON.stringify(mix)}`);
}

// Guards against accepted jobs being forgotten: their users were told of jobs that users of the ended process had
// submitted.
test('a controller that forwards requests ends and is back at once: no answer reaches the user of another request', async () => {
  await assertAnswersMatch({ ending: 'this', following: 'this', answering: 'this' });
});

for (const earlier of [LAST_RELEASE, 'production']) {
  test(`beside ${earlier}, no answer reaches the user of another request as long as either side is of this release`, async () => {
    await assertAnswersMatch({ ending: 'this', following: 'this', answering: earlier });
    await assertAnswersMatch({ ending: earlier, following: 'this', answering: earlier });
    await assertAnswersMatch({ ending: 'this', following: earlier, answering: earlier });
    await assertAnswersMatch({ ending: earlier, following: earlier, answering: 'this' });
    await assertAnswersMatch({ ending: earlier, following: 'this', answering: 'this' });
    await assertAnswersMatch({ ending: 'this', following: earlier, answering: 'this' });
  });

  test(`${earlier} alone shows the fault, so these plays can show it`, async () => {
    const { foreignAnswers, unknown } = await playRestartWhileForwarding({
      ...{ ending: earlier, following: earlier, answering: earlier },
    });
    assert.ok(foreignAnswers.length > 0);
    assert.ok(unknown.length > 0);
  });
}
