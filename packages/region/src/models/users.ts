import type { HttpResult, Endpoint, Runtime } from '../../../../src/kernel/index.js';
import { ANY_TEAM, type Day, type DayClass, type DayPipeline } from '../day/index.js';
import { Luck } from '../sim/index.js';
import type { Balancer, UserSession } from './balancer.js';
import { phaseOf, statusOf } from './answers.js';
import { CloseUsers } from './close.js';
import { JobTruth, type JobBook, type Submission } from './jobs.js';
import type { ScriptedJob } from './script.js';
import type { UserView, UserWitness } from './witness.js';

export interface UserDeps {
  readonly runtime: Runtime;
  readonly now: () => number;
  readonly luck: Luck;
  readonly day: Day;
  readonly balancer: Balancer;
  readonly jobs: JobBook;
  readonly checker: UserWitness;
  readonly arrived: (view: UserView) => void;
  /** The controllers themselves, for users that ask around the balancer. */
  readonly nodes: readonly Endpoint[];
  /** Instead of drawn jobs and strangers. */
  readonly script?: readonly ScriptedJob[];
}

const SHAPES = { array: 'sweep', gang: 'ensemble', service: 'daemon' } as const;
const SUBMIT_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
const POLL_EVERY_MS = 5000;
const RETRY_MS = 1000;
const LONGEST_RETRY_MS = 30_000;
const GIVES_UP_MS = 60_000;
const STRANGER_EVERY_MS = 15_000;
const FIRST_JOBS_WITHIN_MS = 5000;
/** Of accepted jobs, how many are submitted once more; and of those that are over, how many are asked about again. */
const REPEATS = 0.03;
const ASKS_AGAIN = 0.05;
const LONGEST_LUCK = 20;

/** Users, by the protocol: they submit, retry, poll, cancel, repeat themselves, and ask about jobs that never were. */
export class UserModel {
  private readonly factors = new Map<string, number>();
  private readonly used = new Set<string>();
  /** Jobs that were accepted, in that order. */
  readonly accepted: UserView[] = [];
  private ended = false;
  readonly close: CloseUsers;

  constructor(private readonly deps: UserDeps) {
    const { runtime, luck, nodes, checker, day } = deps;
    const own = luck.fork('close');
    this.close = new CloseUsers({
      ...{ runtime, nodes, checker, luck: own, accepted: this.accepted },
      draft: () => this.draw(own.pick(day.classes)).spec,
      submitAgain: (view) => void this.once((session) => this.submitOnce(session, view)),
      cancel: (view) => void this.once((session) => this.cancel(session, view)),
    });
  }

  /** On a connection of its own. */
  private async once(work: (session: UserSession) => Promise<unknown>): Promise<void> {
    const session = this.deps.balancer.session();
    await work(session);
    session.close();
  }

  /** How many times as often jobs of a class come. */
  burst(jobClass: string, times: number): void {
    this.factors.set(jobClass, times);
  }

  start(): void {
    const { runtime, day, luck, script } = this.deps;
    if (script) {
      for (const planned of script) runtime.after(planned.atS * 1000, () => void this.livePlanned(planned));
      return;
    }
    for (const jobClass of day.classes) {
      for (let i = 0; i < jobClass.initial; i++)
        runtime.after(luck.between(0, FIRST_JOBS_WITHIN_MS), () => void this.live(jobClass));
    }
    for (const pipeline of day.pipelines) {
      for (let i = 0; i < pipeline.initial; i++)
        runtime.after(
          pipeline.start_s * 1000 + luck.between(0, FIRST_JOBS_WITHIN_MS),
          () => void this.livePipeline(pipeline),
        );
    }
    this.close.start();
    runtime.every(1000, () => this.second());
    runtime.every(STRANGER_EVERY_MS, () => void this.stranger());
  }

  stop(): void {
    this.ended = true;
    this.close.stop();
  }

