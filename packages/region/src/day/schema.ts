import * as v from 'valibot';

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const count = v.pipe(v.number(), v.integer(), v.minValue(0));
const some = v.pipe(v.number(), v.integer(), v.minValue(1));
const share = v.pipe(v.number(), v.minValue(0), v.maxValue(1));
const name = v.pipe(
  v.string(),
  v.regex(/^[A-Za-z0-9][A-Za-z0-9_-]{0,39}$/, 'must be a name of letters, digits, - and _'),
);
const maybe = <T extends v.GenericSchema>(schema: T, fallback: v.InferInput<T>) => v.optional(schema, fallback);

const spread = v.pipe(
  v.strictObject({ median: positive, p95: positive, max: positive }),
  v.check((s) => s.median <= s.p95 && s.p95 <= s.max, 'median, p95 and max must not fall'),
);

const sizes = v.pipe(
  v.strictObject({ sizes: v.pipe(v.array(some), v.minLength(1)), weights: v.array(positive) }),
  v.check((s) => s.sizes.length === s.weights.length, 'as many weights as sizes'),
);

const aim = v.variant('kind', [
  v.strictObject({ kind: v.literal('wait'), within_s: positive, share }),
  v.strictObject({ kind: v.literal('finished'), within_s: positive, share }),
  v.strictObject({ kind: v.literal('deadline'), share }),
  v.strictObject({ kind: v.literal('up'), within_s: positive, share }),
]);

/** Stands for any of the day's teams. */
export const ANY_TEAM = '*';

const jobClass = v.strictObject({
  name,
  shape: v.picklist(['array', 'gang', 'service']),
  /** A team's name, or `*`: each job belongs to one of the day's teams, drawn evenly. */
  team: v.union([name, v.literal(ANY_TEAM)], 'must be the name of a team or *'),
  priority: v.picklist(['production', 'urgent', 'standard', 'low']),
  tasks: v.union([spread, sizes], 'must be { median, p95, max } or { sizes, weights }'),
  cpus: positive,
  gpus: maybe(amount, 0),
  memory_gb: positive,
  run_s: spread,
  /** How far owners' estimates are off, as the 95th percentile of a factor less one. */
  estimate_off: maybe(amount, 0.3),
  images: maybe(v.strictObject({ count: some, gb: spread }), { count: 5, gb: { median: 1, p95: 2, max: 4 } }),
  types: v.optional(v.pipe(v.array(name), v.minLength(1))),
  zone: v.optional(name),
  spot: maybe(v.boolean(), false),
  one_zone: maybe(v.boolean(), false),
  spread_zones: maybe(v.boolean(), false),
  checkpoint_s: maybe(amount, 0),
  save_s: maybe(amount, 0),
  /** Deadline in multiples of the owner's estimate of a task, plus half a minute. */
  deadline_factor: v.optional(positive),
  initial: maybe(count, 0),
  per_minute: maybe(amount, 0),
  cancel_share: maybe(share, 0),
  /** Within what time of their acceptance those are cancelled. */
  cancel_within_s: maybe(positive, 60),
  mistaken_share: maybe(share, 0),
  aims: maybe(v.array(aim), []),
});

/** `this`, or the name of a controller frozen earlier. */
const release = v.pipe(
  v.string(),
  v.regex(/^[a-z0-9][a-z0-9-]{0,40}$/, 'must be "this" or the name of a frozen release'),
);
const at = { at_s: amount };
const lasting = { ...at, for_s: positive };
const machines = { share: v.optional(share), count: v.optional(some) };
const controller = v.union([count, v.picklist(['leader', 'all'])], 'must be a number from 0, "leader" or "all"');
const manner = v.optional(v.picklist(['hold', 'reset']), 'hold');

