import type { JobTruth } from './jobs.js';

/** What users saw of one job. Times in milliseconds of true time. */
export interface UserView {
  readonly job: JobTruth;
  readonly submittedAt: number;
  acceptedAt: number | null;
  /** Refused for good, or given up after a minute. */
  refused: boolean;
  cancelAskedAt: number | null;
  toldDone: boolean;
  toldCancelled: boolean;
}

/** What had been told of a job, by any node, when a question about it was sent: no answer may be older. */
export interface Asked {
  readonly accepted: boolean;
  readonly final: 'done' | 'withdrawn' | null;
}

/** Told what users do and what they are answered. */
export interface UserWitness {
  submits(job: JobTruth): void;
  /** A question is sent now. */
  asks(ref: string): Asked;
  /** Any answer to a submission, the first or a repeated one. */
  submitAnswered(ref: string, status: number, phase: unknown, asked: Asked): void;
  /** A poll's status, or null for one without an answer. */
  polled(ref: string, status: number | null, phase: unknown, asked: Asked): void;
  cancelAsked(ref: string): void;
  cancelAnswered(ref: string, status: number, phase: unknown, asked: Asked): void;
  /** A submission that can't be taken, what it should be answered, and what it was; null: nothing. */
  oddAnswered(what: string, wanted: number, status: number | null): void;
}
