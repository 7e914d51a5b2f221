import {
  HttpClient,
  type HttpResult,
  type HttpRequest,
  type Endpoint,
  type Runtime,
} from '../../../../src/kernel/index.js';
import type { RandomStream } from '../sim/index.js';
import { phaseOf, statusOf } from './http-results.js';
import type { SimulatedJob, Submission } from './jobs.js';
import type { UserView, UserObserver } from './user-observer.js';

/** What {@link AdversarialUsers} depends on. */
export interface AdversarialUserDeps {
  readonly runtime: Runtime;
  readonly random: RandomStream;
  /** The user-facing endpoints of the controllers, which bypass the balancer. */
  readonly nodes: readonly Endpoint[];
  readonly checker: UserObserver;
  /** Accepted jobs, in the order of their acceptance. */
  readonly accepted: readonly UserView[];
  /** Draws a job description as users send it; it is not registered as a job. */
  readonly drawSubmission: () => Submission;
  /** Submits a job once more through the balancer. */
  readonly resubmit: (view: UserView) => void;
  /** Cancels a job through the balancer. */
  readonly cancel: (view: UserView) => void;
}

/** Which additional requests are sent; off until an injected fault switches them on. */
export interface AdversarialBehavior {
  /** Asks all nodes about a job, and submits it again, as soon as one node reports it accepted or ended. */
  queriesAllNodes: boolean;
  /** Sends repeated submissions, cancellations of completed jobs and invalid submissions. */
  sendsUnusualRequests: boolean;
  /** Share of the jobs that are cancelled at the moment at which their last task completes. */
  cancelAtCompletionShare: number;
}

const SUBMIT_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
/** How often each node is asked about a job, and within which time. */
const QUERY_ROUNDS = 3;
const QUERY_WINDOW_MS = 60;
const UNUSUAL_REQUEST_INTERVAL_MS = 700;
/** Share of the accepted jobs that are cancelled within the query window. */
const IMMEDIATE_CANCEL_SHARE = 0.15;
/** Unusual requests concern the last accepted jobs, at most this number. */
const MAX_RECENT_JOBS = 60;
/** Only jobs whose tasks run longer are cancelled while they run. */
const MIN_RUN_S = 20;
/** Fields of a submission that may be null or missing: a submission without them is valid. */
const NULLABLE_FIELDS = new Set(['hulls', 'berth', 'due_s', 'awaits']);

/**
 * Users that provoke races and errors: they ask all nodes at the same time, repeat requests at the worst moment, and
 * send invalid submissions. Most of their requests bypass the balancer.
 */
export class AdversarialUsers {
  readonly behavior: AdversarialBehavior = {
    queriesAllNodes: false,
    sendsUnusualRequests: false,
    cancelAtCompletionShare: 0,
  };
  private stopped = false;

  constructor(private readonly deps: AdversarialUserDeps) {}

  /** Starts the unusual requests; they are sent while the behavior is switched on. */
  start(): void {
    this.deps.runtime.every(UNUSUAL_REQUEST_INTERVAL_MS, () => {
      if (this.behavior.sendsUnusualRequests && !this.stopped) this.sendUnusualRequest();
    });
  }

  /** Sends no further requests. */
  stop(): void {
    this.stopped = true;
  }

  /** A node has reported that a job is accepted, or that it is done or cancelled (`over`). */
  onJobReported(view: UserView, event: 'accepted' | 'over'): void {
    const { runtime, random, nodes, checker } = this.deps;
    if (!this.behavior.queriesAllNodes || this.stopped) return;
    const { spec } = view.job;
    for (let round = 0; round < QUERY_ROUNDS; round++) {
      for (const node of nodes) runtime.after(random.uniform(0, QUERY_WINDOW_MS), () => void this.pollJob(node, view));
    }
    const target = random.pickOne(nodes);
    if (target)
      runtime.after(random.uniform(0, QUERY_WINDOW_MS), () => {
        const known = checker.reportedSoFar(spec.ref);
        void this.callNode(target, 'POST', '/v1/jobs', SUBMIT_TIMEOUT_MS, spec).then((answer) => {
          if (answer.kind === 'answered') checker.submitAnswered(spec.ref, answer.status, phaseOf(answer), known);
        });
      });
    if (event === 'accepted' && random.chance(IMMEDIATE_CANCEL_SHARE))
      runtime.after(random.uniform(0, QUERY_WINDOW_MS), () => this.deps.cancel(view));
  }

