import type { HttpResult, Endpoint, Runtime } from '../../../../src/kernel/index.js';
import { ANY_TEAM, type SimulationScenario, type JobClass, type PipelineTemplate } from '../scenario/index.js';
import { RandomStream } from '../sim/index.js';
import type { Balancer, UserSession } from './balancer.js';
import { phaseOf, statusOf } from './http-results.js';
import { AdversarialUsers } from './adversarial-users.js';
import { SimulatedJob, type SimulatedJobs, type Submission } from './jobs.js';
import type { ScriptedJob } from './script.js';
import type { UserView, UserObserver } from './user-observer.js';

/** What {@link UserModel} depends on. */
export interface UserDeps {
  readonly runtime: Runtime;
  /** True time in milliseconds since the start of the day. */
  readonly now: () => number;
  readonly random: RandomStream;
  readonly day: SimulationScenario;
  readonly balancer: Balancer;
  readonly jobs: SimulatedJobs;
  readonly checker: UserObserver;
  /** Called for each job before its submission. */
  readonly arrived: (view: UserView) => void;
  /** The endpoints of the controllers, for requests that bypass the balancer. */
  readonly nodes: readonly Endpoint[];
  /** Jobs to submit, instead of randomly drawn ones and of polls for unknown jobs. */
  readonly script?: readonly ScriptedJob[];
}

/** Names of job shapes in the users' protocol. */
const SHAPES = { array: 'sweep', gang: 'ensemble', service: 'daemon' } as const;
const SUBMIT_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
const POLL_INTERVAL_MS = 5000;
const MIN_RETRY_DELAY_MS = 1000;
const MAX_RETRY_DELAY_MS = 30_000;
/** A submission that is not accepted within this time is given up. */
const RETRY_DEADLINE_MS = 60_000;
const UNKNOWN_JOB_POLL_INTERVAL_MS = 15_000;
const INITIAL_JOBS_WINDOW_MS = 5000;
/** Share of the accepted jobs that are submitted once more. */
const RESUBMIT_SHARE = 0.03;
/** Share of the ended jobs that are polled and submitted again. */
const ASK_AFTER_END_SHARE = 0.05;
/** Largest factor between the estimated and the actual run time of a job. */
const MAX_ESTIMATE_FACTOR = 20;

/**
 * Simulated users of the job API: they submit jobs and pipelines, retry, poll, cancel, repeat requests, and ask about
 * jobs that don't exist.
 */
export class UserModel {
  /** The arrival rate of a job class is multiplied by this. */
  private readonly arrivalFactors = new Map<string, number>();
  private readonly usedRefs = new Set<string>();
  /** Accepted jobs, in the order of their acceptance. */
  readonly accepted: UserView[] = [];
  private stopped = false;
  /** Users that provoke races and errors. */
  readonly close: AdversarialUsers;

  constructor(private readonly deps: UserDeps) {
    const { runtime, random, nodes, checker, day } = deps;
    const adversarialRandom = random.fork('close');
    this.close = new AdversarialUsers({
      ...{ runtime, nodes, checker, random: adversarialRandom, accepted: this.accepted },
      drawSubmission: () => this.drawJob(adversarialRandom.pickOne(day.classes)).spec,
      resubmit: (view) => void this.withSession((session) => this.submitOnce(session, view)),
      cancel: (view) => void this.withSession((session) => this.cancel(session, view)),
    });
  }

  /** Opens a session for some requests and closes it afterwards. */
  private async withSession(work: (session: UserSession) => Promise<unknown>): Promise<void> {
    const session = this.deps.balancer.openSession();
    await work(session);
    session.close();
  }

  /** Sets the factor by which the arrival rate of a job class is multiplied. */
  setArrivalFactor(jobClass: string, times: number): void {
    this.arrivalFactors.set(jobClass, times);
  }

