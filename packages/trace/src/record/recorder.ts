import { HttpClient, ReconcileLoop, type Address, type Logger, type Runtime } from '../../../../src/kernel/index.js';
import { rank, type Cursor, type Gap, type Retention, type TraceRow, type TraceStore } from '../store/index.js';
import { applyPage, initialCursor, parseTrailPage, type TrailPage } from './trail-cursor.js';

/** A controller whose trail is recorded. */
export interface TrailSource {
  /** Name of the controller. */
  readonly node: string;
  /** Address of its administration API. */
  readonly at: Address;
}

/** Settings of a Recorder. */
export interface RecorderOptions {
  /** Interval between polls of each controller. */
  readonly pollMs: number;
  /** A segment is sealed when it has this many rows or reaches the age `segmentMs`. */
  readonly segmentRows: number;
  readonly segmentMs: number;
  /** Limits beyond which the oldest segments are deleted. */
  readonly keep: Retention;
}

/** Maximum number of events in a page of the controllers' administration API. */
const MAX_PAGE_EVENTS = 1000;
const REQUEST_TIMEOUT_MS = 4000;
const MAX_PAGES_PER_POLL = 20;
const INITIAL_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 10_000;
const FACTS_INTERVAL_MS = 60_000;
const SEAL_CHECK_INTERVAL_MS = 500;
/** Rows that cannot be written stay in memory; polling pauses while there are this many. */
const MAX_UNSEALED_ROWS = 200_000;

/** State of reading one controller's trail. */
interface Follower extends TrailSource {
  readonly client: HttpClient;
  cursor: Cursor;
  /** A poll is in progress. Polls must not overlap: a late page of an earlier incarnation would look like a restart. */
  polling: boolean;
  /** Number of consecutive failed requests, at most 10. */
  failures: number;
  /** Earliest time of the next poll, by the monotonic clock. */
  nextPollMs: number;
  /** Why the last request failed, or null; each change is logged once. */
  lastError: string | null;
}

/**
 * Follows the trails of all controllers and stores each event once. The cursors are stored together with the rows that
 * they cover, so a recorder that is killed at any point resumes from them. Events that it had read but not stored are
 * requested again; if the controllers have dropped them meanwhile, they are lost and recorded as a gap.
 */
export class Recorder {
  private readonly followers: Follower[] = [];
  private readonly loops: ReconcileLoop[] = [];
  private unsealedRows: TraceRow[] = [];
  private lastSealMs: number;
  private gaps: Gap[];
  private facts: Readonly<Record<string, unknown>> | null;
  private factsReadMs = -Infinity;
  private sealing = false;
  /** Rows added, duplicate reports ignored and segments written since the start. */
  readonly counts = { added: 0, duplicates: 0, segments: 0 };

  constructor(
    private readonly store: TraceStore,
    /** The preferred row of each recorded event, by event id. */
    private readonly rowsById: Map<string, TraceRow>,
    sources: readonly TrailSource[],
    private readonly options: RecorderOptions,
    private readonly runtime: Runtime,
    private readonly log: Logger,
  ) {
    const { manifest } = store;
    this.gaps = [...manifest.gaps];
    this.facts = manifest.facts;
    this.lastSealMs = runtime.now();
    for (const source of sources) this.addFollower(source);
  }

  /** Starts polling the controllers and sealing segments. */
  start(): void {
    for (const follower of this.followers) this.startPolling(follower);
    const intervalMs = Math.min(SEAL_CHECK_INTERVAL_MS, this.options.segmentMs / 2);
    const sealLoop = new ReconcileLoop('segments', intervalMs, this.runtime, this.log, () => this.sealIfDue());
    this.loops.push(sealLoop);
    sealLoop.start();
  }

  /** Follows a further controller after the start; does nothing if it is followed already. */
  follow(source: TrailSource): void {
    if (!this.followers.some(({ node }) => node === source.node)) this.startPolling(this.addFollower(source));
  }

  private addFollower({ node, at }: TrailSource): Follower {
    const follower: Follower = {
      ...{ node, at, client: new HttpClient(at, 1, this.runtime), polling: false, failures: 0 },
      ...{ nextPollMs: 0, lastError: null },
      cursor: this.store.manifest.cursors.find((cursor) => cursor.node === node) ?? initialCursor(node),
    };
    this.followers.push(follower);
    return follower;
  }

  private startPolling(follower: Follower): void {
    const { runtime, log, options } = this;
    const poll = (): Promise<void> => this.poll(follower);
    const loop = new ReconcileLoop(`follow ${follower.node}`, options.pollMs, runtime, log, poll);
    this.loops.push(loop);
    loop.start();
  }

  /** Polls every controller once more, writes all rows, and stops. */
  async close(): Promise<void> {
    for (const loop of this.loops) loop.stop();
    while (this.sealing || this.followers.some(({ polling }) => polling)) await this.runtime.sleep(10);
    await Promise.all(this.followers.map((follower) => this.poll(follower)));
    await this.seal();
    for (const { client } of this.followers) client.close();
  }

  private async poll(follower: Follower): Promise<void> {
    if (follower.polling || this.runtime.now() < follower.nextPollMs || this.unsealedRows.length >= MAX_UNSEALED_ROWS)
      return;
    follower.polling = true;
    try {
      await this.fetchPages(follower);
    } finally {
      follower.polling = false;
    }
  }

