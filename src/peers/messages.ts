import {
  incarnation,
  jobId,
  machineId,
  nodeName,
  revision,
  shardName,
  wallMillis,
  type Incarnation,
  type JobId,
  type MachineId,
  type NodeName,
  type Revision,
  type ShardName,
  type WallMillis,
} from '../kernel/index.js';
import { FrameError, FrameReader, FrameWriter, OLDEST_FRAME_VERSION } from './frame-codec.js';

/** What the holder of a shard reports to its peers about one machine of the shard. */
export interface MachineSummary {
  readonly id: MachineId;
  /** Name of the machine type. */
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly freeCpus: number;
  readonly freeGpus: number;
  readonly freeMemoryGb: number;
  /** CPUs and memory used by array tasks, which yield them to services at once unless the machine has accelerators. */
  readonly yieldCpus: number;
  readonly yieldMemoryGb: number;
  /** How long the machine has been idle. */
  readonly idleMs: number;
  /** No task is on it, as far as the holder knows. */
  readonly empty: boolean;
  /** Tasks can be started on it now. */
  readonly usable: boolean;
  /** Everything on it is gone or unreachable for good, so it is to be returned to the cloud. */
  readonly lost: boolean;
  /** Tasks that failed on it have worked elsewhere, or it is clearly slow: it is given back once it is empty. */
  readonly faulty: boolean;
  /** It is not usable, but a single task may be tried on it. Earlier releases neither send nor read this. */
  readonly onProbation: boolean;
  /** Images that it has. */
  readonly images: readonly string[];
}

/** Demand of a job that has unplaced tasks in a shard. */
export interface DemandSummary {
  readonly job: JobId;
  readonly priority: number;
  /** Number of tasks for which there was no capacity. */
  readonly missing: number;
  /** Number of running tasks. */
  readonly running: number;
  /** Seconds until the job misses its next target. */
  readonly slackS: number;
  /** Estimated run time of a task in seconds. */
  readonly estimateS: number;
  /** CPUs and accelerators per task. */
  readonly cpus: number;
  readonly gpus: number;
}

/** Numbers of running and finished tasks of a job. */
export interface RunningSummary {
  readonly job: JobId;
  readonly running: number;
  readonly done: number;
}

/** What the holder of a shard periodically reports to its peers. */
export interface ShardSummary {
  readonly shard: ShardName;
  readonly holder: NodeName;
  readonly machines: readonly MachineSummary[];
  readonly demand: readonly DemandSummary[];
  readonly running: readonly RunningSummary[];
}

/** Kinds of user requests that are forwarded to a peer. */
export type ForwardedOperation = 'submit' | 'query' | 'cancel';
/** An operation's index is its code in a frame. */
const FORWARDED_OPERATIONS: readonly ForwardedOperation[] = ['submit', 'query', 'cancel'];

/** Condition of a node, which it announces with every hello. */
export interface PeerCondition {
  /** The node gets responses from the state service. */
  readonly stateOk: boolean;
  /** The node can reach the workers, as far as it knows. */
  readonly fit: boolean;
  /** The node is draining: its operator is about to stop it, and it accepts no new work. */
  readonly leaving: boolean;
  /** Release number, which grows with changes to protocol, stored data or behavior; 1 for programs without releases. */
  readonly release: number;
  /** Names of the optional features that the node supports. */
  readonly features: readonly string[];
  /** The node has detected that the lower limits of the state service are in force. */
  readonly limitsFallen: boolean;
}

/** Values of the fields that a hello of version 2 lacks. */
const VERSION_2_DEFAULTS: Pick<PeerCondition, 'leaving' | 'release' | 'features' | 'limitsFallen'> = {
  ...{ leaving: false, release: 1, features: [], limitsFallen: false },
};

