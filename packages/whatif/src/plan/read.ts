import { parse } from 'smol-toml';
import * as v from 'valibot';
import { planSchema, type Plan } from './schema.js';

/** Says in one line what is wrong with a plan, and where. */
export class PlanError extends Error {}

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
  // A field that nobody knows is the likely cause of another that is missing.
  const unknown = result.issues.find((issue) => issue.expected === 'never');
  const issue = unknown ?? result.issues[0];
  throw new PlanError(`${file}: ${v.getDotPath(issue) ?? 'plan'}: ${unknown ? 'no such field' : issue.message}`);
}
