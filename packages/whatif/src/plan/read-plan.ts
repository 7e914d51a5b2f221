import { parse } from 'smol-toml';
import * as v from 'valibot';
import { planSchema, type Plan } from './plan-schema.js';

/** An invalid plan. The message states in one line what is wrong and where. */
export class PlanError extends Error {}

/** Parses and validates a plan in TOML. Throws a PlanError that names `file` and the invalid line or field. */
export function readPlan(toml: string, file: string): Plan {
  let raw: unknown;
  try {
    raw = parse(toml);
  } catch (error) {
    const { line } = error as { line?: number };
    throw new PlanError(
      `${file}:${line ?? 1}: ${error instanceof Error ? error.message.split('\n')[0] : String(error)}`,
    );
  }
  const result = v.safeParse(planSchema, raw);
  if (result.success) return result.output;
  // An unknown field is reported first, since a misspelled name is the likely cause of a missing field.
  const unknown = result.issues.find((issue) => issue.expected === 'never');
  const issue = unknown ?? result.issues[0];
  throw new PlanError(`${file}: ${v.getDotPath(issue) ?? 'plan'}: ${unknown ? 'unknown field' : issue.message}`);
}
