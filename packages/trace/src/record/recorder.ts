import { HttpClient, ReconcileLoop, type Address, type Logger, type Runtime } from '../../../../src/kernel/index.js';
import { rank, type Cursor, type Gap, type Retention, type TraceRow, type TraceStore } from '../store/index.js';
import { advance, begin, readPage, type Page } from './follow.js';

export interface Source {
  readonly node: string;
  readonly at: Address;
}

export interface RecorderOptions {
  readonly pollMs: number;
  /** A segment is closed when it has so many rows, or is so old. */
  readonly segmentRows: number;
  readonly segmentMs: number;
  readonly keep: Retention;
}

/** At what the controllers' administration API says, a page holds at most so many events. */
const PAGE = 1000;
const ASK_TIMEOUT_MS = 4000;
const PAGES_AT_ONCE = 20;
const FIRST_PAUSE_MS = 500;
const LONGEST_PAUSE_MS = 10_000;
const FACTS_EVERY_MS = 60_000;
const KEEP_EVERY_MS = 500;
/** Segments that could not be written hold their rows here; beyond this nothing more is read. */
const MOST_OPEN_ROWS = 200_000;

interface Follower extends Source {
  readonly client: HttpClient;
  cursor: Cursor;
  /** One reading at a time: a late page of an earlier life would look like another restart. */
  reading: boolean;
  failures: number;
  notBefore: number;
  /** Whether the last call failed, so that each change is told once. */
  silent: string | null;
}

/**
 * Follows all controllers' trails and keeps what they tell, each event once. What it holds at any time is told
 * by the cursors that are kept beside the rows: killed anywhere, it goes on from there, and loses what it had not
 * kept only if the controllers have forgotten it meanwhile; then that is a gap.
 */
export class Recorder {
  private readonly followers: Follower[] = [];
  private readonly loops: ReconcileLoop[] = [];
  private open: TraceRow[] = [];
  private openSince: number;
  private gaps: Gap[];
  private facts: Readonly<Record<string, unknown>> | null;
  private factsAt = -Infinity;
  private sealing = false;
  readonly counts = { taken: 0, repeated: 0, segments: 0 };

  constructor(
    private readonly store: TraceStore,
    /** The best telling of each event that is kept already. */
    private readonly known: Map<string, TraceRow>,
    sources: readonly Source[],
    private readonly options: RecorderOptions,
    private readonly runtime: Runtime,
    private readonly log: Logger,
  ) {
    const { manifest } = store;
    this.gaps = [...manifest.gaps];
    this.facts = manifest.facts;
    this.openSince = runtime.now();
    for (const source of sources) this.add(source);
  }

  start(): void {
    for (const follower of this.followers) this.loop(follower);
    const everyMs = Math.min(KEEP_EVERY_MS, this.options.segmentMs / 2);
    const segments = new ReconcileLoop('segments', everyMs, this.runtime, this.log, () => this.keep());
    this.loops.push(segments);
    segments.start();
  }

  /** One controller more, while others are read already; asked twice, it is followed once. */
  follow(source: Source): void {
    if (!this.followers.some(({ node }) => node === source.node)) this.loop(this.add(source));
  }

  private add({ node, at }: Source): Follower {
    const follower: Follower = {
      ...{ node, at, client: new HttpClient(at, 1, this.runtime), reading: false, failures: 0 },
      ...{ notBefore: 0, silent: null },
      cursor: this.store.manifest.cursors.find((cursor) => cursor.node === node) ?? begin(node),
    };
    this.followers.push(follower);
    return follower;
  }

  private loop(follower: Follower): void {
    const { runtime, log, options } = this;
    const work = (): Promise<void> => this.read(follower);
    const loop = new ReconcileLoop(`follow ${follower.node}`, options.pollMs, runtime, log, work);
    this.loops.push(loop);
    loop.start();
  }

  /** Reads once more, keeps everything, and ends. */
  async close(): Promise<void> {
    for (const loop of this.loops) loop.stop();
    while (this.sealing || this.followers.some(({ reading }) => reading)) await this.runtime.sleep(10);
    await Promise.all(this.followers.map((follower) => this.read(follower)));
    await this.seal();
    for (const { client } of this.followers) client.close();
  }

  private async read(follower: Follower): Promise<void> {
    if (follower.reading || this.runtime.now() < follower.notBefore || this.open.length >= MOST_OPEN_ROWS) return;
    follower.reading = true;
    try {
      await this.readPages(follower);
    } finally {
      follower.reading = false;
    }
  }

  private async readPages(follower: Follower): Promise<void> {
    for (let pages = 0; pages < PAGES_AT_ONCE; pages++) {
      const askedAt = this.runtime.wall();
      const page = await this.ask(follower);
      if (!page) return;
      const before = follower.cursor.life;
      const step = advance(follower.cursor, page, askedAt);
      follower.cursor = step.cursor;
      this.takeGaps(follower.node, step.gaps, step.rows[0]?.at ?? null);
      for (const row of step.rows) this.take(row);
      if (before !== null && before !== step.cursor.life)
        this.log.info({ node: follower.node }, 'the controller began anew: what it told last may be missing');
      if (!step.more) break;
    }
    if (this.runtime.now() - this.factsAt >= FACTS_EVERY_MS) await this.learnFacts(follower);
  }

