import * as v from 'valibot';
import { TraceError } from '../../../trace/src/index.js';

const nonNegative = v.pipe(v.number(), v.finite(), v.minValue(0));
const nonEmptyText = v.pipe(v.string(), v.nonEmpty());

/** The platform's configuration as the controllers reported it, stored in a trace next to the events. */
const factsSchema = v.object({
  zones: v.pipe(v.array(nonEmptyText), v.minLength(1)),
  skewMs: nonNegative,
  teams: v.record(
    nonEmptyText,
    v.object({ cpus: nonNegative, cpusMax: nonNegative, gpus: nonNegative, gpusMax: nonNegative }),
  ),
  objectives: v.array(
    v.object({
      kind: nonEmptyText,
      jobClass: v.nullable(nonEmptyText),
      withinS: v.nullable(nonNegative),
      share: v.nullable(nonNegative),
    }),
  ),
  workers: v.object({
    ...{
      reportMs: nonNegative,
      leaseMs: nonNegative,
      gangWaitMs: nonNegative,
      gangPeerMs: nonNegative,
      cancelMs: nonNegative,
    },
  }),
  state: v.object({ rps: nonNegative, writeRps: nonNegative, valueKb: nonNegative }),
  cloud: v.object({ rps: nonNegative, listLagMs: nonNegative }),
  types: v.pipe(
    v.array(
      v.object({
        ...{
          name: nonEmptyText,
          cpus: nonNegative,
          gpus: nonNegative,
          memoryGb: nonNegative,
          cacheGb: nonNegative,
          fetchGbPerS: nonNegative,
        },
        ...{ price: nonNegative, spotPrice: nonNegative, bootS: nonNegative, zones: v.array(nonEmptyText) },
      }),
    ),
    v.minLength(1),
  ),
  settings: v.optional(v.object({ tunables: v.optional(v.record(nonEmptyText, v.number()), {}) }), {}),
});

/** The platform's configuration in a recorded night: zones, teams and quotas, objectives, limits, machine types. */
export type PlatformFacts = v.InferOutput<typeof factsSchema>;

/** Validates the facts of a trace. Throws a TraceError that names the first invalid field. */
export function parseFacts(raw: unknown): PlatformFacts {
  const result = v.safeParse(factsSchema, raw);
  if (result.success) return result.output;
  const issue = result.issues[0];
  throw new TraceError(`facts: ${v.getDotPath(issue) ?? 'facts'}: ${issue.message}`);
}