  /** Submits the initial jobs and starts the arrivals, or schedules the scripted jobs. */
  start(): void {
    const { runtime, day, random, script } = this.deps;
    if (script) {
      for (const scriptedJob of script)
        runtime.after(scriptedJob.atS * 1000, () => void this.simulateScriptedJob(scriptedJob));
      return;
    }
    for (const jobClass of day.classes) {
      for (let i = 0; i < jobClass.initial; i++)
        runtime.after(random.uniform(0, INITIAL_JOBS_WINDOW_MS), () => void this.simulateJob(jobClass));
    }
    for (const pipeline of day.pipelines) {
      for (let i = 0; i < pipeline.initial; i++)
        runtime.after(
          pipeline.start_s * 1000 + random.uniform(0, INITIAL_JOBS_WINDOW_MS),
          () => void this.simulatePipeline(pipeline),
        );
    }
    this.close.start();
    runtime.every(1000, () => this.scheduleArrivals());
    runtime.every(UNKNOWN_JOB_POLL_INTERVAL_MS, () => void this.pollUnknownJob());
  }

  /** Ends arrivals, polls and cancellations. */
  stop(): void {
    this.stopped = true;
    this.close.stop();
  }

  /** Draws the arrivals of the next second; there are none in the quiet time at the end of the day. */
  private scheduleArrivals(): void {
    const { runtime, day, random, now } = this.deps;
    if (this.stopped || now() > (day.duration_s - day.quiet_end_s) * 1000) return;
    for (const jobClass of day.classes) {
      const mean = (jobClass.per_minute / 60) * (this.arrivalFactors.get(jobClass.name) ?? 1);
      const arrivals = random.poisson(mean);
      for (let i = 0; i < arrivals; i++) runtime.after(random.uniform(0, 1000), () => void this.simulateJob(jobClass));
    }
    for (const pipeline of day.pipelines) {
      if (pipeline.per_minute === 0 || now() < pipeline.start_s * 1000) continue;
      const arrivals = random.poisson(pipeline.per_minute / 60);
      for (let i = 0; i < arrivals; i++)
        runtime.after(random.uniform(0, 1000), () => void this.simulatePipeline(pipeline));
    }
  }

  /** Returns an unused job id. */
  private newRef(): string {
    for (;;) {
      const candidate = `j-${String(this.deps.random.integerBelow(1_000_000)).padStart(6, '0')}`;
      if (this.usedRefs.has(candidate)) continue;
      this.usedRefs.add(candidate);
      return candidate;
    }
  }

  /** Draws a job of a class. */
  private drawJob(jobClass: JobClass | undefined, overrides: Partial<Submission> = {}): SimulatedJob {
    if (!jobClass) throw new Error('the day defines no job classes');
    const { random, day } = this.deps;
    const ref = this.newRef();
    const jobRandom = random.fork(ref);
    const pieces =
      'sizes' in jobClass.tasks
        ? (jobClass.tasks.sizes[jobRandom.weightedIndex(jobClass.tasks.weights)] ?? 1)
        : Math.max(1, Math.round(jobRandom.logNormal(jobClass.tasks)));
    const runS = jobRandom.logNormal(jobClass.run_s);
    const estimateFactor = jobRandom.logNormal({ median: 1, p95: 1 + jobClass.estimate_off, max: MAX_ESTIMATE_FACTOR });
    const expectedS =
      jobClass.shape === 'service' ? 0 : runS * (jobRandom.chance(0.5) ? estimateFactor : 1 / estimateFactor);
    const image = jobRandom.integerBelow(jobClass.images.count);
    const spec: Submission = {
      ref,
      jobclass: jobClass.name,
      owner: jobClass.team === ANY_TEAM ? (jobRandom.fork('team').pickOne(day.teams)?.name ?? '') : jobClass.team,
      shape: SHAPES[jobClass.shape],
      urgency: jobClass.priority,
      pieces,
      vcpus: jobClass.cpus,
      accelerators: jobClass.gpus,
      ram_gb: jobClass.memory_gb,
      bundle: `${jobClass.name}-${image}`,
      // The size is drawn by image name, so that all jobs with the same image state the same size.
      pull_gb:
        Math.round(
          new RandomStream(this.deps.day.seed, `${jobClass.name}-${image}`).logNormal(jobClass.images.gb) * 100,
        ) / 100,
      hulls: jobClass.types ?? null,
      berth: jobClass.zone ?? null,
      same_place: jobClass.one_zone,
      scatter: jobClass.spread_zones,
      flotsam: jobClass.spot,
      expected_s: Math.round(expectedS * 10) / 10,
      mark_every_s: jobClass.checkpoint_s,
      mark_cost_s: jobClass.save_s,
      due_s: jobClass.deadline_factor === undefined ? null : Math.round(expectedS * jobClass.deadline_factor + 30),
      ...overrides,
    };
    const runTimes = new Map<number, number>();
    const runTimeOf = (index: number): number => {
      let runTime = runTimes.get(index);
      if (runTime === undefined)
        runTimes.set(index, (runTime = runS * jobRandom.fork(String(index)).uniform(0.85, 1.2)));
      return runTime;
    };
    return new SimulatedJob(
      spec,
      jobClass.shape === 'service' ? () => runS : runTimeOf,
      jobRandom.chance(jobClass.mistaken_share),
    );
  }

