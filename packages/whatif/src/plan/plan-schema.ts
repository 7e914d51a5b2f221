import * as v from 'valibot';

const nonEmptyText = v.pipe(v.string(), v.nonEmpty());
const nonNegative = v.pipe(v.number(), v.finite(), v.minValue(0));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const count = v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(100_000));
const fraction = v.pipe(v.number(), v.minValue(0), v.maxValue(1));
const MOMENT_ERROR = 'must be seconds since the night began, or a time of day such as "22:30"';
/** Seconds since the night began, or a time of day such as 22:30 or 22:30:15. */
const moment = v.union(
  [nonNegative, v.pipe(v.string(), v.regex(/^\d{1,2}:\d{2}(:\d{2})?$/, MOMENT_ERROR))],
  MOMENT_ERROR,
);
/** Selects jobs by class or id and by submission time, from `from` up to but not including `to`. */
const selector = {
  class: v.optional(nonEmptyText),
  job: v.optional(nonEmptyText),
  from: v.optional(moment),
  to: v.optional(moment),
};
const priority = v.picklist(['low', 'standard', 'urgent', 'production']);
const machineKind = { type: nonEmptyText, zone: nonEmptyText, spot: v.optional(v.boolean(), false) };

/**
 * Schema of a plan file: the changes to apply to a recorded night. Each table makes one kind of change, and the tables
 * are applied in the order below.
 */
export const planSchema = v.strictObject({
  name: v.optional(nonEmptyText, 'plan'),
  /** IANA time zone in which times of day are written and reported, such as Africa/Dar_es_Salaam. */
  time_zone: v.optional(nonEmptyText, 'UTC'),
  /** Removes jobs. */
  drop: v.optional(v.array(v.strictObject(selector)), []),
  /** Moves submissions by `by_s` seconds, or so that the first of them happens at `start`. */
  move: v.optional(
    v.array(
      v.strictObject({ ...selector, by_s: v.optional(v.pipe(v.number(), v.finite())), start: v.optional(moment) }),
    ),
    [],
  ),
  /** Adds `count` jobs that copy an existing one (a job id or a class), one every `every_s` seconds from `at` on. */
  add: v.optional(
    v.array(
      v.strictObject({ like: nonEmptyText, at: moment, count: v.optional(count, 1), every_s: v.optional(positive, 1) }),
    ),
    [],
  ),
  /** Multiplies the number of jobs, the number of tasks per job, or the run time of tasks. */
  scale: v.optional(
    v.array(
      v.strictObject({
        ...selector,
        jobs: v.optional(positive),
        tasks: v.optional(positive),
        run: v.optional(positive),
      }),
    ),
    [],
  ),
  /** Sets the priority, the deadline or the use of spot machines of jobs. */
  set: v.optional(
    v.array(
      v.strictObject({
        ...selector,
        ...{ priority: v.optional(priority), deadline_s: v.optional(positive), spot: v.optional(v.boolean()) },
      }),
    ),
    [],
  ),
  /** Changes the quota of a team: the guaranteed amount and the limit (`_max`) of CPUs and GPUs. */
  team: v.optional(
    v.array(
      v.strictObject({
        name: nonEmptyText,
        ...{ cpus: v.optional(nonNegative), cpus_max: v.optional(nonNegative) },
        ...{ gpus: v.optional(nonNegative), gpus_max: v.optional(nonNegative) },
      }),
    ),
    [],
  ),
  /** Adds `more` machines to those present when the night begins, or removes some if negative. */
  machines: v.optional(
    v.array(
      v.strictObject({ ...machineKind, more: v.pipe(v.number(), v.integer(), v.minValue(-1000), v.maxValue(1000)) }),
    ),
    [],
  ),
  /** Sets how many machines of a kind the cloud has. */
  capacity: v.optional(
    v.array(v.strictObject({ ...machineKind, count: v.pipe(v.number(), v.integer(), v.minValue(0)) })),
    [],
  ),
  /** Changes the prices of a machine type. */
  price: v.optional(
    v.array(v.strictObject({ type: nonEmptyText, price: v.optional(positive), spot_price: v.optional(positive) })),
    [],
  ),
  /** Makes a machine die at the given time. */
  kill: v.optional(v.array(v.strictObject({ machine: nonEmptyText, at: moment })), []),
  /** Keeps a machine alive that died or was reclaimed by the cloud. */
  spare: v.optional(v.array(v.strictObject({ machine: nonEmptyText })), []),
  /** Overrides tunable settings of the controllers. */
  tunables: v.optional(
    v.strictObject({
      ...{
        alpha: v.optional(nonNegative),
        beta: v.optional(nonNegative),
        mu: v.optional(fraction),
        omega: v.optional(fraction),
      },
      ...{ phi: v.optional(fraction), baseline: v.optional(positive), floor: v.optional(positive) },
      roundShare: v.optional(fraction),
    }),
    {},
  ),
});

/** A validated plan. */
export type Plan = v.InferOutput<typeof planSchema>;
/** A point in time as written in a plan. */
export type Moment = v.InferOutput<typeof moment>;
/** The fields of a plan table that select jobs. */
export type JobSelector = Pick<Plan['drop'][number], 'class' | 'job' | 'from' | 'to'>;
