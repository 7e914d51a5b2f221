import {
  HttpClient,
  type HttpResult,
  type HttpRequest,
  type Endpoint,
  type Runtime,
} from '../../../../src/kernel/index.js';
import type { Luck } from '../sim/index.js';
import { phaseOf, statusOf } from './answers.js';
import type { JobTruth, Submission } from './jobs.js';
import type { UserView, UserWitness } from './witness.js';

export interface CloseDeps {
  readonly runtime: Runtime;
  readonly luck: Luck;
  /** The controllers themselves, without the balancer. */
  readonly nodes: readonly Endpoint[];
  readonly checker: UserWitness;
  /** Jobs that users have had accepted, in that order. */
  readonly accepted: readonly UserView[];
  /** A description such as users send; nobody uploads it. */
  readonly draft: () => Submission;
  readonly submitAgain: (view: UserView) => void;
  readonly cancel: (view: UserView) => void;
}

/** What users close to a job do besides: off until a trouble switches them on. */
export interface CloseHabits {
  looks: boolean;
  odd: boolean;
  /** Of the jobs that end, this share is cancelled at that moment. */
  cancelsAtEnd: number;
}

const SUBMIT_MS = 5000;
const POLL_MS = 2000;
const LOOK_ROUNDS = 3;
const LOOKS_WITHIN_MS = 60;
const ODD_EVERY_MS = 700;
const CANCELS_AT_ONCE = 0.15;
const RECENT = 60;
const LONG_S = 20;
const MAY_BE_NULL = new Set(['hulls', 'berth', 'due_s', 'awaits']);

/** Users that ask all nodes at once, repeat themselves at the worst moment, and send what can't be taken. */
export class CloseUsers {
  readonly habits: CloseHabits = { looks: false, odd: false, cancelsAtEnd: 0 };
  private ended = false;

  constructor(private readonly deps: CloseDeps) {}

  start(): void {
    this.deps.runtime.every(ODD_EVERY_MS, () => {
      if (this.habits.odd && !this.ended) this.oddRequest();
    });
  }

  stop(): void {
    this.ended = true;
  }

  /** A job was accepted, or called done or cancelled, by some node. */
  told(view: UserView, what: 'accepted' | 'over'): void {
    const { runtime, luck, nodes, checker } = this.deps;
    if (!this.habits.looks || this.ended) return;
    const { spec } = view.job;
    for (let round = 0; round < LOOK_ROUNDS; round++) {
      for (const node of nodes) runtime.after(luck.between(0, LOOKS_WITHIN_MS), () => void this.ask(node, view));
    }
    const again = luck.pick(nodes);
    if (again)
      runtime.after(luck.between(0, LOOKS_WITHIN_MS), () => {
        const asked = checker.asks(spec.ref);
        void this.directly(again, 'POST', '/v1/jobs', SUBMIT_MS, spec).then((answer) => {
          if (answer.kind === 'answered') checker.submitAnswered(spec.ref, answer.status, phaseOf(answer), asked);
        });
      });
    if (what === 'accepted' && luck.chance(CANCELS_AT_ONCE))
      runtime.after(luck.between(0, LOOKS_WITHIN_MS), () => this.deps.cancel(view));
  }

  /** Its last task has just completed. */
  completed(job: JobTruth): void {
    if (!this.deps.luck.chance(this.habits.cancelsAtEnd)) return;
    const view = this.deps.accepted.find((candidate) => candidate.job === job);
    if (view) this.deps.cancel(view);
  }

  /** Jobs that run and have long to go, all cancelled within a fifth of a second; which they were. */
  cancelNow(count: number, running: (job: JobTruth) => boolean): UserView[] {
    const { runtime, luck, accepted } = this.deps;
    const open = accepted.filter(
      ({ job, toldDone, toldCancelled, cancelAskedAt }) =>
        !toldDone && !toldCancelled && cancelAskedAt === null && job.runS(0) > LONG_S && running(job),
    );
    const chosen = luck.some(open, count);
    for (const view of chosen) runtime.after(luck.between(0, 200), () => this.deps.cancel(view));
    return chosen;
  }

  private async ask(node: Endpoint, view: UserView): Promise<void> {
    const { checker } = this.deps;
    const { ref } = view.job.spec;
    const asked = checker.asks(ref);
    const answer = await this.directly(node, 'GET', `/v1/jobs/${ref}`, POLL_MS);
    checker.polled(ref, statusOf(answer), phaseOf(answer), asked);
  }

  private async directly(
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

  private oddRequest(): void {
    const { luck, accepted, checker, nodes, submitAgain } = this.deps;
    const recent = accepted.slice(-RECENT);
    const node = luck.pick(nodes);
    if (!node) return;
    switch (luck.whole(4)) {
      case 0: {
        const open = luck.pick(recent.filter(({ toldDone, toldCancelled }) => !toldDone && !toldCancelled));
        if (open) submitAgain(open);
        return;
      }
      case 1: {
        const done = luck.pick(recent.filter(({ toldDone }) => toldDone));
        if (!done) return;
        const { ref } = done.job.spec;
        const asked = checker.asks(ref);
        void this.directly(node, 'POST', `/v1/jobs/${ref}/cancel`, SUBMIT_MS, {}).then((answer) => {
          if (answer.kind === 'answered') checker.cancelAnswered(ref, answer.status, phaseOf(answer), asked);
        });
        return;
      }
      case 2: {
        const spec = this.deps.draft();
        const impossible = luck.pick<Partial<Submission>>([
          { vcpus: 100_000 },
          { ram_gb: 1_000_000 },
          { hulls: ['no-such-type'] },
          { owner: 'no-such-team' },
        ]);
        void this.directly(node, 'POST', '/v1/jobs', SUBMIT_MS, { ...spec, ...impossible }).then((answer) =>
          checker.oddAnswered(`${spec.ref} that can never run`, 422, statusOf(answer)),
        );
        return;
      }
      default: {
        const whole = Object.entries(this.deps.draft());
        const field = luck.pick(whole.map(([name]) => name).filter((name) => !MAY_BE_NULL.has(name)));
        const spec = Object.fromEntries(whole.filter(([name]) => name !== field));
        void this.directly(node, 'POST', '/v1/jobs', SUBMIT_MS, spec).then((answer) =>
          checker.oddAnswered(`one without ${field ?? ''}`, 400, statusOf(answer)),
        );
      }
    }
  }
}