  /** Simulates the user of one job, from its submission to the last poll. */
  private async simulateJob(jobClass: JobClass): Promise<void> {
    const { runtime, random } = this.deps;
    const job = this.drawJob(jobClass);
    const userRandom = random.fork(`${job.spec.ref} user`);
    const { view, session } = this.prepareSubmission(job);
    try {
      if (!(await this.submit(session, view))) return;
      if (userRandom.chance(RESUBMIT_SHARE))
        runtime.after(userRandom.uniform(500, 20_000), () => void this.submitOnce(session, view));
      if (jobClass.shape === 'service') runtime.after(job.runS(0) * 1000, () => void this.cancel(session, view));
      else if (job.mistaken || userRandom.chance(jobClass.cancel_share))
        runtime.after(userRandom.uniform(1000, jobClass.cancel_within_s * 1000), () => void this.cancel(session, view));
      await this.pollUntilEnded(session, view, userRandom);
      if (!userRandom.chance(ASK_AFTER_END_SHARE)) return;
      await runtime.sleep(userRandom.uniform(5000, 60_000));
      await this.poll(session, view);
      await this.submitOnce(session, view);
    } finally {
      session.close();
    }
  }

  /**
   * Simulates the user of one pipeline: each job is submitted as soon as those that it depends on are accepted, the last
   * stage of some pipelines only when all other jobs have ended. After a job that is not accepted no further ones are
   * submitted.
   */
  private async simulatePipeline(pipeline: PipelineTemplate): Promise<void> {
    const { day, jobs } = this.deps;
    const pipelineRandom = this.deps.random.fork(`pipeline ${this.newRef()}`);
    const lastStageWaits = pipelineRandom.chance(pipeline.late);
    const earlierRef = pipelineRandom.chance(pipeline.on_earlier)
      ? this.pickUnfinishedBatchJob(pipelineRandom)
      : undefined;
    const viewsByStage: UserView[][] = [];
    const submissions: { readonly view: UserView; readonly session: UserSession }[] = [];
    let estimateS = 0;
    for (const [stageIndex, stage] of pipeline.stages.entries()) {
      const jobClass = day.classes.find(({ name }) => name === stage.class);
      if (!jobClass) return;
      const isLastStage = stageIndex === pipeline.stages.length - 1;
      const awaits = stage.needs.flatMap((need) => (viewsByStage[need] ?? []).map((view) => view.job.spec.ref));
      if (stageIndex === 0 && earlierRef !== undefined) awaits.push(earlierRef);
      if (isLastStage && lastStageWaits) await this.untilAllEnded(submissions.map(({ view }) => view));
      if (this.stopped) return;
      const views: UserView[] = [];
      let longestS = 0;
      for (let i = stage.jobs[0] + pipelineRandom.integerBelow(stage.jobs[1] - stage.jobs[0] + 1); i > 0; i--) {
        const job = this.drawJob(jobClass, { awaits, due_s: null });
        longestS = Math.max(longestS, job.spec.expected_s);
        const { runS, mistaken, spec } = job;
        const due_s = isLastStage
          ? Math.round((estimateS + longestS) * pipeline.deadline_factor + pipeline.deadline_plus_s)
          : null;
        const submission = this.prepareSubmission(new SimulatedJob({ ...spec, due_s }, runS, mistaken));
        submissions.push(submission);
        if (!(await this.submit(submission.session, submission.view))) return;
        views.push(submission.view);
        void this.pollUntilEnded(submission.session, submission.view, pipelineRandom.fork(spec.ref)).then(() =>
          submission.session.close(),
        );
      }
      estimateS += longestS;
      viewsByStage.push(views);
    }
    if (!pipelineRandom.chance(pipeline.cancelled)) return;
    await this.deps.runtime.sleep(pipelineRandom.uniform(0, 40_000));
    const chosen = pipelineRandom.pickOne(submissions);
    if (chosen && jobs.get(chosen.view.job.spec.ref)?.complete !== true) {
      const session = this.deps.balancer.openSession();
      await this.cancel(session, chosen.view);
      session.close();
    }
  }

