/** Schema of a simulation scenario. Units are in the field names: `_s` seconds, `_ms` milliseconds, `_gb` gigabytes. */
import * as v from 'valibot';

const nonNegative = v.pipe(v.number(), v.finite(), v.minValue(0));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const nonNegativeInteger = v.pipe(v.number(), v.integer(), v.minValue(0));
const positiveInteger = v.pipe(v.number(), v.integer(), v.minValue(1));
const share = v.pipe(v.number(), v.minValue(0), v.maxValue(1));
const name = v.pipe(
  v.string(),
  v.regex(/^[A-Za-z0-9][A-Za-z0-9_-]{0,39}$/, 'must be a name of letters, digits, - and _'),
);
const withDefault = <T extends v.GenericSchema>(schema: T, fallback: v.InferInput<T>) => v.optional(schema, fallback);

/** Parameters of a log-normal distribution that is cut off at `max`. */
const logNormal = v.pipe(
  v.strictObject({ median: positive, p95: positive, max: positive }),
  v.check((s) => s.median <= s.p95 && s.p95 <= s.max, 'median, p95 and max must not decrease'),
);

/** A discrete distribution. */
const sizes = v.pipe(
  v.strictObject({ sizes: v.pipe(v.array(positiveInteger), v.minLength(1)), weights: v.array(positive) }),
  v.check((s) => s.sizes.length === s.weights.length, 'needs one weight for each size'),
);

/** A service-level objective: `share` is the fraction of jobs that must meet it. */
const objective = v.variant('kind', [
  v.strictObject({ kind: v.literal('wait'), within_s: positive, share }),
  v.strictObject({ kind: v.literal('finished'), within_s: positive, share }),
  v.strictObject({ kind: v.literal('deadline'), share }),
  v.strictObject({ kind: v.literal('up'), within_s: positive, share }),
]);

/** Team name of a job class whose jobs belong to any of the scenario's teams. */
export const ANY_TEAM = '*';

const jobClass = v.strictObject({
  name,
  shape: v.picklist(['array', 'gang', 'service']),
  /** A team's name, or `*`: each job belongs to one of the scenario's teams, all with the same probability. */
  team: v.union([name, v.literal(ANY_TEAM)], 'must be the name of a team or *'),
  priority: v.picklist(['production', 'urgent', 'standard', 'low']),
  tasks: v.union([logNormal, sizes], 'must be { median, p95, max } or { sizes, weights }'),
  cpus: positive,
  gpus: withDefault(nonNegative, 0),
  memory_gb: positive,
  run_s: logNormal,
  /** Error of the owners' run time estimates: 95th percentile of the error factor, minus one. */
  estimate_off: withDefault(nonNegative, 0.3),
  images: withDefault(v.strictObject({ count: positiveInteger, gb: logNormal }), {
    count: 5,
    gb: { median: 1, p95: 2, max: 4 },
  }),
  types: v.optional(v.pipe(v.array(name), v.minLength(1))),
  zone: v.optional(name),
  spot: withDefault(v.boolean(), false),
  one_zone: withDefault(v.boolean(), false),
  spread_zones: withDefault(v.boolean(), false),
  checkpoint_s: withDefault(nonNegative, 0),
  save_s: withDefault(nonNegative, 0),
  /** The deadline is this multiple of the owner's estimate for a task, plus 30 s. */
  deadline_factor: v.optional(positive),
  initial: withDefault(nonNegativeInteger, 0),
  per_minute: withDefault(nonNegative, 0),
  cancel_share: withDefault(share, 0),
  /** Cancelled jobs are cancelled within this time after their acceptance. */
  cancel_within_s: withDefault(positive, 60),
  mistaken_share: withDefault(share, 0),
  aims: withDefault(v.array(objective), []),
});

/** `this` for the present sources, or the name of a frozen release. */
const release = v.pipe(
  v.string(),
  v.regex(/^[a-z0-9][a-z0-9-]{0,40}$/, 'must be "this" or the name of a frozen release'),
);
const startTime = { at_s: nonNegative };
const timeWindow = { ...startTime, for_s: positive };
const machineSelector = { share: v.optional(share), count: v.optional(positiveInteger) };
const controller = v.union(
  [nonNegativeInteger, v.picklist(['leader', 'all'])],
  'must be a number from 0, "leader" or "all"',
);
/** Shortest and longest delay, in seconds. */
const delayRange = v.pipe(
  v.tuple([nonNegative, positive]),
  v.check(([from, to]) => from <= to, 'the first number must not exceed the second'),
);
const manner = v.optional(v.picklist(['hold', 'reset']), 'hold');

