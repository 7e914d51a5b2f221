import type { SimulatedJob } from './jobs.js';

/** What users know of one job. Times in milliseconds of true time since the start of the day. */
export interface UserView {
  readonly job: SimulatedJob;
  readonly submittedAt: number;
  acceptedAt: number | null;
  /** Refused for good, or given up after a minute. */
  refused: boolean;
  cancelAskedAt: number | null;
  /** A node has reported the job as done, or as cancelled. */
  toldDone: boolean;
  toldCancelled: boolean;
}

/** What any node had reported of a job when a request about it was sent; the answer must not be older. */
export interface ReportedState {
  readonly accepted: boolean;
  readonly final: 'done' | 'withdrawn' | null;
}

/** Observes the users' requests and the answers. */
export interface UserObserver {
  /** A job is about to be submitted for the first time. */
  jobSubmitted(job: SimulatedJob): void;
  /** Returns what has been reported of a job, at the moment at which a request about it is sent. */
  reportedSoFar(ref: string): ReportedState;
  /** Called for each answer to a submission, the first or a repeated one. */
  submitAnswered(ref: string, status: number, phase: unknown, known: ReportedState): void;
  /** Called for each poll with its status; null if there was no answer. */
  pollAnswered(ref: string, status: number | null, phase: unknown, known: ReportedState): void;
  /** A user cancels a job. */
  cancelAsked(ref: string): void;
  /** Called for each answer to a cancellation. */
  cancelAnswered(ref: string, status: number, phase: unknown, known: ReportedState): void;
  /** Called after an invalid submission with the expected status and the actual one; null if there was no answer. */
  invalidSubmissionAnswered(description: string, expectedStatus: number, status: number | null): void;
}
