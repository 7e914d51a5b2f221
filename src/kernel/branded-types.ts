/**
 * Branded types for ids, versions and times: the compiler rejects one where another is expected. The functions with the
 * same names in lower case tag a plain value and check nothing.
 */
declare const brand: unique symbol;
/** A string or number that the compiler tells apart from others by its name. */
export type Brand<T, Name extends string> = T & { readonly [brand]: Name };

/** Name of a controller node. */
export type NodeName = Brand<string, 'NodeName'>;
/** Name of a shard. */
export type ShardName = Brand<string, 'ShardName'>;
/** Id of a rented machine. */
export type MachineId = Brand<string, 'MachineId'>;
/** Id of a job. */
export type JobId = Brand<string, 'JobId'>;
/** Key of a task on the wire and in maps: `<job id>/<task index>`. */
export type TaskKey = Brand<string, 'TaskKey'>;
/** Identifies one run of a controller process; it changes with every restart. */
export type Incarnation = Brand<string, 'Incarnation'>;
/** Revision of the state service; a key's version is the revision of its last change. */
export type Revision = Brand<number, 'Revision'>;
/** Fencing token of a machine. */
export type FencingToken = Brand<number, 'FencingToken'>;
/** Attempt number of a task. */
export type Attempt = Brand<number, 'Attempt'>;
/** Number of a worker's session. */
export type Session = Brand<number, 'Session'>;
/** Number of a message within a worker's session. */
export type Sequence = Brand<number, 'Sequence'>;
/** Time of a process's monotonic clock in milliseconds. */
export type Millis = Brand<number, 'Millis'>;
/** Wall-clock time in milliseconds since the Unix epoch. */
export type WallMillis = Brand<number, 'WallMillis'>;

export const nodeName = (s: string): NodeName => s as NodeName;
export const shardName = (s: string): ShardName => s as ShardName;
export const machineId = (s: string): MachineId => s as MachineId;
export const jobId = (s: string): JobId => s as JobId;
export const incarnation = (s: string): Incarnation => s as Incarnation;
export const revision = (n: number): Revision => n as Revision;
export const fencingToken = (n: number): FencingToken => n as FencingToken;
export const attempt = (n: number): Attempt => n as Attempt;
export const session = (n: number): Session => n as Session;
export const sequence = (n: number): Sequence => n as Sequence;
export const millis = (n: number): Millis => n as Millis;
export const wallMillis = (n: number): WallMillis => n as WallMillis;
export const taskKey = (job: JobId, index: number): TaskKey => `${job}/${index}` as TaskKey;

/** Splits a task key into job id and task index; returns null when it is malformed. */
export function parseTaskKey(text: string): { job: JobId; index: number } | null {
  const slash = text.lastIndexOf('/');
  if (slash <= 0) return null;
  const digits = text.slice(slash + 1);
  if (!/^\d{1,6}$/.test(digits)) return null;
  return { job: text.slice(0, slash) as JobId, index: Number(digits) };
}