  private second(): void {
    const { runtime, day, luck, now } = this.deps;
    if (this.ended || now() > (day.duration_s - day.quiet_end_s) * 1000) return;
    for (const jobClass of day.classes) {
      const mean = (jobClass.per_minute / 60) * (this.factors.get(jobClass.name) ?? 1);
      const arrivals = luck.poisson(mean);
      for (let i = 0; i < arrivals; i++) runtime.after(luck.between(0, 1000), () => void this.live(jobClass));
    }
    for (const pipeline of day.pipelines) {
      if (pipeline.per_minute === 0 || now() < pipeline.start_s * 1000) continue;
      const arrivals = luck.poisson(pipeline.per_minute / 60);
      for (let i = 0; i < arrivals; i++) runtime.after(luck.between(0, 1000), () => void this.livePipeline(pipeline));
    }
  }

  private ref(): string {
    for (;;) {
      const ref = `j-${String(this.deps.luck.whole(1_000_000)).padStart(6, '0')}`;
      if (this.used.has(ref)) continue;
      this.used.add(ref);
      return ref;
    }
  }

  private draw(c: DayClass | undefined, more: Partial<Submission> = {}): JobTruth {
    if (!c) throw new Error('a day without classes');
    const { luck, day } = this.deps;
    const ref = this.ref();
    const own = luck.fork(ref);
    const pieces =
      'sizes' in c.tasks
        ? (c.tasks.sizes[own.weighted(c.tasks.weights)] ?? 1)
        : Math.max(1, Math.round(own.spread(c.tasks)));
    const runS = own.spread(c.run_s);
    const off = own.spread({ median: 1, p95: 1 + c.estimate_off, max: LONGEST_LUCK });
    const expected = c.shape === 'service' ? 0 : runS * (own.chance(0.5) ? off : 1 / off);
    const image = own.whole(c.images.count);
    const spec: Submission = {
      ref,
      jobclass: c.name,
      owner: c.team === ANY_TEAM ? (own.fork('team').pick(day.teams)?.name ?? '') : c.team,
      shape: SHAPES[c.shape],
      urgency: c.priority,
      pieces,
      vcpus: c.cpus,
      accelerators: c.gpus,
      ram_gb: c.memory_gb,
      bundle: `${c.name}-${image}`,
      // Every job with the same image names the same size.
      pull_gb: Math.round(new Luck(this.deps.day.seed, `${c.name}-${image}`).spread(c.images.gb) * 100) / 100,
      hulls: c.types ?? null,
      berth: c.zone ?? null,
      same_place: c.one_zone,
      scatter: c.spread_zones,
      flotsam: c.spot,
      expected_s: Math.round(expected * 10) / 10,
      mark_every_s: c.checkpoint_s,
      mark_cost_s: c.save_s,
      due_s: c.deadline_factor === undefined ? null : Math.round(expected * c.deadline_factor + 30),
      ...more,
    };
    const runs = new Map<number, number>();
    const runOf = (index: number): number => {
      let run = runs.get(index);
      if (run === undefined) runs.set(index, (run = runS * own.fork(String(index)).between(0.85, 1.2)));
      return run;
    };
    return new JobTruth(spec, c.shape === 'service' ? () => runS : runOf, own.chance(c.mistaken_share));
  }

  /** One job, from its submission until its user no longer asks. */
  private async live(c: DayClass): Promise<void> {
    const { runtime, luck } = this.deps;
    const job = this.draw(c);
    const own = luck.fork(`${job.spec.ref} user`);
    const { view, session } = this.upload(job);
    try {
      if (!(await this.submit(session, view))) return;
      if (own.chance(REPEATS)) runtime.after(own.between(500, 20_000), () => void this.submitOnce(session, view));
      if (c.shape === 'service') runtime.after(job.runS(0) * 1000, () => void this.cancel(session, view));
      else if (job.mistaken || own.chance(c.cancel_share))
        runtime.after(own.between(1000, c.cancel_within_s * 1000), () => void this.cancel(session, view));
      await this.follow(session, view, own);
      if (!own.chance(ASKS_AGAIN)) return;
      await runtime.sleep(own.between(5000, 60_000));
      await this.poll(session, view);
      await this.submitOnce(session, view);
    } finally {
      session.close();
    }
  }

