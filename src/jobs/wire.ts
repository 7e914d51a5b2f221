import * as v from 'valibot';
import { jobId, type JobId } from '../kernel/index.js';
import { Priority, type JobKind, type JobSpec, type JobView, type Phase } from './model.js';

/** The users' words. */
const KINDS: Record<string, JobKind> = { sweep: 'array', ensemble: 'gang', daemon: 'service' };
const PRIORITIES: Record<string, Priority> = {
  low: Priority.low,
  standard: Priority.normal,
  urgent: Priority.high,
  production: Priority.production,
};
const PHASES: Record<Phase, string> = { queued: 'pending', running: 'running', done: 'done', cancelled: 'withdrawn' };

const ID = /^j-[0-9A-Za-z_-]{1,64}$/;

/** A job id from a path; null when it has no valid form, so that no such job can exist. */
export const parseJobId = (text: string): JobId | null => (ID.test(text) ? jobId(text) : null);

const text = v.pipe(v.string(), v.nonEmpty(), v.maxLength(200));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0), v.maxValue(1e9));
const choice = (names: string[]): v.GenericSchema<string, string> => v.picklist(names);

/** Only what may be null may be left out: a job that lacks anything else is refused, not guessed at. */
const schema = v.object({
  ref: v.pipe(v.string(), v.regex(ID, 'must be a job id such as j-000412')),
  jobclass: text,
  owner: text,
  shape: choice(Object.keys(KINDS)),
  urgency: choice(Object.keys(PRIORITIES)),
  pieces: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(100_000)),
  vcpus: amount,
  accelerators: amount,
  ram_gb: amount,
  hulls: v.nullish(v.pipe(v.array(text), v.minLength(1), v.maxLength(200))),
  berth: v.nullish(text),
  same_place: v.boolean(),
  scatter: v.boolean(),
  flotsam: v.boolean(),
  bundle: v.pipe(v.string(), v.maxLength(200)),
  pull_gb: amount,
  expected_s: amount,
  mark_every_s: amount,
  mark_cost_s: amount,
  due_s: v.nullish(amount),
  awaits: v.nullish(v.array(v.pipe(v.string(), v.regex(ID, 'must be a job id such as j-000412'))), []),
});

export type Parsed =
  | {
      readonly ok: true;
      readonly spec: JobSpec;
      /** Each named once, in the user's order. */
      readonly awaits: readonly JobId[];
    }
  | { readonly ok: false; readonly reason: string };

export function parseSubmission(body: unknown): Parsed {
  if (typeof body !== 'object' || body === null || Array.isArray(body)) {
    return { ok: false, reason: 'the body must be a JSON object' };
  }
  const result = v.safeParse(schema, body);
  if (!result.success) {
    const issue = result.issues[0];
    return { ok: false, reason: `${v.getDotPath(issue) ?? 'body'}: ${issue.message}` };
  }
  const b = result.output;
  return {
    ok: true,
    awaits: [...new Set(b.awaits.map((id) => jobId(id)))],
    spec: {
      id: jobId(b.ref),
      jobClass: b.jobclass,
      team: b.owner,
      kind: KINDS[b.shape] ?? 'array',
      priority: PRIORITIES[b.urgency] ?? Priority.low,
      tasks: b.pieces,
      cpus: b.vcpus,
      gpus: b.accelerators,
      memoryGb: b.ram_gb,
      types: b.hulls ?? null,
      zone: b.berth ?? null,
      oneZone: b.same_place,
      spread: b.scatter,
      spot: b.flotsam,
      image: b.bundle,
      imageGb: b.pull_gb,
      estimateS: b.expected_s,
      checkpointS: b.mark_every_s,
      saveS: b.mark_cost_s,
      deadlineS: b.due_s ?? null,
    },
  };
}

export function encodeView(view: JobView): unknown {
  const { awaits = [] } = view;
  const waits = awaits.length === 0 ? {} : { awaits };
  return { ref: view.id, phase: PHASES[view.phase], done: view.done, running: view.running, ...waits };
}