/** Troubles at set times. Whatever lasts says for how long. */
const trouble = v.variant('kind', [
  v.strictObject({ kind: v.literal('burst'), ...lasting, class: name, times: positive }),
  v.strictObject({ kind: v.literal('machines_die'), ...at, ...machines, zone: v.optional(name) }),
  v.strictObject({ kind: v.literal('machines_hang'), ...lasting, ...machines, zone: v.optional(name) }),
  v.strictObject({ kind: v.literal('machines_cut'), ...lasting, ...machines, zone: v.optional(name), manner }),
  v.strictObject({ kind: v.literal('machines_fail_tasks'), ...lasting, ...machines, zone: v.optional(name) }),
  v.strictObject({
    kind: v.literal('machines_slow'),
    ...lasting,
    ...machines,
    zone: v.optional(name),
    times: v.pipe(v.number(), v.gtValue(1)),
  }),
  v.strictObject({ kind: v.literal('spot_wave'), ...at, share, notice: maybe(v.boolean(), true) }),
  v.strictObject({ kind: v.literal('controller_crash'), ...at, controller, down_s: v.optional(positive) }),
  v.strictObject({ kind: v.literal('controller_pause'), ...lasting, controller }),
  v.strictObject({
    kind: v.literal('controller_cut'),
    ...lasting,
    controller,
    from: maybe(v.picklist(['all', 'state', 'workers', 'controllers', 'users', 'state and controllers']), 'all'),
    manner,
  }),
  v.strictObject({ kind: v.literal('controller_refused'), ...lasting, controller }),
  v.strictObject({ kind: v.literal('rolling_restart'), ...at, gap_s: positive }),
  /** Controllers are replaced one after the other, in this order, by another release. */
  v.strictObject({
    kind: v.literal('rollout'),
    ...at,
    gap_s: positive,
    to: maybe(release, 'this'),
    order: v.optional(v.pipe(v.array(count), v.minLength(1))),
    down_s: v.optional(positive),
    /** Each is asked to leave before it is ended. */
    leave: maybe(v.boolean(), false),
  }),
  v.strictObject({ kind: v.literal('peers_refuse'), ...lasting }),
  /** The lower limits that were announced are in force from here on. */
  v.strictObject({ kind: v.literal('state_limits'), ...at }),
  /** Of some machines, reports arrive, and neither answers nor commands reach them. */
  v.strictObject({ kind: v.literal('machines_deaf'), ...lasting, ...machines, zone: v.optional(name) }),
  /** Of these machines no connection reaches a controller; commands reach them, and are answered. */
  v.strictObject({ kind: v.literal('machines_mute'), ...lasting, ...machines, zone: v.optional(name) }),
  /** Commands to these machines, or their answers, are held up for seconds. */
  v.strictObject({ kind: v.literal('commands_held'), ...lasting, ...machines, zone: v.optional(name) }),
  /** Copies of reports come so much later, to any controller; `for_next`: to all, as soon as another leads or holds a shard. */
  v.strictObject({
    kind: v.literal('reports_again'),
    ...lasting,
    share,
    late_s: v.optional(positive),
    for_next: v.optional(v.boolean()),
  }),
  /** A machine's worker ends with all its tasks, and is back after so long. */
  v.strictObject({ kind: v.literal('machines_restart'), ...at, ...machines, zone: v.optional(name), down_s: positive }),
  v.strictObject({ kind: v.literal('state_outage'), ...lasting }),
  v.strictObject({ kind: v.literal('state_slow'), ...lasting, times: v.pipe(v.number(), v.gtValue(1)) }),
  /** A share of transactions gets no answer and is carried out 2 to 12 s later; `at_once`: now. */
  v.strictObject({ kind: v.literal('late_writes'), ...lasting, share, at_once: v.optional(v.boolean()) }),
  /** A share of reads and transactions is carried out at once and answered up to 1.4 s later. */
  v.strictObject({ kind: v.literal('answers_held'), ...lasting, share }),
  v.strictObject({ kind: v.literal('watch_forgets'), ...at }),
  /** This controller's watches tell nothing, while everything else that it asks of the state service is answered. */
  v.strictObject({ kind: v.literal('watch_held'), ...lasting, controller }),
  v.strictObject({ kind: v.literal('cloud_outage'), ...lasting }),
  v.strictObject({ kind: v.literal('capacity_drop'), ...lasting, share }),
  v.strictObject({ kind: v.literal('boots_late'), ...lasting, times: v.pipe(v.number(), v.gtValue(1)) }),
  /** New machines are up within two seconds. */
  v.strictObject({ kind: v.literal('boots_at_once'), ...lasting }),
  /** So many jobs that run and have long to go are cancelled within a fifth of a second; up to eight of their machines hang. */
  v.strictObject({ kind: v.literal('cancel_now'), ...at, count: some, hang_s: v.optional(positive) }),
  /** A share of the jobs that end is cancelled at that moment. */
  v.strictObject({ kind: v.literal('cancel_at_end'), ...lasting, share }),
  /** Users repeat submissions, cancel jobs that are done, and send jobs that can't run or lack a field. */
  v.strictObject({ kind: v.literal('odd_requests'), ...lasting }),
  /** Users ask every node within milliseconds after a job was accepted, ended or cancelled. */
  v.strictObject({ kind: v.literal('close_looks'), ...lasting }),
  v.strictObject({ kind: v.literal('boots_never'), ...lasting, share }),
  v.strictObject({ kind: v.literal('zone_cut'), ...lasting, zone: name, manner }),
]);

const stage = v.strictObject({
  class: name,
  /** How many jobs of it, from and to. */
  jobs: maybe(
    v.pipe(
      v.tuple([some, some]),
      v.check(([from, to]) => from <= to, 'from and to must not fall'),
    ),
    [1, 1],
  ),
  /** Stages whose jobs all have to be done before. */
  needs: maybe(v.array(count), []),
});