/** A fault that is injected at a set time; `for_s` is its duration. */
const fault = v.variant('kind', [
  v.strictObject({ kind: v.literal('burst'), ...timeWindow, class: name, times: positive }),
  v.strictObject({ kind: v.literal('machines_die'), ...startTime, ...machineSelector, zone: v.optional(name) }),
  v.strictObject({ kind: v.literal('machines_hang'), ...timeWindow, ...machineSelector, zone: v.optional(name) }),
  v.strictObject({
    kind: v.literal('machines_cut'),
    ...timeWindow,
    ...machineSelector,
    zone: v.optional(name),
    manner,
  }),
  v.strictObject({ kind: v.literal('machines_fail_tasks'), ...timeWindow, ...machineSelector, zone: v.optional(name) }),
  v.strictObject({
    kind: v.literal('machines_slow'),
    ...timeWindow,
    ...machineSelector,
    zone: v.optional(name),
    times: v.pipe(v.number(), v.gtValue(1)),
  }),
  v.strictObject({ kind: v.literal('spot_wave'), ...startTime, share, notice: withDefault(v.boolean(), true) }),
  v.strictObject({ kind: v.literal('controller_crash'), ...startTime, controller, down_s: v.optional(positive) }),
  v.strictObject({ kind: v.literal('controller_pause'), ...timeWindow, controller }),
  v.strictObject({
    kind: v.literal('controller_cut'),
    ...timeWindow,
    controller,
    from: withDefault(v.picklist(['all', 'state', 'workers', 'controllers', 'users', 'state and controllers']), 'all'),
    manner,
  }),
  v.strictObject({ kind: v.literal('controller_refused'), ...timeWindow, controller }),
  v.strictObject({ kind: v.literal('rolling_restart'), ...startTime, gap_s: positive }),
  /** Controllers are replaced one after the other, in the given order, by another release. */
  v.strictObject({
    kind: v.literal('rollout'),
    ...startTime,
    gap_s: positive,
    to: withDefault(release, 'this'),
    order: v.optional(v.pipe(v.array(nonNegativeInteger), v.minLength(1))),
    down_s: v.optional(positive),
    /** Each controller is asked to leave the cluster before it is stopped. */
    leave: withDefault(v.boolean(), false),
  }),
  v.strictObject({ kind: v.literal('peers_refuse'), ...timeWindow }),
  /** The announced lower limits of the state service (`state.next`) come into force. */
  v.strictObject({ kind: v.literal('state_limits'), ...startTime }),
  /** Reports of some machines arrive, but neither answers nor commands reach these machines. */
  v.strictObject({ kind: v.literal('machines_deaf'), ...timeWindow, ...machineSelector, zone: v.optional(name) }),
  /** No connection from these machines reaches a controller; commands reach the machines and are answered. */
  v.strictObject({ kind: v.literal('machines_mute'), ...timeWindow, ...machineSelector, zone: v.optional(name) }),
  /** Commands to these machines, or the answers to them, are delayed by seconds. */
  v.strictObject({ kind: v.literal('commands_held'), ...timeWindow, ...machineSelector, zone: v.optional(name) }),
  /**
   * Copies of reports arrive `late_s` later at any controller; with `for_next`, they arrive at all controllers as soon as
   * another one becomes leader or holder of a shard.
   */
  v.strictObject({
    kind: v.literal('reports_again'),
    ...timeWindow,
    share,
    late_s: v.optional(positive),
    for_next: v.optional(v.boolean()),
  }),
  /**
   * Copies of commands that workers have executed and answered arrive there `late_s` later, unless the worker has
   * restarted; with `after_restart` also then. With `for_next` they arrive as soon as another controller becomes leader
   * or holder of a shard.
   */
  v.strictObject({
    kind: v.literal('commands_again'),
    ...timeWindow,
    share,
    late_s: v.optional(delayRange),
    for_next: v.optional(v.boolean()),
    after_restart: v.optional(v.boolean()),
  }),
  /** Copies of transactions and lease calls that succeeded arrive at the state service `late_s` later. */
  v.strictObject({ kind: v.literal('writes_again'), ...timeWindow, share, late_s: v.optional(delayRange) }),
  /** The workers of some machines end with all their tasks and start again after `down_s`. */
  v.strictObject({
    kind: v.literal('machines_restart'),
    ...startTime,
    ...machineSelector,
    zone: v.optional(name),
    down_s: positive,
  }),
  v.strictObject({ kind: v.literal('state_outage'), ...timeWindow }),
  v.strictObject({ kind: v.literal('state_slow'), ...timeWindow, times: v.pipe(v.number(), v.gtValue(1)) }),
  /** A share of transactions gets no answer and is applied 2 to 12 s later, or at once with `at_once`. */
  v.strictObject({ kind: v.literal('late_writes'), ...timeWindow, share, at_once: v.optional(v.boolean()) }),
  /** A share of reads and transactions is applied at once, but answered up to 1.4 s later. */
  v.strictObject({ kind: v.literal('answers_held'), ...timeWindow, share }),
  v.strictObject({ kind: v.literal('watch_forgets'), ...startTime }),
  /** The watches of a controller deliver no events, while the state service answers its other requests. */
  v.strictObject({ kind: v.literal('watch_held'), ...timeWindow, controller }),
  v.strictObject({ kind: v.literal('cloud_outage'), ...timeWindow }),
  v.strictObject({ kind: v.literal('capacity_drop'), ...timeWindow, share }),
  v.strictObject({ kind: v.literal('boots_late'), ...timeWindow, times: v.pipe(v.number(), v.gtValue(1)) }),
  /** New machines boot within two seconds. */
  v.strictObject({ kind: v.literal('boots_at_once'), ...timeWindow }),
  /**
   * `count` running jobs that are far from their end are cancelled within 0.2 s; up to eight of their machines hang for
   * `hang_s`.
   */
  v.strictObject({ kind: v.literal('cancel_now'), ...startTime, count: positiveInteger, hang_s: v.optional(positive) }),
  /** A share of the jobs that end is cancelled at the moment of their end. */
  v.strictObject({ kind: v.literal('cancel_at_end'), ...timeWindow, share }),
  /** Users repeat submissions, cancel finished jobs, and submit jobs that can never run or lack a field. */
  v.strictObject({ kind: v.literal('odd_requests'), ...timeWindow }),
  /** Users poll every node within milliseconds after a job was accepted, ended or cancelled. */
  v.strictObject({ kind: v.literal('close_looks'), ...timeWindow }),
  v.strictObject({ kind: v.literal('boots_never'), ...timeWindow, share }),
  v.strictObject({ kind: v.literal('zone_cut'), ...timeWindow, zone: name, manner }),
]);

