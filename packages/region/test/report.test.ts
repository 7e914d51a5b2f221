import assert from 'node:assert/strict';
import { test } from 'node:test';
import { renderDayPage, renderDayTable } from '../src/report/index.js';
import { played, shortDay } from './days.js';

test('a played day as a page: charts inside, nothing from outside, and whatever was said is escaped', async () => {
  const day = shortDay(60, [{ kind: 'state_outage', at_s: 30, for_s: 5 }]);
  const result = await played(day);
  assert.equal(result.timeline.length, 13, 'a look every five seconds, at both ends too');
  const last = result.timeline.at(-1);
  assert.ok(last && (last.running['counter'] ?? 0) > 0 && last.controllersUp === 3 && last.machinesUp > 0);
  const breaches = [{ rule: 'quota', at: 1500, what: '<script>alert(1)</script>' }] as const;
  const page = await renderDayPage({ ...result, breaches }, day);
  assert.equal(page.match(/<svg/g)?.length, 5);
  assert.ok(page.includes('&lt;script&gt;') && !page.includes('<script'));
  const links = [...page.matchAll(/(?:src|href|url)\s*[=(]\s*["']?([^"')\s]+)/g)].map(([, to]) => to ?? '');
  assert.deepEqual(
    links.filter((to) => !to.startsWith('#') && !to.startsWith('http://www.w3.org/')),
    [],
  );
  for (const { name } of result.classes) assert.ok(page.includes(`<b>${name}</b>`), name);
  assert.ok(page.includes('state_outage at 30 s for 5 s'));
  const table = renderDayTable({ ...result, breaches });
  assert.match(table, /rules: 1 broken\n {2}1\.5 s quota: /);
  assert.match(renderDayTable(result), /rules: all kept/);
});