/** Jobs that await each other, submitted one after the other; deadline and priority stand on the last alone. */
const pipeline = v.strictObject({
  name,
  stages: v.pipe(v.array(stage), v.minLength(1)),
  per_minute: maybe(amount, 0),
  initial: maybe(count, 0),
  start_s: maybe(amount, 0),
  /** Of the sum of the stages' estimates, and beside it. */
  deadline_factor: maybe(amount, 1),
  deadline_plus_s: maybe(amount, 60),
  /** The first awaits a job of another class, too. */
  on_earlier: maybe(share, 0),
  /** The last is submitted only when the others are over. */
  late: maybe(share, 0),
  /** One of its jobs is cancelled. */
  cancelled: maybe(share, 0),
});

/** A day: the fleet, the classes and their arrivals, troubles at set times, seed. */
export const daySchema = v.strictObject({
  name,
  seed: v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(2 ** 31)),
  duration_s: v.pipe(positive, v.maxValue(100_000)),
  /** No job arrives in the last seconds, so that what was accepted can end. */
  quiet_end_s: maybe(amount, 0),
  zones: v.pipe(v.array(name), v.minLength(1)),
  controllers: v.strictObject({
    count: v.pipe(some, v.maxValue(9)),
    restart_s: maybe(positive, 4),
    /** Which release each controller begins as, by its number; those not named are `this`. */
    releases: maybe(v.array(release), []),
    /** Features that operators have allowed from the day's beginning. */
    allow: maybe(v.array(release), []),
    max_connections: maybe(some, 2000),
    skew_ms: maybe(amount, 50),
    drift: maybe(v.pipe(v.number(), v.minValue(0), v.maxValue(0.0005)), 0.0005),
  }),
  network: maybe(
    v.strictObject({
      same_zone_ms: maybe(positive, 0.5),
      cross_zone_ms: maybe(positive, 2),
      jitter: maybe(v.pipe(v.number(), v.minValue(0), v.maxValue(0.9)), 0.25),
    }),
    {},
  ),
  state: maybe(
    v.strictObject({
      rps: maybe(positive, 200),
      write_rps: maybe(positive, 40),
      value_kb: maybe(positive, 32),
      txn_ops: maybe(some, 16),
      latency_ms: maybe(positive, 5),
      /** What controllers are told that it will take from some moment on; the trouble `state_limits` is that moment. */
      next: v.optional(v.strictObject({ write_rps: positive, value_kb: positive, txn_ops: some })),
    }),
    {},
  ),
  cloud: maybe(
    v.strictObject({
      rps: maybe(positive, 6),
      latency_ms: maybe(positive, 150),
      list_lag_s: maybe(amount, 5),
      spot_losses_per_hour: maybe(amount, 0.5),
      spot_notice_s: maybe(positive, 20),
      spot_silent_share: maybe(share, 0.2),
    }),
    {},
  ),
  workers: maybe(
    v.strictObject({
      report_s: maybe(positive, 3),
      lease_s: maybe(positive, 18),
      gang_wait_s: maybe(positive, 45),
      gang_peer_s: maybe(positive, 5),
      cancel_s: maybe(positive, 45),
    }),
    {},
  ),
  teams: v.pipe(
    v.array(
      v.strictObject({
        name,
        cpus: maybe(amount, 0),
        cpus_max: maybe(amount, 0),
        gpus: maybe(amount, 0),
        gpus_max: maybe(amount, 0),
      }),
    ),
    v.minLength(1),
  ),
  machine_types: v.pipe(
    v.array(
      v.strictObject({
        name,
        cpus: positive,
        gpus: maybe(amount, 0),
        memory_gb: positive,
        price: positive,
        spot_price: positive,
        cache_gb: maybe(positive, 40),
        fetch_gb_per_s: maybe(positive, 0.5),
        boot_s: positive,
        boot_fail: maybe(share, 0.01),
      }),
    ),
    v.minLength(1),
  ),
  capacity: v.pipe(
    v.array(v.strictObject({ type: name, zone: name, ordinary: maybe(count, 0), spot: maybe(count, 0) })),
    v.minLength(1),
  ),
  machines: maybe(
    v.array(v.strictObject({ type: name, zone: name, spot: maybe(v.boolean(), false), count: some })),
    [],
  ),
  classes: v.pipe(v.array(jobClass), v.minLength(1)),
  pipelines: maybe(v.array(pipeline), []),
  troubles: maybe(v.array(trouble), []),
});

export type Day = v.InferOutput<typeof daySchema>;
export type DayClass = Day['classes'][number];
export type DayPipeline = Day['pipelines'][number];
export type Trouble = Day['troubles'][number];
export type Aim = DayClass['aims'][number];