/** A message between controllers; `kind` determines the frame kind. */
export type PeerMessage =
  /** Sent first on a new connection, then periodically and when the condition changes. */
  | ({ readonly kind: 'hello'; readonly node: NodeName; readonly incarnation: Incarnation } & PeerCondition)
  /**
   * Sent by the accepting side in response to the first hello: the latest frame version that it reads. Programs that
   * know only version 2 never read from a connection that they opened.
   */
  | { readonly kind: 'welcome'; readonly node: NodeName; readonly incarnation: Incarnation; readonly frames: number }
  /** Periodic report of a shard holder. */
  | { readonly kind: 'summary'; readonly summary: ShardSummary }
  /** A job is cancelled; for peers that do not support 'withdrawn'. */
  | { readonly kind: 'cancelled'; readonly job: JobId }
  /** The leader requests that a holder lease an empty machine to another shard, or release it when `to` is null. */
  | { readonly kind: 'transfer'; readonly machine: MachineId; readonly to: ShardName | null }
  /** A user's request, forwarded as JSON to the node that can serve it. */
  | { readonly kind: 'ask'; readonly id: number; readonly op: ForwardedOperation; readonly body: string }
  /** Response to the request with the same id: HTTP status and JSON body. */
  | { readonly kind: 'answer'; readonly id: number; readonly status: number; readonly body: string }
  /** The sender has claimed the shard at `version`; the previous holder must stop sending commands for it. */
  | { readonly kind: 'standdown'; readonly shard: ShardName; readonly version: number }
  /** Confirms 'standdown': the sender sends no more commands for the shard under a claim older than `version`. */
  | { readonly kind: 'stooddown'; readonly shard: ShardName; readonly version: number }
  /**
   * The job's record says that it is cancelled. This is final, so receivers act on it without reading the record. Every
   * holder acknowledges it with 'heard'.
   */
  | {
      readonly kind: 'withdrawn';
      readonly job: JobId;
      /** Number of tasks that had finished. */
      readonly done: number;
      /** Wall-clock time of the cancellation; null when unknown. */
      readonly at: WallMillis | null;
      /** Revision at which the cancellation was stored. */
      readonly version: Revision;
    }
  /** Acknowledges 'withdrawn': this incarnation of the sender starts no more tasks of the job and stops running ones. */
  | { readonly kind: 'heard'; readonly job: JobId; readonly incarnation: Incarnation }
  /** Periodic heartbeat to one peer, see `Heartbeat`. */
  | ({ readonly kind: 'word' } & Heartbeat)
  /** Usage and demand of teams with a limit in a shard, from which the shares of the limits are computed. */
  | {
      readonly kind: 'quota';
      readonly shard: ShardName;
      /** Revision at which the sender claimed the shard. */
      readonly claimedAt: Revision;
      readonly teams: readonly TeamQuotaDemand[];
    };

/** Usage and demand of a team in a shard, in CPUs and accelerators. */
export interface TeamQuotaDemand {
  readonly team: string;
  /** Used by everything of the team that may be on the shard's machines. */
  readonly useCpus: number;
  readonly useGpus: number;
  /** Requested by all waiting tasks together. */
  readonly waitingCpus: number;
  readonly waitingGpus: number;
  /** Must be available at once for the next start: the request of one task or of a whole gang. */
  readonly unitCpus: number;
  readonly unitGpus: number;
  /** Priority of the job that starts next. */
  readonly priority: number;
  /** How long that job has waited. */
  readonly waitedMs: number;
}

/** Holder of a shard as recorded in the sender's mirror of the state service. */
export interface ObservedShardHolder {
  readonly shard: ShardName;
  /** Version of the shard's key. */
  readonly version: number;
  readonly holder: NodeName;
  /** Incarnation of the holder; empty when the shard is released. */
  readonly incarnation: Incarnation;
}

/**
 * Periodic heartbeat to one peer. It echoes a timestamp of the receiver's own clock, so that the receiver can date
 * the message: it was sent after the echoed time and counts as no newer than that, however late it arrives.
 */
export interface Heartbeat {
  readonly incarnation: Incarnation;
  /** The sender's monotonic clock in milliseconds. */
  readonly stamp: number;
  /** Latest stamp that the sender has received from this receiver; negative when there is none. */
  readonly echo: number;
  /** Incarnation of the receiver that sent the echoed stamp. */
  readonly echoOf: Incarnation;
  readonly shards: readonly ObservedShardHolder[];
}

/** Codes of the message kinds in frames. */
const FrameKind = {
  hello: 1,
  summary: 2,
  cancelled: 3,
  transfer: 4,
  ask: 5,
  answer: 6,
  standdown: 7,
  stooddown: 8,
  welcome: 9,
  withdrawn: 10,
  heard: 11,
  word: 12,
  quota: 13,
} as const;

/** Message kinds that version 2 lacks. */
const KINDS_SINCE_VERSION_3: ReadonlySet<PeerMessage['kind']> = new Set(['withdrawn', 'heard', 'word', 'quota']);

/** True when a frame version has this message kind. */
export const frameVersionHasKind = (kind: PeerMessage['kind'], version: number): boolean =>
  version > OLDEST_FRAME_VERSION || !KINDS_SINCE_VERSION_3.has(kind);

