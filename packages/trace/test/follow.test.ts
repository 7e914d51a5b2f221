import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { Trail } from '../../../src/trail/index.js';
import { shardName, wallMillis } from '../../../src/kernel/index.js';
import { advance, begin, mergeRows, readEvent, unread, type Cursor, type Gap, type TraceRow } from '../src/index.js';

/** A controller with a small ring, that ends and begins anew. */
class Told {
  private life = 0;
  private clock = 1000;
  private trail = this.born();
  /** How many events each life told in all. */
  readonly told = new Map<string, number>();

  private born(): Trail {
    this.life += 1;
    return new Trail(8, { wall: () => wallMillis(this.clock) });
  }

  note(count: number): void {
    for (let i = 0; i < count; i++) {
      this.clock += 10;
      this.trail.record({ kind: 'claimed', shard: shardName('s') });
      this.told.set(`life-${this.life}`, (this.told.get(`life-${this.life}`) ?? 0) + 1);
    }
  }

  restart(): void {
    this.trail = this.born();
  }

  page(after: number): Parameters<typeof advance>[1] {
    return { node: 'n', incarnation: `life-${this.life}`, ...this.trail.page(after, 5) };
  }
}

test('every event that a controller told is in the rows once, or in a gap', () => {
  const steps = fc.array(
    fc.oneof(
      fc.record({ do: fc.constant('note' as const), count: fc.integer({ min: 0, max: 20 }) }),
      fc.record({ do: fc.constant('read' as const), count: fc.constant(0) }),
      fc.record({ do: fc.constant('restart' as const), count: fc.constant(0) }),
    ),
    { maxLength: 30 },
  );
  fc.assert(
    fc.property(steps, (plan) => {
      const told = new Told();
      let cursor: Cursor = begin('n');
      const rows: TraceRow[] = [];
      const gaps: Gap[] = [];
      const read = (): void => {
        for (let more = true; more;) {
          const step = advance(cursor, told.page(cursor.after), 0);
          rows.push(...step.rows);
          gaps.push(...step.gaps);
          ({ cursor, more } = step);
        }
      };
      for (const step of plan) {
        if (step.do === 'note') told.note(step.count);
        else if (step.do === 'restart') told.restart();
        else read();
      }
      read();
      // The plain model: one set of numbers for each life that anybody knew of.
      for (const [life, count] of told.told) {
        const seen = rows.filter((row) => row.life === life).map((row) => row.n);
        assert.equal(new Set(seen).size, seen.length, 'an event twice');
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

test('a task that two controllers tell of begins once, when it was seen to begin', () => {
  const event = (adopted: boolean, at: number, n: number): unknown => ({
    ...{ n, at, kind: 'began', job: 'j-1', index: 0, attempt: 7, machine: 'm', adopted },
  });
  const found = readEvent(event(true, 5000, 1), 'b', 'life');
  const seen = readEvent(event(false, 5020, 9), 'a', 'life');
  assert.ok(found && seen);
  for (const order of [
    [found, seen],
    [seen, found],
  ]) {
    const { rows, repeated } = mergeRows(order);
    assert.deepEqual([rows.length, repeated, rows[0]?.node], [1, 1, 'a']);
  }
});

test('events without form are a gap, and nobody asks for them for ever', () => {
  const page = { node: 'n', incarnation: 'x', first: 1, next: 4, events: [{ n: 'one' }, 7, null] };
  const step = advance(begin('n'), page, 0);
  assert.deepEqual([step.rows.length, step.more, step.gaps[0]?.why, step.gaps[0]?.toN], [0, false, 'malformed', 3]);
  assert.equal(readEvent({ n: 1, at: Number.NaN, kind: 'up' }, 'n', 'x'), null);
  assert.equal(readEvent({ n: 1, at: 5, kind: 'of-tomorrow', more: 1 }, 'n', 'x')?.detail, '{"more":1}');
});

test('a controller that nobody read up to the end is a gap', () => {
  const cursor: Cursor = { node: 'n', life: 'x', after: 4, lastAt: 1000, readToMs: 2000 };
  assert.deepEqual(unread([cursor], 9000, 10_000), []);
  assert.equal(unread([cursor], 90_000, 10_000)[0]?.fromN, 5);
  assert.equal(unread([begin('m')], 0, 10_000)[0]?.why, 'unread');
});
