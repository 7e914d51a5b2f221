import { isObject, type HttpResult } from '../../../../src/kernel/index.js';

/** What an answer to a user says of the job. */
export const phaseOf = (answer: HttpResult): unknown =>
  answer.kind === 'answered' && isObject(answer.body) ? answer.body['phase'] : undefined;

/** null: there was no answer. */
export const statusOf = (answer: HttpResult): number | null => (answer.kind === 'answered' ? answer.status : null);