const KNOWN_FRAME_KINDS: ReadonlySet<number> = new Set(Object.values(FrameKind));

/** Packs booleans into an integer, the first one into the lowest bit. */
const packFlags = (...bits: boolean[]): number => bits.reduce((sum, bit, i) => sum | (bit ? 1 << i : 0), 0);

/**
 * Encodes a message as a frame. The receiver must be known to read the version. Throws a FrameError when the message
 * exceeds a limit.
 */
export function encodeMessage(m: PeerMessage, version: number): Buffer {
  const w = new FrameWriter(FrameKind[m.kind], version);
  return w.record(() => encodeFields(m, w)).finish();
}

function encodeFields(m: PeerMessage, w: FrameWriter): FrameWriter {
  switch (m.kind) {
    case 'hello':
      // Version 2 has no flag for leaving. A leaving node is announced as one that can't reach the workers, because
      // such a node gets no work either.
      if (!w.supportsExtensions)
        return w
          .text(m.node)
          .text(m.incarnation)
          .u8(packFlags(m.stateOk, m.fit && !m.leaving));
      w.text(m.node)
        .text(m.incarnation)
        .u8(packFlags(m.stateOk, m.fit, m.leaving, m.limitsFallen));
      return w.u32(m.release).texts(m.features);
    case 'welcome':
      return w.text(m.node).text(m.incarnation).u8(m.frames);
    case 'summary': {
      const s = m.summary;
      w.text(s.shard).text(s.holder);
      w.items(s.machines, (x) => {
        w.text(x.id).text(x.type).text(x.zone);
        w.f64(x.freeCpus).f64(x.freeGpus).f64(x.freeMemoryGb).f64(x.idleMs);
        w.f64(x.yieldCpus).f64(x.yieldMemoryGb);
        w.u8(packFlags(x.spot, x.empty, x.usable, x.lost, x.faulty, x.onProbation));
        w.texts(x.images);
      });
      w.items(s.demand, (d) =>
        w
          .text(d.job)
          .u8(d.priority)
          .u32(d.missing)
          .u32(d.running)
          .f64(d.slackS)
          .f64(d.estimateS)
          .f64(d.cpus)
          .f64(d.gpus),
      );
      w.items(s.running, (r) => w.text(r.job).u32(r.running).u32(r.done));
      return w;
    }
    case 'cancelled':
      return w.text(m.job);
    case 'transfer':
      return w.text(m.machine).text(m.to ?? '');
    case 'ask':
      return w.u32(m.id).u8(FORWARDED_OPERATIONS.indexOf(m.op)).text(m.body);
    case 'answer':
      return w.u32(m.id).u16(m.status).text(m.body);
    case 'standdown':
    case 'stooddown':
      return w.text(m.shard).f64(m.version);
    case 'withdrawn':
      return w
        .text(m.job)
        .u32(m.done)
        .f64(m.at ?? -1)
        .f64(m.version);
    case 'heard':
      return w.text(m.job).text(m.incarnation);
    case 'quota':
      w.text(m.shard).f64(m.claimedAt);
      return w.items(m.teams, (x) => {
        w.text(x.team).f64(x.useCpus).f64(x.useGpus).f64(x.waitingCpus).f64(x.waitingGpus);
        w.f64(x.unitCpus).f64(x.unitGpus).u8(x.priority).f64(x.waitedMs);
      });
    case 'word':
      w.text(m.incarnation).f64(m.stamp).f64(m.echo).text(m.echoOf);
      return w.items(m.shards, (x) => w.text(x.shard).f64(x.version).text(x.holder).text(x.incarnation));
  }
}

function decodeCondition(r: FrameReader): PeerCondition {
  const bits = r.u8();
  const base = { stateOk: (bits & 1) !== 0, fit: (bits & 2) !== 0 };
  if (!r.hasMoreFields) return { ...base, ...VERSION_2_DEFAULTS };
  const extension = { leaving: (bits & 4) !== 0, limitsFallen: (bits & 8) !== 0 };
  return { ...base, ...extension, release: r.u32(), features: r.texts() };
}

/**
 * Decodes a frame, given without its length prefix. Returns null when its version or kind is unknown, because a later
 * release may send such frames; the caller skips them. Throws a FrameError when the frame is malformed.
 */
