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
import { FrameError, FrameReader, FrameWriter, OLDEST_VERSION } from './codec.js';

/** What a holder tells the others about one machine of its block. */
export interface MachineSummary {
  readonly id: MachineId;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly freeCpus: number;
  readonly freeGpus: number;
  readonly freeMemoryGb: number;
  /** What arrays take of it; services get that at once, unless the machine has accelerators. */
  readonly yieldCpus: number;
  readonly yieldMemoryGb: number;
  readonly idleMs: number;
  readonly empty: boolean;
  readonly usable: boolean;
  /** Everything there is gone or unreachable for good: to be given back. */
  readonly lost: boolean;
  readonly faulty: boolean;
  readonly images: readonly string[];
}

export interface DemandSummary {
  readonly job: JobId;
  readonly priority: number;
  /** Tasks that found no room. */
  readonly missing: number;
  readonly running: number;
  readonly slackS: number;
  readonly estimateS: number;
  /** What a task takes. */
  readonly cpus: number;
  readonly gpus: number;
}

export interface RunningSummary {
  readonly job: JobId;
  readonly running: number;
  readonly done: number;
}

export interface ShardSummary {
  readonly shard: ShardName;
  readonly holder: NodeName;
  readonly machines: readonly MachineSummary[];
  readonly demand: readonly DemandSummary[];
  readonly running: readonly RunningSummary[];
}

export type AskOp = 'submit' | 'query' | 'cancel';
const OPS: readonly AskOp[] = ['submit', 'query', 'cancel'];

/** What a node says of itself with every greeting. */
export interface PeerCondition {
  /** The state service answers it. */
  readonly stateOk: boolean;
  /** It reaches the workers, as far as it knows. */
  readonly fit: boolean;
  /** It is about to be ended by its operator and takes nothing new. */
  readonly leaving: boolean;
  /** Grows with what a program speaks, stores and does; 1: from before there were releases. */
  readonly release: number;
  readonly features: readonly string[];
  /** It has noticed that the state service's lower limits are in force. */
  readonly limitsFallen: boolean;
}

/** What a greeting of version 2 says of whoever sends it. */
const OLDEST: Pick<PeerCondition, 'leaving' | 'release' | 'features' | 'limitsFallen'> = {
  ...{ leaving: false, release: 1, features: [], limitsFallen: false },
};

export type PeerMessage =
  | ({ readonly kind: 'hello'; readonly node: NodeName; readonly incarnation: Incarnation } & PeerCondition)
  /**
   * The first thing that whoever accepts a connection says on it: up to which frame version it reads. Programs that
   * know version 2 alone never look at what comes back on a connection that they opened.
   */
  | { readonly kind: 'welcome'; readonly node: NodeName; readonly incarnation: Incarnation; readonly frames: number }
  | { readonly kind: 'summary'; readonly summary: ShardSummary }
  | { readonly kind: 'cancelled'; readonly job: JobId }
  /** The leader asks a holder to lease an empty machine to another shard; null: to let it go. */
  | { readonly kind: 'transfer'; readonly machine: MachineId; readonly to: ShardName | null }
  | { readonly kind: 'ask'; readonly id: number; readonly op: AskOp; readonly body: string }
  | { readonly kind: 'answer'; readonly id: number; readonly status: number; readonly body: string }
  | { readonly kind: 'standdown'; readonly shard: ShardName; readonly version: number }
  | { readonly kind: 'stooddown'; readonly shard: ShardName; readonly version: number }
  /** A job is stored as cancelled: a fact for ever, to be acted on without a read. Every holder says that it heard it. */
  | {
      readonly kind: 'withdrawn';
      readonly job: JobId;
      readonly done: number;
      /** Time of day in milliseconds; null: not known. */
      readonly at: WallMillis | null;
      /** The revision at which that was stored. */
      readonly version: Revision;
    }
  /** This life of the sender starts nothing of the job any more and stops what runs of it. */
  | { readonly kind: 'heard'; readonly job: JobId; readonly incarnation: Incarnation }
  | ({ readonly kind: 'word' } & Word)
  /** What the holder of a shard says of limited teams, for shares of their limits. */
  | {
      readonly kind: 'quota';
      readonly shard: ShardName;
      readonly claimedAt: Revision;
      readonly teams: readonly QuotaNeed[];
    };

/** What a shard uses of a team's limit, and what waits there. Amounts as cpus and accelerators. */
export interface QuotaNeed {
  readonly team: string;
  readonly useCpus: number;
  readonly useGpus: number;
  readonly waitingCpus: number;
  readonly waitingGpus: number;
  readonly unitCpus: number;
  readonly unitGpus: number;
  readonly priority: number;
  readonly waitedMs: number;
}

/** Who holds a shard, as the sender's mirror has it. */
export interface ShardSeen {
  readonly shard: ShardName;
  readonly version: number;
  readonly holder: NodeName;
  readonly incarnation: Incarnation;
}

/** What a node says to one other again and again; dated by the other's own clock, so that one that comes late is old. */
export interface Word {
  /** The sender's life, and its steady clock in milliseconds. */
  readonly incarnation: Incarnation;
  readonly stamp: number;
  /** The latest stamp that the sender has had of this receiver, and of which life; below 0: none. */
  readonly echo: number;
  readonly echoOf: Incarnation;
  readonly shards: readonly ShardSeen[];
}