  /** Called when the last task of a job has just completed; cancels the configured share of these jobs. */
  onJobCompleted(job: SimulatedJob): void {
    if (!this.deps.random.chance(this.behavior.cancelAtCompletionShare)) return;
    const view = this.deps.accepted.find((candidate) => candidate.job === job);
    if (view) this.deps.cancel(view);
  }

  /** Cancels up to `count` running jobs with long tasks, all within 200 ms, and returns them. */
  cancelRunningJobs(count: number, running: (job: SimulatedJob) => boolean): UserView[] {
    const { runtime, random, accepted } = this.deps;
    const openJobs = accepted.filter(
      ({ job, toldDone, toldCancelled, cancelAskedAt }) =>
        !toldDone && !toldCancelled && cancelAskedAt === null && job.runS(0) > MIN_RUN_S && running(job),
    );
    const chosen = random.sample(openJobs, count);
    for (const view of chosen) runtime.after(random.uniform(0, 200), () => this.deps.cancel(view));
    return chosen;
  }

  private async pollJob(node: Endpoint, view: UserView): Promise<void> {
    const { checker } = this.deps;
    const { ref } = view.job.spec;
    const known = checker.reportedSoFar(ref);
    const answer = await this.callNode(node, 'GET', `/v1/jobs/${ref}`, POLL_TIMEOUT_MS);
    checker.pollAnswered(ref, statusOf(answer), phaseOf(answer), known);
  }

  private async callNode(
    node: Endpoint,
    method: HttpRequest['method'],
    path: string,
    timeoutMs: number,
    body?: unknown,
  ): Promise<HttpResult> {
    const client = new HttpClient(node, 1, this.deps.runtime);
    const answer = await client.call({ method, path, timeoutMs, ...(body === undefined ? {} : { body }) });
    client.close();
    return answer;
  }

  private sendUnusualRequest(): void {
    const { random, accepted, checker, nodes, resubmit } = this.deps;
    const recent = accepted.slice(-MAX_RECENT_JOBS);
    const node = random.pickOne(nodes);
    if (!node) return;
    switch (random.integerBelow(4)) {
      case 0: {
        const openJob = random.pickOne(recent.filter(({ toldDone, toldCancelled }) => !toldDone && !toldCancelled));
        if (openJob) resubmit(openJob);
        return;
      }
      case 1: {
        const doneJob = random.pickOne(recent.filter(({ toldDone }) => toldDone));
        if (!doneJob) return;
        const { ref } = doneJob.job.spec;
        const known = checker.reportedSoFar(ref);
        void this.callNode(node, 'POST', `/v1/jobs/${ref}/cancel`, SUBMIT_TIMEOUT_MS, {}).then((answer) => {
          if (answer.kind === 'answered') checker.cancelAnswered(ref, answer.status, phaseOf(answer), known);
        });
        return;
      }
      case 2: {
        const spec = this.deps.drawSubmission();
        const impossible = random.pickOne<Partial<Submission>>([
          { vcpus: 100_000 },
          { ram_gb: 1_000_000 },
          { hulls: ['no-such-type'] },
          { owner: 'no-such-team' },
        ]);
        void this.callNode(node, 'POST', '/v1/jobs', SUBMIT_TIMEOUT_MS, { ...spec, ...impossible }).then((answer) =>
          checker.invalidSubmissionAnswered(`${spec.ref} that can never run`, 422, statusOf(answer)),
        );
        return;
      }
      default: {
        const entries = Object.entries(this.deps.drawSubmission());
        const field = random.pickOne(entries.map(([name]) => name).filter((name) => !NULLABLE_FIELDS.has(name)));
        const spec = Object.fromEntries(entries.filter(([name]) => name !== field));
        void this.callNode(node, 'POST', '/v1/jobs', SUBMIT_TIMEOUT_MS, spec).then((answer) =>
          checker.invalidSubmissionAnswered(`one without ${field ?? ''}`, 400, statusOf(answer)),
        );
      }
    }
  }
}