  /**
   * One pipeline: each job is submitted as soon as those that it needs are accepted, some last ones only when the others
   * are over. One that isn't accepted takes those after it with it: nobody submits them.
   */
  private async livePipeline(p: DayPipeline): Promise<void> {
    const { day, jobs } = this.deps;
    const own = this.deps.luck.fork(`pipeline ${this.ref()}`);
    const late = own.chance(p.late);
    const earlier = own.chance(p.on_earlier) ? this.openBatch(own) : undefined;
    const done: UserView[][] = [];
    const all: { readonly view: UserView; readonly session: UserSession }[] = [];
    let estimateS = 0;
    for (const [at, stage] of p.stages.entries()) {
      const c = day.classes.find(({ name }) => name === stage.class);
      if (!c) return;
      const last = at === p.stages.length - 1;
      const awaits = stage.needs.flatMap((need) => (done[need] ?? []).map((view) => view.job.spec.ref));
      if (at === 0 && earlier !== undefined) awaits.push(earlier);
      if (last && late) await this.allOver(all.map(({ view }) => view));
      if (this.ended) return;
      const views: UserView[] = [];
      let longestS = 0;
      for (let i = stage.jobs[0] + own.whole(stage.jobs[1] - stage.jobs[0] + 1); i > 0; i--) {
        const job = this.draw(c, { awaits, due_s: null });
        longestS = Math.max(longestS, job.spec.expected_s);
        const { runS, mistaken, spec } = job;
        const due_s = last ? Math.round((estimateS + longestS) * p.deadline_factor + p.deadline_plus_s) : null;
        const made = this.upload(new JobTruth({ ...spec, due_s }, runS, mistaken));
        all.push(made);
        if (!(await this.submit(made.session, made.view))) return;
        views.push(made.view);
        void this.follow(made.session, made.view, own.fork(spec.ref)).then(() => made.session.close());
      }
      estimateS += longestS;
      done.push(views);
    }
    if (!own.chance(p.cancelled)) return;
    await this.deps.runtime.sleep(own.between(0, 40_000));
    const chosen = own.pick(all);
    if (chosen && jobs.get(chosen.view.job.spec.ref)?.complete !== true) {
      const session = this.deps.balancer.session();
      await this.cancel(session, chosen.view);
      session.close();
    }
  }

  /** Some accepted job that can end by itself. */
  private openBatch(own: Luck): string | undefined {
    const open = this.accepted.filter(
      ({ job, toldDone, toldCancelled }) => job.spec.shape !== 'daemon' && !job.mistaken && !toldDone && !toldCancelled,
    );
    return own.pick(open.slice(-20))?.job.spec.ref;
  }

  private async allOver(views: readonly UserView[]): Promise<void> {
    while (!this.ended && !views.every((view) => view.toldDone || view.toldCancelled))
      await this.deps.runtime.sleep(1000);
  }

  /** One job of a script: nothing is repeated, and it is taken back when the script says so. */
  private async livePlanned({ job, cancelAtS }: ScriptedJob): Promise<void> {
    const { runtime, luck, now } = this.deps;
    const { view, session } = this.upload(job);
    try {
      if (!(await this.submit(session, view))) return;
      if (cancelAtS !== null)
        runtime.after(Math.max(0, cancelAtS * 1000 - now()), () => void this.cancel(session, view));
      await this.follow(session, view, luck.fork(`${job.spec.ref} user`));
    } finally {
      session.close();
    }
  }

  private upload(job: JobTruth): { readonly view: UserView; readonly session: UserSession } {
    const { checker, jobs, balancer, now } = this.deps;
    jobs.add(job);
    checker.submits(job);
    const view: UserView = {
      ...{ job, submittedAt: now(), acceptedAt: null, refused: false },
      ...{ cancelAskedAt: null, toldDone: false, toldCancelled: false },
    };
    this.deps.arrived(view);
    return { view, session: balancer.session() };
  }

  /** Tries until it is accepted, refused for good, or a minute has gone. */
  private async submit(session: UserSession, view: UserView): Promise<boolean> {
    for (;;) {
      const answer = await this.submitOnce(session, view);
      if (view.acceptedAt !== null) return true;
      const status = statusOf(answer);
      if (status === 400 || status === 422) {
        view.refused = true;
        return false;
      }
      if (!(await this.pause(answer, view.submittedAt))) {
        view.refused = true;
        return false;
      }
    }
  }

