import type { MachineType } from '../cloud/index.js';
import type { TeamFacts } from '../config/index.js';
import { Bits, type JobId, type Logger, type Revision, type Runtime, type ShardName } from '../kernel/index.js';
import { finalKey, Freshness, jobKey, Urgency, valueBytes, type Mirror, type StateClient } from '../state/index.js';
import { whyNever } from './admission.js';
import {
  decodeFinal,
  decodeRecord,
  encodeRecord,
  type JobFinal,
  type JobRecord,
  type JobSpec,
  type JobView,
} from './model.js';

/** The outcome of a user's request, before it is put in the users' words. */
export type Outcome =
  | { readonly kind: 'created'; readonly view: JobView }
  | { readonly kind: 'known'; readonly view: JobView }
  | { readonly kind: 'never'; readonly reason: string }
  | { readonly kind: 'malformed'; readonly reason: string }
  | { readonly kind: 'absent' }
  /** No answer is possible now; the user is told at once when to come back. */
  | { readonly kind: 'later'; readonly reason: string };

export type JobState =
  | { readonly kind: 'open'; readonly record: JobRecord; readonly version: Revision }
  | { readonly kind: 'ended'; readonly final: JobFinal; readonly version: Revision }
  | { readonly kind: 'absent' }
  | { readonly kind: 'unavailable' };

export interface RegistryHooks {
  /** Machine types, or null as long as they are unknown. */
  types(): readonly MachineType[] | null;
  /** `waits`: it will start later, so that room now says nothing. */
  chooseShard(spec: JobSpec, waits: boolean): ShardName | null;
  /** May jobs be stored that await others? */
  pipelines(): boolean;
  /** What an open job waits for; null: a job that it needs is cancelled, and so it has to be. */
  awaits(id: JobId): readonly JobId[] | null;
  running(id: JobId): { running: number; done: number };
  /** May users be told that it is cancelled: is it certain that its tasks end in time, whatever fails from now on? */
  carried(id: JobId, final: JobFinal, version: Revision): Promise<boolean>;
  /** It is known here, for the first time, to be over. */
  ended(id: JobId, final: JobFinal): void;
}

const later = (reason: string): Outcome => ({ kind: 'later', reason });
const MAX_FINALS = 20_000;
/** How much a record may grow after its acceptance, by its birth, its shard and the progress of a job of some size. */
const GROWS_BYTES = 300;
const FEW_TYPES = 4;

/** What those that a job awaits make of it. */
interface Before {
  /** Those that aren't over. */
  readonly left: readonly JobId[];
  /** One of them is cancelled. */
  readonly cancelled: boolean;
}
const NOTHING_BEFORE: Before = { left: [], cancelled: false };

/** Submissions, queries and cancellations: what is stored decides, and only a stored job is accepted. */
export class JobRegistry {
  /** Finals never change, so they may be kept. */
  private readonly finals = new Map<JobId, { readonly final: JobFinal; readonly version: Revision }>();
  /** Said to be cancelled by an earlier release, which says no more than that. */
  private readonly saidOver = new Set<JobId>();
  private readonly freshness: Freshness;

  constructor(
    private readonly state: StateClient,
    private readonly mirror: Mirror,
    private readonly teams: ReadonlyMap<string, TeamFacts>,
    private readonly hooks: RegistryHooks,
    private readonly runtime: Runtime,
    private readonly log: Logger,
  ) {
    this.freshness = new Freshness(state, mirror, runtime);
  }

  /** The present state of a job, read afresh; an ended job is in `finals` before it leaves `jobs`. */
  async look(id: JobId): Promise<JobState> {
    const cached = this.finals.get(id);
    if (cached) return { kind: 'ended', ...cached };
    const open = await this.state.get(jobKey(id));
    if (open.kind === 'unavailable') return { kind: 'unavailable' };
    if (open.kind === 'found') {
      const record = decodeRecord(open.entry.value);
      if (!record) return { kind: 'unavailable' };
      return { kind: 'open', record, version: open.entry.version };
    }
    const ended = await this.state.get(finalKey(id));
    if (ended.kind === 'unavailable') return { kind: 'unavailable' };
    if (ended.kind === 'absent') {
      // Accepted between the two reads: it is not absent, we were too early.
      return this.mirror.get(jobKey(id)) ? { kind: 'unavailable' } : { kind: 'absent' };
    }
    const final = decodeFinal(ended.entry.value);
    if (!final) return { kind: 'unavailable' };
    const { version } = ended.entry;
    this.remember(id, final, version);
    return { kind: 'ended', final, version };
  }

  /** How it ended, if that is known here. */
  finalOf(id: JobId): JobFinal | undefined {
    return this.finals.get(id)?.final;
  }

  /** Is it known here to be over? Whatever else is seen of it is older, and it is never taken up again. */
  isOver(id: JobId): boolean {
    return this.finals.has(id) || this.saidOver.has(id);
  }