  /** Returns the id of one of the last accepted jobs that can still complete; services and faulty jobs can't. */
  private pickUnfinishedBatchJob(pipelineRandom: RandomStream): string | undefined {
    const unfinished = this.accepted.filter(
      ({ job, toldDone, toldCancelled }) => job.spec.shape !== 'daemon' && !job.mistaken && !toldDone && !toldCancelled,
    );
    return pipelineRandom.pickOne(unfinished.slice(-20))?.job.spec.ref;
  }

  /** Waits until the users know the end of all these jobs. */
  private async untilAllEnded(views: readonly UserView[]): Promise<void> {
    while (!this.stopped && !views.every((view) => view.toldDone || view.toldCancelled))
      await this.deps.runtime.sleep(1000);
  }

  /** Simulates the user of one scripted job: no request is repeated, and the job is cancelled when the script says so. */
  private async simulateScriptedJob({ job, cancelAtS }: ScriptedJob): Promise<void> {
    const { runtime, random, now } = this.deps;
    const { view, session } = this.prepareSubmission(job);
    try {
      if (!(await this.submit(session, view))) return;
      if (cancelAtS !== null)
        runtime.after(Math.max(0, cancelAtS * 1000 - now()), () => void this.cancel(session, view));
      await this.pollUntilEnded(session, view, random.fork(`${job.spec.ref} user`));
    } finally {
      session.close();
    }
  }

  /** Registers a job with the simulation and opens its user's session; nothing is sent yet. */
  private prepareSubmission(job: SimulatedJob): { readonly view: UserView; readonly session: UserSession } {
    const { checker, jobs, balancer, now } = this.deps;
    jobs.add(job);
    checker.jobSubmitted(job);
    const view: UserView = {
      ...{ job, submittedAt: now(), acceptedAt: null, refused: false },
      ...{ cancelAskedAt: null, toldDone: false, toldCancelled: false },
    };
    this.deps.arrived(view);
    return { view, session: balancer.openSession() };
  }

  /** Submits until the job is accepted, refused for good (400, 422), or given up. Returns whether it was accepted. */
  private async submit(session: UserSession, view: UserView): Promise<boolean> {
    for (;;) {
      const answer = await this.submitOnce(session, view);
      if (view.acceptedAt !== null) return true;
      const status = statusOf(answer);
      if (status === 400 || status === 422) {
        view.refused = true;
        return false;
      }
      if (!(await this.waitToRetry(answer, view.submittedAt))) {
        view.refused = true;
        return false;
      }
    }
  }

  /** Waits as long as the response asks for, within bounds; returns false if the deadline passes before. */
  private async waitToRetry(answer: HttpResult, startedAt: number): Promise<boolean> {
    const retryAfterS = answer.kind === 'answered' ? answer.retryAfterS : null;
    const ms =
      Math.min(MAX_RETRY_DELAY_MS, Math.max(MIN_RETRY_DELAY_MS, (retryAfterS ?? 0) * 1000)) +
      this.deps.random.uniform(0, 200);
    if (this.deps.now() + ms - startedAt > RETRY_DEADLINE_MS) return false;
    await this.deps.runtime.sleep(ms);
    return true;
  }