const stage = v.strictObject({
  class: name,
  /** Smallest and largest number of jobs in the stage. */
  jobs: withDefault(
    v.pipe(
      v.tuple([positiveInteger, positiveInteger]),
      v.check(([from, to]) => from <= to, 'the first number must not exceed the second'),
    ),
    [1, 1],
  ),
  /** Indexes of earlier stages, all jobs of which must be done first. */
  needs: withDefault(v.array(nonNegativeInteger), []),
});

/** Jobs that depend on each other, submitted one after the other; only the last has a deadline and a priority. */
const pipeline = v.strictObject({
  name,
  stages: v.pipe(v.array(stage), v.minLength(1)),
  per_minute: withDefault(nonNegative, 0),
  initial: withDefault(nonNegativeInteger, 0),
  start_s: withDefault(nonNegative, 0),
  /** The deadline is this multiple of the sum of the stages' estimates, plus `deadline_plus_s`. */
  deadline_factor: withDefault(nonNegative, 1),
  deadline_plus_s: withDefault(nonNegative, 60),
  /** Share of pipelines whose first job also depends on a job of another class. */
  on_earlier: withDefault(share, 0),
  /** Share of pipelines whose last job is submitted only after the others have ended. */
  late: withDefault(share, 0),
  /** Share of pipelines of which one job is cancelled. */
  cancelled: withDefault(share, 0),
});