  /** An earlier release says that it is stored as cancelled; how far it had come is not known. */
  heardOver(id: JobId): void {
    if (this.saidOver.size >= MAX_FINALS) this.saidOver.clear();
    this.saidOver.add(id);
  }

  /** It is over, by a final that was stored in this version. */
  remember(id: JobId, final: JobFinal, version: Revision): void {
    if (this.finals.size >= MAX_FINALS) {
      const oldest = this.finals.keys().next();
      if (!oldest.done) this.finals.delete(oldest.value);
    }
    const known = this.finals.has(id);
    this.finals.set(id, { final, version });
    if (!known) this.hooks.ended(id, final);
  }

  async submit(given: JobSpec, awaits: readonly JobId[] = []): Promise<Outcome> {
    const spec = this.storable(given);
    const types = this.hooks.types();
    const never = types === null ? null : whyNever(spec, this.teams, types);
    if (types === null || never !== null) {
      // A job accepted earlier stays accepted, whatever the settings or types say now.
      const known = await this.known(spec.id);
      if (known.kind === 'known' || known.kind === 'later') return known;
      return never === null ? later('machine types are not known yet') : { kind: 'never', reason: never };
    }
    const before = awaits.length === 0 ? NOTHING_BEFORE : await this.before(awaits);
    if ('kind' in before) {
      // Whatever its list says now, a job that was accepted is known.
      const known = await this.known(spec.id);
      return known.kind === 'absent' ? before : known;
    }
    if (before.cancelled) return this.acceptCancelled(spec.id);
    const { left } = before;
    const shard = this.hooks.chooseShard(spec, left.length > 0);
    if (!shard) {
      const known = await this.known(spec.id);
      return known.kind === 'absent' ? later('no shard is held yet') : known;
    }
    const done = Bits.empty(spec.tasks);
    const record: JobRecord = { spec, shard, submittedAt: this.runtime.wall(), done, awaits: left };
    const value = encodeRecord(record);
    if (valueBytes(value) + GROWS_BYTES > this.state.limits.valueBytes) {
      const known = await this.known(spec.id);
      return known.kind === 'absent' ? { kind: 'malformed', reason: 'it is too long to be stored' } : known;
    }
    const result = await this.state.txn(
      Urgency.accept,
      [
        { key: jobKey(spec.id), version: 0 },
        { key: finalKey(spec.id), version: 0 },
      ],
      [{ put: jobKey(spec.id), value }],
      1500,
    );
    if (result.kind === 'ok') {
      this.mirror.apply({ key: jobKey(spec.id), value, removed: false, version: result.revision });
      return { kind: 'created', view: { id: spec.id, phase: 'queued', done: 0, running: 0 } };
    }
    if (result.kind === 'conflict' || result.kind === 'unknown') {
      const known = await this.known(spec.id);
      // An unknown write may still be applied later: the user asks again and is then told so.
      return known.kind === 'absent' ? later('the outcome of the write is not known') : known;
    }
    return later('the state service takes no writes');
  }

  /** Only names of machine types that there are take room in what is stored. */
  private storable(spec: JobSpec): JobSpec {
    const types = this.hooks.types();
    if (!types || !spec.types || spec.types.length <= FEW_TYPES) return spec;
    const there = new Set(types.map(({ name }) => name));
    const kept = spec.types.filter((name) => there.has(name));
    return kept.length === 0 ? spec : { ...spec, types: kept };
  }

  /** What becomes of a job by those that it awaits, or why it can't be accepted now. */
  private async before(awaits: readonly JobId[]): Promise<Before | Outcome> {
    if (!this.hooks.pipelines()) return later('not every controller can take jobs that await others yet');
    const states = await Promise.all(awaits.map(async (id) => ({ id, state: await this.standing(id) })));
    const left: JobId[] = [];
    let cancelled = false;
    for (const { id, state } of states) {
      if (state.kind === 'unavailable') return later(`whether ${id} was accepted cannot be read`);
      if (state.kind === 'absent') return { kind: 'never', reason: `awaits: ${id} was never accepted` };
      if (state.kind === 'open' && state.record.spec.kind === 'service')
        return { kind: 'never', reason: `awaits: ${id} is a service, which is never done` };
      if (state.kind === 'open') left.push(id);
      else cancelled ||= state.final.phase === 'cancelled';
    }
    return { left, cancelled };
  }

  /** That a job is open may be a moment old: whoever waits for it learns of its end. That it never was may not. */
  private async standing(id: JobId): Promise<JobState> {
    return this.openInMirror(id, this.mirror.loaded) ?? this.look(id);
  }