  /** Waits as the answer says; false when a minute is over. */
  private async pause(answer: HttpResult, since: number): Promise<boolean> {
    const saidS = answer.kind === 'answered' ? answer.retryAfterS : null;
    const ms = Math.min(LONGEST_RETRY_MS, Math.max(RETRY_MS, (saidS ?? 0) * 1000)) + this.deps.luck.between(0, 200);
    if (this.deps.now() + ms - since > GIVES_UP_MS) return false;
    await this.deps.runtime.sleep(ms);
    return true;
  }

  private async submitOnce(session: UserSession, view: UserView): Promise<HttpResult> {
    const { spec } = view.job;
    const call = { method: 'POST', path: '/v1/jobs', body: spec, timeoutMs: SUBMIT_TIMEOUT_MS } as const;
    const asked = this.deps.checker.asks(spec.ref);
    const answer = await session.call(call);
    if (answer.kind === 'answered') {
      this.deps.checker.submitAnswered(spec.ref, answer.status, phaseOf(answer), asked);
      if ((answer.status === 200 || answer.status === 201) && view.acceptedAt === null) {
        view.acceptedAt = this.deps.now();
        this.accepted.push(view);
        this.close.told(view, 'accepted');
      }
    }
    return answer;
  }

  private async follow(session: UserSession, view: UserView, own: Luck): Promise<void> {
    while (!view.toldDone && !view.toldCancelled && !this.ended) {
      await this.deps.runtime.sleep(POLL_EVERY_MS * own.between(0.8, 1.2));
      await this.poll(session, view);
    }
  }

  private async poll(session: UserSession, view: UserView): Promise<void> {
    const { ref } = view.job.spec;
    const asked = this.deps.checker.asks(ref);
    const answer = await session.call({ method: 'GET', path: `/v1/jobs/${ref}`, timeoutMs: POLL_TIMEOUT_MS });
    const phase = phaseOf(answer);
    this.deps.checker.polled(ref, statusOf(answer), phase, asked);
    if (phase === 'done' || phase === 'withdrawn') this.over(view, phase);
  }

  /** Some node has told its user how it ended. */
  private over(view: UserView, phase: 'done' | 'withdrawn'): void {
    const known = view.toldDone || view.toldCancelled;
    if (phase === 'done') view.toldDone = true;
    else view.toldCancelled = true;
    if (!known) this.close.told(view, 'over');
  }

  private async cancel(session: UserSession, view: UserView): Promise<void> {
    const { now, checker } = this.deps;
    const { ref } = view.job.spec;
    if (view.toldDone || view.toldCancelled || this.ended) return;
    checker.cancelAsked(ref);
    const askedAt = now();
    view.cancelAskedAt = askedAt;
    for (;;) {
      const path = `/v1/jobs/${ref}/cancel`;
      const asked = checker.asks(ref);
      const answer = await session.call({ method: 'POST', path, body: {}, timeoutMs: SUBMIT_TIMEOUT_MS });
      if (answer.kind === 'answered') checker.cancelAnswered(ref, answer.status, phaseOf(answer), asked);
      if (answer.kind === 'answered' && answer.status === 200) {
        this.over(view, phaseOf(answer) === 'withdrawn' ? 'withdrawn' : 'done');
        return;
      }
      // Nobody gives up cancelling: a job that may run on costs money.
      if (!(await this.pause(answer, now())) || this.ended) return;
    }
  }

  private async stranger(): Promise<void> {
    if (this.ended) return;
    const ref = `j-x${String(this.deps.luck.whole(1_000_000)).padStart(6, '0')}`;
    const session = this.deps.balancer.session();
    const asked = this.deps.checker.asks(ref);
    const answer = await session.call({ method: 'GET', path: `/v1/jobs/${ref}`, timeoutMs: POLL_TIMEOUT_MS });
    this.deps.checker.polled(ref, statusOf(answer), phaseOf(answer), asked);
    session.close();
  }
}