/** A scenario: the fleet, job classes and their arrivals, faults at set times, and the seed. */
export const simulationScenarioSchema = v.strictObject({
  name,
  seed: v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(2 ** 31)),
  duration_s: v.pipe(positive, v.maxValue(100_000)),
  /** No job arrives in the last `quiet_end_s` seconds, so that accepted jobs can finish. */
  quiet_end_s: withDefault(nonNegative, 0),
  zones: v.pipe(v.array(name), v.minLength(1)),
  controllers: v.strictObject({
    count: v.pipe(positiveInteger, v.maxValue(9)),
    restart_s: withDefault(positive, 4),
    /** Initial release of each controller, by its number; the default is `this`. */
    releases: withDefault(v.array(release), []),
    /** Features that operators have enabled from the start. */
    allow: withDefault(v.array(release), []),
    max_connections: withDefault(positiveInteger, 2000),
    skew_ms: withDefault(nonNegative, 50),
    drift: withDefault(v.pipe(v.number(), v.minValue(0), v.maxValue(0.0005)), 0.0005),
  }),
  network: withDefault(
    v.strictObject({
      same_zone_ms: withDefault(positive, 0.5),
      cross_zone_ms: withDefault(positive, 2),
      jitter: withDefault(v.pipe(v.number(), v.minValue(0), v.maxValue(0.9)), 0.25),
    }),
    {},
  ),
  state: withDefault(
    v.strictObject({
      rps: withDefault(positive, 200),
      write_rps: withDefault(positive, 40),
      value_kb: withDefault(positive, 32),
      txn_ops: withDefault(positiveInteger, 16),
      latency_ms: withDefault(positive, 5),
      /** Lower limits that are announced to the controllers; they come into force with the fault `state_limits`. */
      next: v.optional(v.strictObject({ write_rps: positive, value_kb: positive, txn_ops: positiveInteger })),
    }),
    {},
  ),
  cloud: withDefault(
    v.strictObject({
      rps: withDefault(positive, 6),
      latency_ms: withDefault(positive, 150),
      list_lag_s: withDefault(nonNegative, 5),
      spot_losses_per_hour: withDefault(nonNegative, 0.5),
      spot_notice_s: withDefault(positive, 20),
      spot_silent_share: withDefault(share, 0.2),
    }),
    {},
  ),
  workers: withDefault(
    v.strictObject({
      report_s: withDefault(positive, 3),
      lease_s: withDefault(positive, 18),
      gang_wait_s: withDefault(positive, 45),
      gang_peer_s: withDefault(positive, 5),
      cancel_s: withDefault(positive, 45),
    }),
    {},
  ),
  teams: v.pipe(
    v.array(
      v.strictObject({
        name,
        cpus: withDefault(nonNegative, 0),
        cpus_max: withDefault(nonNegative, 0),
        gpus: withDefault(nonNegative, 0),
        gpus_max: withDefault(nonNegative, 0),
      }),
    ),
    v.minLength(1),
  ),
  machine_types: v.pipe(
    v.array(
      v.strictObject({
        name,
        cpus: positive,
        gpus: withDefault(nonNegative, 0),
        memory_gb: positive,
        price: positive,
        spot_price: positive,
        cache_gb: withDefault(positive, 40),
        fetch_gb_per_s: withDefault(positive, 0.5),
        boot_s: positive,
        boot_fail: withDefault(share, 0.01),
      }),
    ),
    v.minLength(1),
  ),
  capacity: v.pipe(
    v.array(
      v.strictObject({
        type: name,
        zone: name,
        ordinary: withDefault(nonNegativeInteger, 0),
        spot: withDefault(nonNegativeInteger, 0),
      }),
    ),
    v.minLength(1),
  ),
  machines: withDefault(
    v.array(v.strictObject({ type: name, zone: name, spot: withDefault(v.boolean(), false), count: positiveInteger })),
    [],
  ),
  classes: v.pipe(v.array(jobClass), v.minLength(1)),
  pipelines: withDefault(v.array(pipeline), []),
  troubles: withDefault(v.array(fault), []),
});

/** A parsed scenario, with defaults filled in. */
export type SimulationScenario = v.InferOutput<typeof simulationScenarioSchema>;
/** A class of jobs with the same shape, resources and arrival rate. */
export type JobClass = SimulationScenario['classes'][number];
/** A template of pipelines: stages of jobs that depend on each other. */
export type PipelineTemplate = SimulationScenario['pipelines'][number];
/** A fault that is injected at a set time (`troubles` in a scenario file). */
export type Fault = SimulationScenario['troubles'][number];
/** A service-level objective of a job class (`aims` in a scenario file). */
export type Objective = JobClass['aims'][number];
