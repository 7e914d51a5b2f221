import * as v from 'valibot';

const text = v.pipe(v.string(), v.nonEmpty());
const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const whole = v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(100_000));
const share = v.pipe(v.number(), v.minValue(0), v.maxValue(1));
const MOMENT = 'must be seconds since the night began, or a time of day such as "22:30"';
/** Seconds since the night began, or a time of day such as 22:30 or 22:30:15. */
const moment = v.union([amount, v.pipe(v.string(), v.regex(/^\d{1,2}:\d{2}(:\d{2})?$/, MOMENT))], MOMENT);
const which = { class: v.optional(text), job: v.optional(text), from: v.optional(moment), to: v.optional(moment) };
const priority = v.picklist(['low', 'standard', 'urgent', 'production']);
const kind = { type: text, zone: text, spot: v.optional(v.boolean(), false) };

/** A changed plan. Each table changes one thing; they are applied in the order below. */
export const planSchema = v.strictObject({
  name: v.optional(text, 'plan'),
  /** In which times of day are written and reported, such as Africa/Dar_es_Salaam. */
  time_zone: v.optional(text, 'UTC'),
  drop: v.optional(v.array(v.strictObject(which)), []),
  /** Moves submissions by so many seconds, or so that the first of them comes at a moment. */
  move: v.optional(
    v.array(v.strictObject({ ...which, by_s: v.optional(v.pipe(v.number(), v.finite())), start: v.optional(moment) })),
    [],
  ),
  /** So many more jobs like an existing one, every so many seconds. */
  add: v.optional(
    v.array(v.strictObject({ like: text, at: moment, count: v.optional(whole, 1), every_s: v.optional(positive, 1) })),
    [],
  ),
  /** More or fewer jobs, larger or smaller ones, longer or shorter tasks. */
  scale: v.optional(
    v.array(
      v.strictObject({ ...which, jobs: v.optional(positive), tasks: v.optional(positive), run: v.optional(positive) }),
    ),
    [],
  ),
  set: v.optional(
    v.array(
      v.strictObject({
        ...which,
        ...{ priority: v.optional(priority), deadline_s: v.optional(positive), spot: v.optional(v.boolean()) },
      }),
    ),
    [],
  ),
  team: v.optional(
    v.array(
      v.strictObject({
        name: text,
        ...{ cpus: v.optional(amount), cpus_max: v.optional(amount) },
        ...{ gpus: v.optional(amount), gpus_max: v.optional(amount) },
      }),
    ),
    [],
  ),
  /** More machines from the beginning on, or fewer. */
  machines: v.optional(
    v.array(v.strictObject({ ...kind, more: v.pipe(v.number(), v.integer(), v.minValue(-1000), v.maxValue(1000)) })),
    [],
  ),
  capacity: v.optional(v.array(v.strictObject({ ...kind, count: v.pipe(v.number(), v.integer(), v.minValue(0)) })), []),
  price: v.optional(
    v.array(v.strictObject({ type: text, price: v.optional(positive), spot_price: v.optional(positive) })),
    [],
  ),
  /** A machine dies at a moment. */
  kill: v.optional(v.array(v.strictObject({ machine: text, at: moment })), []),
  /** A machine that died or was taken back lives. */
  spare: v.optional(v.array(v.strictObject({ machine: text })), []),
  tunables: v.optional(
    v.strictObject({
      ...{ alpha: v.optional(amount), beta: v.optional(amount), mu: v.optional(share), omega: v.optional(share) },
      ...{ phi: v.optional(share), baseline: v.optional(positive), floor: v.optional(positive) },
      roundShare: v.optional(share),
    }),
    {},
  ),
});

export type Plan = v.InferOutput<typeof planSchema>;
export type Moment = v.InferOutput<typeof moment>;
export type Which = Pick<Plan['drop'][number], 'class' | 'job' | 'from' | 'to'>;