  /** Accepted all the same, and over with what it needs. */
  private async acceptCancelled(id: JobId): Promise<Outcome> {
    const final: JobFinal = { phase: 'cancelled', done: 0, at: this.runtime.wall() };
    const guards = [
      { key: jobKey(id), version: 0 },
      { key: finalKey(id), version: 0 },
    ];
    const result = await this.state.txn(Urgency.accept, guards, [{ put: finalKey(id), value: final }], 1500);
    if (result.kind === 'refused' || result.kind === 'no-lease') return later('the state service takes no writes');
    if (result.kind === 'ok') {
      this.remember(id, final, result.revision);
      this.log.info({ job: id }, 'job accepted and cancelled: a job that it needs is cancelled');
      return { kind: 'created', view: { id, phase: 'cancelled', done: 0, running: 0 } };
    }
    const known = await this.known(id);
    return known.kind === 'absent' ? later('the outcome of the write is not known') : known;
  }

  private async known(id: JobId): Promise<Outcome> {
    return this.query(id);
  }

  async query(id: JobId): Promise<Outcome> {
    const state = this.openInMirror(id, await this.mayUseMirror(id)) ?? (await this.look(id));
    switch (state.kind) {
      case 'unavailable':
        return later('the state service cannot be read');
      case 'absent':
        return { kind: 'absent' };
      case 'ended': {
        const { final, version } = state;
        // Until then nobody is told: what is confirmed must come true with no help from anybody.
        if (final.phase === 'cancelled' && !(await this.hooks.carried(id, final, version)))
          return later('its cancellation has yet to reach every holder');
        return { kind: 'known', view: { id, phase: final.phase, done: final.done, running: 0 } };
      }
      case 'open': {
        const awaits = this.hooks.awaits(id);
        if (awaits === null) {
          // What it needs is cancelled: it is called so as soon as that is stored, by every node alike, and nothing else.
          const ended = await this.withdraw(id);
          return ended ? this.query(id) : later('it is being cancelled with a job that it needs');
        }
        const seen = this.hooks.running(id);
        const done = Math.min(state.record.spec.tasks, Math.max(seen.done, state.record.done.count));
        return {
          kind: 'known',
          view: { id, phase: seen.running > 0 || done > 0 ? 'running' : 'queued', done, running: seen.running, awaits },
        };
      }
    }
  }

  /** A job that is over needs no mirror: its final state can't change any more. */
  private mayUseMirror(id: JobId): Promise<boolean> {
    return this.finals.has(id) ? Promise.resolve(false) : this.freshness.ensure();
  }

  private openInMirror(id: JobId, fresh: boolean): JobState | null {
    const entry = fresh ? this.mirror.get(jobKey(id)) : undefined;
    const record = entry && !this.finals.has(id) ? decodeRecord(entry.value) : null;
    return entry && record ? { kind: 'open', record, version: entry.version } : null;
  }

  /** Ends a job because one that it needs is cancelled; true: it is over, by whoever's hand. */
  async withdraw(id: JobId): Promise<boolean> {
    for (let tries = 0; tries < 4; tries++) {
      const state = await this.look(id);
      if (state.kind === 'ended') return true;
      if (state.kind !== 'open') return false;
      const final: JobFinal = { phase: 'cancelled', done: state.record.done.count, at: this.runtime.wall() };
      const ended = await this.end(id, state.version, final, 1200);
      if (ended === 'ok') this.log.info({ job: id }, 'job cancelled with a job that it needs');
      if (ended !== 'conflict') return ended === 'ok';
    }
    return false;
  }

  async cancel(id: JobId): Promise<Outcome> {
    for (let tries = 0; tries < 4; tries++) {
      const state = await this.look(id);
      if (state.kind === 'unavailable') return later('the state service cannot be read');
      if (state.kind === 'absent') return { kind: 'absent' };
      if (state.kind === 'ended') return this.query(id);
      const done = Math.max(state.record.done.count, this.hooks.running(id).done);
      const ended = await this.end(id, state.version, { phase: 'cancelled', done, at: this.runtime.wall() }, 1200);
      if (ended === 'ok') {
        this.log.info({ job: id }, 'job cancelled by its user');
        return this.query(id);
      }
      if (ended === 'later') return later('the state service takes no writes');
    }
    return later('the job is changing too fast');
  }

  /** Ends a job in one transaction, so that it is always in exactly one of the two places. */
  async end(id: JobId, version: Revision, final: JobFinal, waitMs: number): Promise<'ok' | 'conflict' | 'later'> {
    const result = await this.state.txn(
      Urgency.final,
      [
        { key: jobKey(id), version },
        { key: finalKey(id), version: 0 },
      ],
      [{ remove: jobKey(id) }, { put: finalKey(id), value: final }],
      waitMs,
    );
    if (result.kind === 'ok') {
      this.remember(id, final, result.revision);
      this.mirror.apply({ key: jobKey(id), value: undefined, removed: true, version: result.revision });
      return 'ok';
    }
    return result.kind === 'conflict' || result.kind === 'unknown' ? 'conflict' : 'later';
  }
}
