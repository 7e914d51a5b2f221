import * as v from 'valibot';
import { TraceError } from '../../../trace/src/index.js';

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const text = v.pipe(v.string(), v.nonEmpty());

/** What the controllers said of the platform, beside what happened. */
const schema = v.object({
  zones: v.pipe(v.array(text), v.minLength(1)),
  skewMs: amount,
  teams: v.record(text, v.object({ cpus: amount, cpusMax: amount, gpus: amount, gpusMax: amount })),
  objectives: v.array(
    v.object({ kind: text, jobClass: v.nullable(text), withinS: v.nullable(amount), share: v.nullable(amount) }),
  ),
  workers: v.object({
    ...{ reportMs: amount, leaseMs: amount, gangWaitMs: amount, gangPeerMs: amount, cancelMs: amount },
  }),
  state: v.object({ rps: amount, writeRps: amount, valueKb: amount }),
  cloud: v.object({ rps: amount, listLagMs: amount }),
  types: v.pipe(
    v.array(
      v.object({
        ...{ name: text, cpus: amount, gpus: amount, memoryGb: amount, cacheGb: amount, fetchGbPerS: amount },
        ...{ price: amount, spotPrice: amount, bootS: amount, zones: v.array(text) },
      }),
    ),
    v.minLength(1),
  ),
  settings: v.optional(v.object({ tunables: v.optional(v.record(text, v.number()), {}) }), {}),
});

export type NightFacts = v.InferOutput<typeof schema>;

export function readFacts(raw: unknown): NightFacts {
  const result = v.safeParse(schema, raw);
  if (result.success) return result.output;
  const issue = result.issues[0];
  throw new TraceError(`facts: ${v.getDotPath(issue) ?? 'facts'}: ${issue.message}`);
}
