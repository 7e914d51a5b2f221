import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { Trail } from '../../../src/trail/index.js';
import { shardName, wallMillis } from '../../../src/kernel/index.js';
import {
  applyPage,
  initialCursor,
  mergeRows,
  parseEvent,
  unreadGaps,
  type Cursor,
  type Gap,
  type TraceRow,
} from '../src/index.js';

/** A controller that keeps only its last eight events and can restart. */
class SimulatedController {
  private incarnations = 0;
  private clockMs = 1000;
  private trail = this.newTrail();
  /** Number of events of each incarnation. */
  readonly eventCounts = new Map<string, number>();

  private newTrail(): Trail {
    this.incarnations += 1;
    return new Trail(8, { wall: () => wallMillis(this.clockMs) });
  }

  addEvents(count: number): void {
    for (let i = 0; i < count; i++) {
      this.clockMs += 10;
      this.trail.record({ kind: 'claimed', shard: shardName('s') });
      this.eventCounts.set(`life-${this.incarnations}`, (this.eventCounts.get(`life-${this.incarnations}`) ?? 0) + 1);
    }
  }

  restart(): void {
    this.trail = this.newTrail();
  }

  page(after: number): Parameters<typeof applyPage>[1] {
    return { node: 'n', incarnation: `life-${this.incarnations}`, ...this.trail.page(after, 5) };
  }
}

test('every event of a controller is either in the rows once or in a gap', () => {
  const steps = fc.array(
    fc.oneof(
      fc.record({ do: fc.constant('add' as const), count: fc.integer({ min: 0, max: 20 }) }),
      fc.record({ do: fc.constant('read' as const), count: fc.constant(0) }),
      fc.record({ do: fc.constant('restart' as const), count: fc.constant(0) }),
    ),
    { maxLength: 30 },
  );
  fc.assert(
    fc.property(steps, (plan) => {
      const controller = new SimulatedController();
      let cursor: Cursor = initialCursor('n');
      const rows: TraceRow[] = [];
      const gaps: Gap[] = [];
      const read = (): void => {
        for (let more = true; more;) {
          const result = applyPage(cursor, controller.page(cursor.after), 0);
          rows.push(...result.rows);
          gaps.push(...result.gaps);
          ({ cursor, more } = result);
        }
      };
      for (const step of plan) {
        if (step.do === 'add') controller.addEvents(step.count);
        else if (step.do === 'restart') controller.restart();
        else read();
      }
      read();
      // Reference model: the set of event numbers of each incarnation that the reader has seen.
      for (const [life, count] of controller.eventCounts) {
        const seen = rows.filter((row) => row.life === life).map((row) => row.n);
        assert.equal(new Set(seen).size, seen.length, 'duplicate event');
        const known = seen.length > 0 || cursor.life === life;
        if (!known) continue;
        for (let n = 1; n <= count; n++) {
          const missing = gaps.some(
            (gap) => gap.life === life && (gap.fromN ?? 0) <= n && n <= (gap.toN ?? Number.POSITIVE_INFINITY),
          );
          assert.equal(
            seen.includes(n) !== missing,
            true,
            `event ${n} of ${life}: seen ${seen.includes(n)}, gap ${missing}`,
          );
        }
      }
    }),
    { numRuns: 300, seed: 11 },
  );
});

test('a task start reported by two controllers is merged into the report that observed it', () => {
  const event = (adopted: boolean, at: number, n: number): unknown => ({
    ...{ n, at, kind: 'began', job: 'j-1', index: 0, attempt: 7, machine: 'm', adopted },
  });
  const adopted = parseEvent(event(true, 5000, 1), 'b', 'life');
  const observed = parseEvent(event(false, 5020, 9), 'a', 'life');
  assert.ok(adopted && observed);
  for (const order of [
    [adopted, observed],
    [observed, adopted],
  ]) {
    const { rows, duplicates } = mergeRows(order);
    assert.deepEqual([rows.length, duplicates, rows[0]?.node], [1, 1, 'a']);
  }
});

test('malformed events are recorded as a gap and not requested again', () => {
  const page = { node: 'n', incarnation: 'x', first: 1, next: 4, events: [{ n: 'one' }, 7, null] };
  const result = applyPage(initialCursor('n'), page, 0);
  assert.deepEqual(
    [result.rows.length, result.more, result.gaps[0]?.why, result.gaps[0]?.toN],
    [0, false, 'malformed', 3],
  );
  assert.equal(parseEvent({ n: 1, at: Number.NaN, kind: 'up' }, 'n', 'x'), null);
  assert.equal(parseEvent({ n: 1, at: 5, kind: 'of-tomorrow', more: 1 }, 'n', 'x')?.detail, '{"more":1}');
});

test('a controller that was not read up to the end of the recording has a gap', () => {
  const cursor: Cursor = { node: 'n', life: 'x', after: 4, lastAt: 1000, readToMs: 2000 };
  assert.deepEqual(unreadGaps([cursor], 9000, 10_000), []);
  assert.equal(unreadGaps([cursor], 90_000, 10_000)[0]?.fromN, 5);
  assert.equal(unreadGaps([initialCursor('m')], 0, 10_000)[0]?.why, 'unread');
});