  private async ask(follower: Follower): Promise<Page | null> {
    const { client, cursor, node } = follower;
    const path = `/admin/v1/trail?after=${cursor.after}&limit=${PAGE}`;
    const answer = await client.call({ method: 'GET', path, timeoutMs: ASK_TIMEOUT_MS });
    const page = answer.kind === 'answered' && answer.status === 200 ? readPage(answer.body) : null;
    if (page && page.node === node) {
      if (follower.silent !== null) this.log.info({ node }, 'the controller can be read again');
      follower.silent = null;
      follower.failures = 0;
      return page;
    }
    let why = 'its answer is no page of a trail';
    if (answer.kind === 'failed') why = answer.reason;
    else if (page) why = `it is ${page.node}`;
    else if (answer.status === 404) why = 'it keeps no trail: serve --trail EVENTS';
    else if (answer.status !== 200) why = `status ${answer.status}`;
    if (follower.silent !== why) this.log.warn({ node, why }, 'a controller cannot be read: it is asked again');
    follower.silent = why;
    const pause = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** follower.failures);
    const saidMs = answer.kind === 'answered' ? (answer.retryAfterS ?? 0) * 1000 : 0;
    follower.failures = Math.min(follower.failures + 1, 10);
    follower.notBefore = this.runtime.now() + Math.max(saidMs, pause * (0.75 + this.runtime.random() / 2));
    return null;
  }

  private async learnFacts(follower: Follower): Promise<void> {
    const path = '/admin/v1/trail/facts';
    const answer = await follower.client.call({ method: 'GET', path, timeoutMs: ASK_TIMEOUT_MS });
    if (answer.kind !== 'answered' || answer.status !== 200) return;
    const facts = answer.body as Readonly<Record<string, unknown>>;
    // A controller that has just begun knows no machine types yet.
    if (!Array.isArray(facts['types']) || facts['types'].length === 0) return;
    this.facts = facts;
    this.factsAt = this.runtime.now();
  }

  /** The same event counts once; a better telling of it replaces, or follows, the one that was there. */
  private take(row: TraceRow): void {
    const known = this.known.get(row.id);
    if (known && rank(known) <= rank(row)) {
      this.counts.repeated += 1;
      return;
    }
    this.known.set(row.id, row);
    this.counts.taken += 1;
    this.open.push(row);
  }

  private takeGaps(node: string, gaps: readonly Gap[], firstAt: number | null): void {
    // An end that nobody could date is not later than what comes next.
    if (firstAt !== null)
      this.gaps = this.gaps.map((gap) =>
        gap.node === node && gap.why === 'ended' && gap.untilMs === null ? { ...gap, untilMs: firstAt } : gap,
      );
    for (const gap of gaps) {
      this.gaps.push(gap);
      this.log.warn({ ...gap }, 'events are missing: the gap is kept with the trace');
    }
  }

  private async keep(): Promise<void> {
    const old = this.runtime.now() - this.openSince >= this.options.segmentMs;
    if (!old && this.open.length < this.options.segmentRows) return;
    await this.seal();
  }

  /** Writes what is open; when that fails it stays open, and is written with the next. */
  private async seal(): Promise<void> {
    if (this.sealing) return;
    this.sealing = true;
    const rows = this.open;
    this.open = [];
    this.openSince = this.runtime.now();
    const wall = this.runtime.wall();
    // As of now: events that come while this is written are beyond these cursors and in the next segment.
    const cursors = this.cursors();
    const gaps = [...this.gaps];
    try {
      await this.store.seal(rows, { recordedToMs: wall, facts: this.facts as Record<string, unknown>, cursors, gaps });
      if (rows.length > 0) this.counts.segments += 1;
      const dropped = await this.store.retain(this.options.keep, wall);
      if (dropped > 0) {
        this.gaps = [...this.store.manifest.gaps, ...this.gaps.slice(gaps.length)];
        this.log.info({ segments: dropped }, 'dropped the oldest segments for their age or size');
      }
    } catch (error) {
      this.open = [...rows, ...this.open];
      this.log.error({ err: error, rows: rows.length }, 'a segment cannot be written: its rows wait');
    } finally {
      this.sealing = false;
    }
  }

  /** Of all controllers that were ever followed: one that is left out today may be back tomorrow. */
  private cursors(): Cursor[] {
    const own = this.followers.map(({ cursor }) => cursor);
    const names = new Set(own.map(({ node }) => node));
    return [...this.store.manifest.cursors.filter(({ node }) => !names.has(node)), ...own];
  }
}