const Kind = {
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

/** Kinds that stand in no frame of version 2. */
const SINCE_3: ReadonlySet<PeerMessage['kind']> = new Set(['withdrawn', 'heard', 'word', 'quota']);

/** May it be written in this version? */
export const isKindOf = (kind: PeerMessage['kind'], version: number): boolean =>
  version > OLDEST_VERSION || !SINCE_3.has(kind);

const KNOWN_KINDS: ReadonlySet<number> = new Set(Object.values(Kind));

const flags = (...bits: boolean[]): number => bits.reduce((sum, bit, i) => sum | (bit ? 1 << i : 0), 0);

/** Writes a frame of a version that its reader is known to read. */
export function encodeMessage(m: PeerMessage, version: number): Buffer {
  const w = new FrameWriter(Kind[m.kind], version);
  return w.record(() => encodeFields(m, w)).finish();
}

function encodeFields(m: PeerMessage, w: FrameWriter): FrameWriter {
  switch (m.kind) {
    case 'hello':
      // Version 2 has no word for leaving: whoever is not fit is given nothing either.
      if (!w.extends)
        return w
          .text(m.node)
          .text(m.incarnation)
          .u8(flags(m.stateOk, m.fit && !m.leaving));
      w.text(m.node)
        .text(m.incarnation)
        .u8(flags(m.stateOk, m.fit, m.leaving, m.limitsFallen));
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
        w.u8(flags(x.spot, x.empty, x.usable, x.lost, x.faulty));
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
      return w.u32(m.id).u8(OPS.indexOf(m.op)).text(m.body);
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

function readCondition(r: FrameReader): PeerCondition {
  const bits = r.u8();
  const said = { stateOk: (bits & 1) !== 0, fit: (bits & 2) !== 0 };
  if (!r.more) return { ...said, ...OLDEST };
  const more = { leaving: (bits & 4) !== 0, limitsFallen: (bits & 8) !== 0 };
  return { ...said, ...more, release: r.u32(), features: r.texts() };
}

/**
 * Reads a frame; null when its version or kind is not known here, which a later release may well send: it is skipped
 * and costs nothing else. Throws a FrameError when what is known is malformed.
 */
export function decodeMessage(frame: Buffer): PeerMessage | null {
  const r = new FrameReader(frame);
  if (!r.known || !KNOWN_KINDS.has(r.kind)) return null;
  const message = r.record(() => decodeFields(r));
  r.end();
  return message;
}

function decodeFields(r: FrameReader): PeerMessage {
  switch (r.kind) {
    case Kind.hello:
      return { kind: 'hello', node: nodeName(r.text()), incarnation: incarnation(r.text()), ...readCondition(r) };
    case Kind.welcome:
      return { kind: 'welcome', node: nodeName(r.text()), incarnation: incarnation(r.text()), frames: r.u8() };
    case Kind.summary: {
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
    case Kind.cancelled:
      return { kind: 'cancelled', job: jobId(r.text()) };
    case Kind.transfer: {
      const machine = machineId(r.text());
      const to = r.text();
      return { kind: 'transfer', machine, to: to === '' ? null : shardName(to) };
    }
    case Kind.ask: {
      const id = r.u32();
      const op = OPS[r.u8()];
      if (op === undefined) throw new FrameError('unknown request');
      return { kind: 'ask', id, op, body: r.text() };
    }
    case Kind.answer:
      return { kind: 'answer', id: r.u32(), status: r.u16(), body: r.text() };
    case Kind.standdown:
      return { kind: 'standdown', shard: shardName(r.text()), version: r.f64() };
    case Kind.stooddown:
      return { kind: 'stooddown', shard: shardName(r.text()), version: r.f64() };
    case Kind.withdrawn: {
      const [job, done, at, version] = [jobId(r.text()), r.u32(), r.f64(), r.f64()];
      return { kind: 'withdrawn', job, done, at: at < 0 ? null : wallMillis(at), version: revision(version) };
    }
    case Kind.heard:
      return { kind: 'heard', job: jobId(r.text()), incarnation: incarnation(r.text()) };
    case Kind.word: {
      const said = { incarnation: incarnation(r.text()), stamp: r.f64(), echo: r.f64(), echoOf: incarnation(r.text()) };
      const shards = r.items((): ShardSeen => ({
        ...{ shard: shardName(r.text()), version: r.f64(), holder: nodeName(r.text()) },
        incarnation: incarnation(r.text()),
      }));
      return { kind: 'word', ...said, shards };
    }
    case Kind.quota: {
      const [shard, claimedAt] = [shardName(r.text()), revision(r.f64())];
      const teams = r.items((): QuotaNeed => ({
        ...{ team: r.text(), useCpus: r.f64(), useGpus: r.f64(), waitingCpus: r.f64(), waitingGpus: r.f64() },
        ...{ unitCpus: r.f64(), unitGpus: r.f64(), priority: r.u8(), waitedMs: r.f64() },
      }));
      return { kind: 'quota', shard, claimedAt, teams };
    }
    default:
      throw new FrameError(`unknown frame kind ${r.kind}`);
  }
}
