import { isObject, type HttpResult } from '../../../../src/kernel/index.js';

/** The job phase that a response to a user states; undefined if the request failed or the body has none. */
export const phaseOf = (answer: HttpResult): unknown =>
  answer.kind === 'answered' && isObject(answer.body) ? answer.body['phase'] : undefined;

/** The HTTP status of a response; null if the request failed. */
export const statusOf = (answer: HttpResult): number | null => (answer.kind === 'answered' ? answer.status : null);
