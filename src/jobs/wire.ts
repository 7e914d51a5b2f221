/** The users' API form of jobs: validates submissions and encodes job views. */
import * as v from 'valibot';
import { jobId, type JobId } from '../kernel/index.js';
import { Priority, type JobKind, type JobSpec, type JobView, type Phase } from './model.js';

/** Names of the users' API and the internal values that they stand for. */
const KIND_BY_SHAPE: Record<string, JobKind> = { sweep: 'array', ensemble: 'gang', daemon: 'service' };
const PRIORITY_BY_URGENCY: Record<string, Priority> = {
  low: Priority.low,
  standard: Priority.normal,
  urgent: Priority.high,
  production: Priority.production,
};
const PHASE_NAMES: Record<Phase, string> = {
  queued: 'pending',
  running: 'running',
  done: 'done',
  cancelled: 'withdrawn',
};

const JOB_ID_PATTERN = /^j-[0-9A-Za-z_-]{1,64}$/;

/** Parses a job id from a request path; null if it is malformed, in which case no such job can exist. */
export const parseJobId = (text: string): JobId | null => (JOB_ID_PATTERN.test(text) ? jobId(text) : null);

const shortText = v.pipe(v.string(), v.nonEmpty(), v.maxLength(200));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0), v.maxValue(1e9));
const oneOf = (names: string[]): v.GenericSchema<string, string> => v.picklist(names);

/** Only nullable fields may be omitted. A job that lacks any other field is rejected; no default is assumed. */
const submissionSchema = v.object({
  ref: v.pipe(v.string(), v.regex(JOB_ID_PATTERN, 'must be a job id such as j-000412')),
  jobclass: shortText,
  owner: shortText,
  shape: oneOf(Object.keys(KIND_BY_SHAPE)),
  urgency: oneOf(Object.keys(PRIORITY_BY_URGENCY)),
  pieces: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(100_000)),
  vcpus: amount,
  accelerators: amount,
  ram_gb: amount,
  hulls: v.nullish(v.pipe(v.array(shortText), v.minLength(1), v.maxLength(200))),
  berth: v.nullish(shortText),
  same_place: v.boolean(),
  scatter: v.boolean(),
  flotsam: v.boolean(),
  bundle: v.pipe(v.string(), v.maxLength(200)),
  pull_gb: amount,
  expected_s: amount,
  mark_every_s: amount,
  mark_cost_s: amount,
  due_s: v.nullish(amount),
  awaits: v.nullish(v.array(v.pipe(v.string(), v.regex(JOB_ID_PATTERN, 'must be a job id such as j-000412'))), []),
});

/** A parsed submission, or the reason for its rejection, which names the field. */
export type SubmissionResult =
  | {
      readonly ok: true;
      readonly spec: JobSpec;
      /** Ids of the job's dependencies without duplicates, in the user's order. */
      readonly awaits: readonly JobId[];
    }
  | { readonly ok: false; readonly reason: string };

/** Validates the JSON body of a submission and converts it to a job spec. */
export function parseSubmission(body: unknown): SubmissionResult {
  if (typeof body !== 'object' || body === null || Array.isArray(body)) {
    return { ok: false, reason: 'the body must be a JSON object' };
  }
  const result = v.safeParse(submissionSchema, body);
  if (!result.success) {
    const issue = result.issues[0];
    return { ok: false, reason: `${v.getDotPath(issue) ?? 'body'}: ${issue.message}` };
  }
  const submission = result.output;
  return {
    ok: true,
    awaits: [...new Set(submission.awaits.map((id) => jobId(id)))],
    spec: {
      id: jobId(submission.ref),
      jobClass: submission.jobclass,
      team: submission.owner,
      kind: KIND_BY_SHAPE[submission.shape] ?? 'array',
      priority: PRIORITY_BY_URGENCY[submission.urgency] ?? Priority.low,
      tasks: submission.pieces,
      cpus: submission.vcpus,
      gpus: submission.accelerators,
      memoryGb: submission.ram_gb,
      types: submission.hulls ?? null,
      zone: submission.berth ?? null,
      oneZone: submission.same_place,
      spread: submission.scatter,
      spot: submission.flotsam,
      image: submission.bundle,
      imageGb: submission.pull_gb,
      estimateS: submission.expected_s,
      checkpointS: submission.mark_every_s,
      saveS: submission.mark_cost_s,
      deadlineS: submission.due_s ?? null,
    },
  };
}

/** Encodes a job's state for the users' API; `awaits` is omitted when the job waits for no other job. */
export function encodeJobView(view: JobView): unknown {
  const { awaits = [] } = view;
  const dependencies = awaits.length === 0 ? {} : { awaits };
  return { ref: view.id, phase: PHASE_NAMES[view.phase], done: view.done, running: view.running, ...dependencies };
}
