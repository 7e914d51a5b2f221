import assert from 'node:assert/strict';
import { test } from 'node:test';
import { renderDayPage, renderDayTable } from '../src/report/index.js';
import { playDay, shortDay } from './test-days.js';

test('the page of a played day contains its charts, loads nothing external and escapes all text', async () => {
  const day = shortDay(60, [{ kind: 'state_outage', at_s: 30, for_s: 5 }]);
  const result = await playDay(day);
  assert.equal(result.timeline.length, 13, 'one sample every five seconds, including both ends');
  const last = result.timeline.at(-1);
  assert.ok(last && (last.running['counter'] ?? 0) > 0 && last.controllersUp === 3 && last.machinesUp > 0);
  const breaches = [{ rule: 'quota', at: 1500, what: '<script>alert(1)</script>' }] as const;
  const page = await renderDayPage({ ...result, breaches }, day);
  assert.equal(page.match(/<svg/g)?.length, 5);
  assert.ok(page.includes('&lt;script&gt;') && !page.includes('<script'));
  const links = [...page.matchAll(/(?:src|href|url)\s*[=(]\s*["']?([^"')\s]+)/g)].map(([, target]) => target ?? '');
  assert.deepEqual(
    links.filter((target) => !target.startsWith('#') && !target.startsWith('http://www.w3.org/')),
    [],
  );
  for (const { name } of result.classes) assert.ok(page.includes(`<b>${name}</b>`), name);
  assert.ok(page.includes('state_outage at 30 s for 5 s'));
  const table = renderDayTable({ ...result, breaches });
  assert.match(table, /rules: 1 broken\n {2}1\.5 s quota: /);
  assert.match(renderDayTable(result), /rules: all kept/);
});
