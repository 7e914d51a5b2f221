/** Ids, versions and times are types of their own, so that one cannot be passed for another. */
declare const brand: unique symbol;
export type Brand<T, Name extends string> = T & { readonly [brand]: Name };

export type NodeName = Brand<string, 'NodeName'>;
export type ShardName = Brand<string, 'ShardName'>;
export type MachineId = Brand<string, 'MachineId'>;
export type JobId = Brand<string, 'JobId'>;
/** A task's name on the wire and in every map: job id, slash, index. */
export type TaskKey = Brand<string, 'TaskKey'>;
/** One life of a controller process. */
export type Incarnation = Brand<string, 'Incarnation'>;
/** Revision of the state service, and the version of a key. */
export type Revision = Brand<number, 'Revision'>;
/** A machine's fencing token. */
export type Token = Brand<number, 'Token'>;
export type Attempt = Brand<number, 'Attempt'>;
/** A worker's session and its message number inside it. */
export type Session = Brand<number, 'Session'>;
export type Sequence = Brand<number, 'Sequence'>;
/** Steady time in milliseconds. */
export type Millis = Brand<number, 'Millis'>;
/** Time of day in milliseconds since the epoch. */
export type WallMillis = Brand<number, 'WallMillis'>;

export const nodeName = (s: string): NodeName => s as NodeName;
export const shardName = (s: string): ShardName => s as ShardName;
export const machineId = (s: string): MachineId => s as MachineId;
export const jobId = (s: string): JobId => s as JobId;
export const incarnation = (s: string): Incarnation => s as Incarnation;
export const revision = (n: number): Revision => n as Revision;
export const token = (n: number): Token => n as Token;
export const attempt = (n: number): Attempt => n as Attempt;
export const session = (n: number): Session => n as Session;
export const sequence = (n: number): Sequence => n as Sequence;
export const millis = (n: number): Millis => n as Millis;
export const wallMillis = (n: number): WallMillis => n as WallMillis;
export const taskKey = (job: JobId, index: number): TaskKey => `${job}/${index}` as TaskKey;

/** Splits a task's name; null when it has no valid form. */
export function parseTaskKey(text: string): { job: JobId; index: number } | null {
  const cut = text.lastIndexOf('/');
  if (cut <= 0) return null;
  const digits = text.slice(cut + 1);
  if (!/^\d{1,6}$/.test(digits)) return null;
  return { job: text.slice(0, cut) as JobId, index: Number(digits) };
}