export function decodeMessage(frame: Buffer): PeerMessage | null {
  const r = new FrameReader(frame);
  if (!r.isKnownVersion || !KNOWN_FRAME_KINDS.has(r.kind)) return null;
  const message = r.record(() => decodeFields(r));
  r.end();
  return message;
}

function decodeFields(r: FrameReader): PeerMessage {
  switch (r.kind) {
    case FrameKind.hello:
      return { kind: 'hello', node: nodeName(r.text()), incarnation: incarnation(r.text()), ...decodeCondition(r) };
    case FrameKind.welcome:
      return { kind: 'welcome', node: nodeName(r.text()), incarnation: incarnation(r.text()), frames: r.u8() };
    case FrameKind.summary: {
      const shard = shardName(r.text());
      const holder = nodeName(r.text());
      const machines = r.items((): MachineSummary => {
        const id = machineId(r.text());
        const type = r.text();
        const zone = r.text();
        const [freeCpus, freeGpus, freeMemoryGb, idleMs] = [r.f64(), r.f64(), r.f64(), r.f64()];
        const [yieldCpus, yieldMemoryGb] = [r.f64(), r.f64()];
        const bits = r.u8();
        return {
          id,
          type,
          zone,
          freeCpus,
          freeGpus,
          freeMemoryGb,
          yieldCpus,
          yieldMemoryGb,
          idleMs,
          spot: (bits & 1) !== 0,
          empty: (bits & 2) !== 0,
          usable: (bits & 4) !== 0,
          lost: (bits & 8) !== 0,
          faulty: (bits & 16) !== 0,
          onProbation: (bits & 32) !== 0,
          images: r.texts(),
        };
      });
      const demand = r.items((): DemandSummary => ({
        job: jobId(r.text()),
        priority: r.u8(),
        missing: r.u32(),
        running: r.u32(),
        slackS: r.f64(),
        estimateS: r.f64(),
        cpus: r.f64(),
        gpus: r.f64(),
      }));
      const running = r.items((): RunningSummary => ({ job: jobId(r.text()), running: r.u32(), done: r.u32() }));
      return { kind: 'summary', summary: { shard, holder, machines, demand, running } };
    }
    case FrameKind.cancelled:
      return { kind: 'cancelled', job: jobId(r.text()) };
    case FrameKind.transfer: {
      const machine = machineId(r.text());
      const to = r.text();
      return { kind: 'transfer', machine, to: to === '' ? null : shardName(to) };
    }
    case FrameKind.ask: {
      const id = r.u32();
      const op = FORWARDED_OPERATIONS[r.u8()];
      if (op === undefined) throw new FrameError('unknown operation in a forwarded request');
      return { kind: 'ask', id, op, body: r.text() };
    }
    case FrameKind.answer:
      return { kind: 'answer', id: r.u32(), status: r.u16(), body: r.text() };
    case FrameKind.standdown:
      return { kind: 'standdown', shard: shardName(r.text()), version: r.f64() };
    case FrameKind.stooddown:
      return { kind: 'stooddown', shard: shardName(r.text()), version: r.f64() };
    case FrameKind.withdrawn: {
      const [job, done, at, version] = [jobId(r.text()), r.u32(), r.f64(), r.f64()];
      return { kind: 'withdrawn', job, done, at: at < 0 ? null : wallMillis(at), version: revision(version) };
    }
    case FrameKind.heard:
      return { kind: 'heard', job: jobId(r.text()), incarnation: incarnation(r.text()) };
    case FrameKind.word: {
      const header = {
        incarnation: incarnation(r.text()),
        stamp: r.f64(),
        echo: r.f64(),
        echoOf: incarnation(r.text()),
      };
      const shards = r.items((): ObservedShardHolder => ({
        ...{ shard: shardName(r.text()), version: r.f64(), holder: nodeName(r.text()) },
        incarnation: incarnation(r.text()),
      }));
      return { kind: 'word', ...header, shards };
    }
    case FrameKind.quota: {
      const [shard, claimedAt] = [shardName(r.text()), revision(r.f64())];
      const teams = r.items((): TeamQuotaDemand => ({
        ...{ team: r.text(), useCpus: r.f64(), useGpus: r.f64(), waitingCpus: r.f64(), waitingGpus: r.f64() },
        ...{ unitCpus: r.f64(), unitGpus: r.f64(), priority: r.u8(), waitedMs: r.f64() },
      }));
      return { kind: 'quota', shard, claimedAt, teams };
    }
    default:
      throw new FrameError(`unknown frame kind ${r.kind}`);
  }
}