  private async fetchPages(follower: Follower): Promise<void> {
    for (let pages = 0; pages < MAX_PAGES_PER_POLL; pages++) {
      const requestedMs = this.runtime.wall();
      const page = await this.requestPage(follower);
      if (!page) return;
      const previousLife = follower.cursor.life;
      const result = applyPage(follower.cursor, page, requestedMs);
      follower.cursor = result.cursor;
      this.addGaps(follower.node, result.gaps, result.rows[0]?.at ?? null);
      for (const row of result.rows) this.addRow(row);
      if (previousLife !== null && previousLife !== result.cursor.life)
        this.log.info(
          { node: follower.node },
          'controller has restarted: its last events before the restart may be missing',
        );
      if (!result.more) break;
    }
    if (this.runtime.now() - this.factsReadMs >= FACTS_INTERVAL_MS) await this.refreshFacts(follower);
  }

  /** Requests the next page; on failure logs the reason, sets the backoff and returns null. */
  private async requestPage(follower: Follower): Promise<TrailPage | null> {
    const { client, cursor, node } = follower;
    const path = `/admin/v1/trail?after=${cursor.after}&limit=${MAX_PAGE_EVENTS}`;
    const answer = await client.call({ method: 'GET', path, timeoutMs: REQUEST_TIMEOUT_MS });
    const page = answer.kind === 'answered' && answer.status === 200 ? parseTrailPage(answer.body) : null;
    if (page && page.node === node) {
      if (follower.lastError !== null) this.log.info({ node }, 'controller trail can be read again');
      follower.lastError = null;
      follower.failures = 0;
      return page;
    }
    let why = 'response is not a trail page';
    if (answer.kind === 'failed') why = answer.reason;
    else if (page) why = `address belongs to controller ${page.node}`;
    else if (answer.status === 404) why = 'controller keeps no trail: start it with serve --trail EVENTS';
    else if (answer.status !== 200) why = `HTTP status ${answer.status}`;
    if (follower.lastError !== why) this.log.warn({ node, why }, 'cannot read controller trail: retrying');
    follower.lastError = why;
    const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** follower.failures);
    const retryAfterMs = answer.kind === 'answered' ? (answer.retryAfterS ?? 0) * 1000 : 0;
    follower.failures = Math.min(follower.failures + 1, 10);
    follower.nextPollMs = this.runtime.now() + Math.max(retryAfterMs, backoffMs * (0.75 + this.runtime.random() / 2));
    return null;
  }

  /** Reads the machine types, teams and limits that the controller reports. */
  private async refreshFacts(follower: Follower): Promise<void> {
    const path = '/admin/v1/trail/facts';
    const answer = await follower.client.call({ method: 'GET', path, timeoutMs: REQUEST_TIMEOUT_MS });
    if (answer.kind !== 'answered' || answer.status !== 200) return;
    const facts = answer.body as Readonly<Record<string, unknown>>;
    // A controller that has just started knows no machine types yet.
    if (!Array.isArray(facts['types']) || facts['types'].length === 0) return;
    this.facts = facts;
    this.factsReadMs = this.runtime.now();
  }

  /**
   * Adds a row unless its event is recorded already. A report that is preferred to the recorded one is added as
   * a further row; readers choose between the two.
   */
  private addRow(row: TraceRow): void {
    const known = this.rowsById.get(row.id);
    if (known && rank(known) <= rank(row)) {
      this.counts.duplicates += 1;
      return;
    }
    this.rowsById.set(row.id, row);
    this.counts.added += 1;
    this.unsealedRows.push(row);
  }

  /** Records gaps; `firstEventMs` is the time of the controller's first new event, or null. */
  private addGaps(node: string, gaps: readonly Gap[], firstEventMs: number | null): void {
    // A gap of an ended incarnation whose end is unknown ends no later than the next event of the controller.
    if (firstEventMs !== null)
      this.gaps = this.gaps.map((gap) =>
        gap.node === node && gap.why === 'ended' && gap.untilMs === null ? { ...gap, untilMs: firstEventMs } : gap,
      );
    for (const gap of gaps) {
      this.gaps.push(gap);
      this.log.warn({ ...gap }, 'events are missing: recording a gap in the trace');
    }
  }

  private async sealIfDue(): Promise<void> {
    const due = this.runtime.now() - this.lastSealMs >= this.options.segmentMs;
    if (!due && this.unsealedRows.length < this.options.segmentRows) return;
    await this.seal();
  }

  /** Writes the unsealed rows as a segment. If that fails, they are kept and written with the next segment. */
  private async seal(): Promise<void> {
    if (this.sealing) return;
    this.sealing = true;
    const rows = this.unsealedRows;
    this.unsealedRows = [];
    this.lastSealMs = this.runtime.now();
    const wallMs = this.runtime.wall();
    // Taken before the write: events that arrive during it are beyond these cursors and go into the next segment.
    const cursors = this.allCursors();
    const gaps = [...this.gaps];
    try {
      await this.store.seal(rows, {
        recordedToMs: wallMs,
        facts: this.facts as Record<string, unknown>,
        cursors,
        gaps,
      });
      if (rows.length > 0) this.counts.segments += 1;
      const dropped = await this.store.applyRetention(this.options.keep, wallMs);
      if (dropped > 0) {
        this.gaps = [...this.store.manifest.gaps, ...this.gaps.slice(gaps.length)];
        this.log.info({ segments: dropped }, 'dropped the oldest segments because of their age or size');
      }
    } catch (error) {
      this.unsealedRows = [...rows, ...this.unsealedRows];
      this.log.error(
        { err: error, rows: rows.length },
        'cannot write segment: keeping its rows in memory for the next one',
      );
    } finally {
      this.sealing = false;
    }
  }

  /** Cursors of all controllers that were ever followed: one that is not followed now may be followed again later. */
  private allCursors(): Cursor[] {
    const current = this.followers.map(({ cursor }) => cursor);
    const nodes = new Set(current.map(({ node }) => node));
    return [...this.store.manifest.cursors.filter(({ node }) => !nodes.has(node)), ...current];
  }
}