  /** Sends one submission and records the answer. */
  private async submitOnce(session: UserSession, view: UserView): Promise<HttpResult> {
    const { spec } = view.job;
    const call = { method: 'POST', path: '/v1/jobs', body: spec, timeoutMs: SUBMIT_TIMEOUT_MS } as const;
    const known = this.deps.checker.reportedSoFar(spec.ref);
    const answer = await session.call(call);
    if (answer.kind === 'answered') {
      this.deps.checker.submitAnswered(spec.ref, answer.status, phaseOf(answer), known);
      if ((answer.status === 200 || answer.status === 201) && view.acceptedAt === null) {
        view.acceptedAt = this.deps.now();
        this.accepted.push(view);
        this.close.onJobReported(view, 'accepted');
      }
    }
    return answer;
  }

  /** Polls until the user knows that the job is done or cancelled, or the users are stopped. */
  private async pollUntilEnded(session: UserSession, view: UserView, userRandom: RandomStream): Promise<void> {
    while (!view.toldDone && !view.toldCancelled && !this.stopped) {
      await this.deps.runtime.sleep(POLL_INTERVAL_MS * userRandom.uniform(0.8, 1.2));
      await this.poll(session, view);
    }
  }

  private async poll(session: UserSession, view: UserView): Promise<void> {
    const { ref } = view.job.spec;
    const known = this.deps.checker.reportedSoFar(ref);
    const answer = await session.call({ method: 'GET', path: `/v1/jobs/${ref}`, timeoutMs: POLL_TIMEOUT_MS });
    const phase = phaseOf(answer);
    this.deps.checker.pollAnswered(ref, statusOf(answer), phase, known);
    if (phase === 'done' || phase === 'withdrawn') this.recordEnd(view, phase);
  }

  /** Records that a node has reported to the user how the job ended. */
  private recordEnd(view: UserView, phase: 'done' | 'withdrawn'): void {
    const alreadyReported = view.toldDone || view.toldCancelled;
    if (phase === 'done') view.toldDone = true;
    else view.toldCancelled = true;
    if (!alreadyReported) this.close.onJobReported(view, 'over');
  }

  /** Cancels a job, and retries until a node answers that it has ended or the users are stopped. */
  private async cancel(session: UserSession, view: UserView): Promise<void> {
    const { now, checker } = this.deps;
    const { ref } = view.job.spec;
    if (view.toldDone || view.toldCancelled || this.stopped) return;
    checker.cancelAsked(ref);
    const askedAt = now();
    view.cancelAskedAt = askedAt;
    for (;;) {
      const path = `/v1/jobs/${ref}/cancel`;
      const known = checker.reportedSoFar(ref);
      const answer = await session.call({ method: 'POST', path, body: {}, timeoutMs: SUBMIT_TIMEOUT_MS });
      if (answer.kind === 'answered') checker.cancelAnswered(ref, answer.status, phaseOf(answer), known);
      if (answer.kind === 'answered' && answer.status === 200) {
        this.recordEnd(view, phaseOf(answer) === 'withdrawn' ? 'withdrawn' : 'done');
        return;
      }
      // Users never give up a cancellation, because a job that may keep running costs money.
      if (!(await this.waitToRetry(answer, now())) || this.stopped) return;
    }
  }

  /** Asks about a job that doesn't exist. */
  private async pollUnknownJob(): Promise<void> {
    if (this.stopped) return;
    const ref = `j-x${String(this.deps.random.integerBelow(1_000_000)).padStart(6, '0')}`;
    const session = this.deps.balancer.openSession();
    const known = this.deps.checker.reportedSoFar(ref);
    const answer = await session.call({ method: 'GET', path: `/v1/jobs/${ref}`, timeoutMs: POLL_TIMEOUT_MS });
    this.deps.checker.pollAnswered(ref, statusOf(answer), phaseOf(answer), known);
    session.close();
  }
}
