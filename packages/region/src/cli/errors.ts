/** What was asked for is not there, or makes no sense. */
export class UsageError extends Error {}
