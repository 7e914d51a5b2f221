import Table from 'cli-table3';
import { Eta } from 'eta';
import { parquetWriteBuffer } from 'hyparquet-writer';
import { DateTime } from 'luxon';
import { svg } from '../../../region/src/index.js';
import type { Gap } from '../../../trace/src/index.js';
import type { Fared } from './classes.js';
import type { Forecast, JobForecast } from './forecast.js';

/** What a report needs beside the forecast itself. */
export interface ReportFacts {
  readonly fromMs: number;
  readonly zone: string;
  readonly gaps: readonly Gap[];
}

const clock = (atS: number | null, { fromMs, zone }: ReportFacts): string =>
  atS === null ? '-' : DateTime.fromMillis(fromMs + atS * 1000, { zone }).toFormat('HH:mm:ss');
const signed = (s: number): string => `${s >= 0 ? '+' : ''}${s.toFixed(1)}`;
const later = (laterS: number | null): string => (laterS === null ? 'does not end' : `${signed(laterS)} s`);
const percent = (share: number | undefined): string => (share === undefined ? '-' : `${(share * 100).toFixed(1)} %`);

/** The jobs for which the plan matters, the most first. */
export const changedMost = ({ jobs }: Forecast): JobForecast[] =>
  jobs
    .filter(({ differs, changed }) => differs || changed !== null)
    .sort((a, b) => Math.abs(b.laterS ?? Infinity) - Math.abs(a.laterS ?? Infinity) || (a.id < b.id ? -1 : 1));

const behind = (job: JobForecast): string =>
  [job.changed, ...job.decided].filter((text): text is string => text !== null).join('; ');

export function gapText(gap: Gap, facts: ReportFacts): string {
  const at = (ms: number | null, open: string): string =>
    ms === null ? open : clock((ms - facts.fromMs) / 1000, facts);
  const numbers = gap.fromN === null ? '' : `, from event ${gap.fromN}${gap.toN === null ? ' on' : ` to ${gap.toN}`}`;
  return `${gap.node}: ${gap.why}${numbers}, between ${at(gap.sinceMs, 'the beginning')} and ${at(gap.untilMs, 'an unknown moment')}`;
}

type Row = readonly [string, Fared | undefined, Fared | undefined, Fared | undefined];

function rows({ recorded, unchanged, planned }: Forecast['classes']): Row[] {
  const names = [...new Set([...recorded.keys(), ...planned.keys()])].sort();
  return names.map((name) => [name, recorded.get(name), unchanged.get(name), planned.get(name)]);
}

const aimLines = ([, recorded, unchanged, planned]: Row): string[] =>
  [...new Set([recorded, planned].flatMap((f) => Object.keys(f?.aims ?? {})))].map(
    (aim) =>
      `${aim}: ${percent(recorded?.aims[aim])} > ${percent(unchanged?.aims[aim])} > ${percent(planned?.aims[aim])}`,
  );
const pair = (q: Fared['finishS'] | undefined): string => (q ? `${q.p50} / ${q.p95}` : '-');
const triple = (row: Row, read: (f: Fared) => string): string =>
  row
    .slice(1)
    .map((f) => (typeof f === 'object' ? read(f) : '-'))
    .join(' > ');

/** The answer for a terminal. */
export function forecastTable(forecast: Forecast, facts: ReportFacts): string {
  const groups = new Table({
    head: ['', 'jobs', 'finished s', 'waits s', 'restarts', 'aims met'],
    style: { head: [], border: [] },
  });
  for (const kind of ['classes', 'teams'] as const)
    for (const row of rows(forecast[kind]))
      groups.push([
        kind === 'teams' ? `team ${row[0]}` : row[0],
        triple(row, (f) => String(f.jobs)),
        triple(row, (f) => pair(f.finishS)),
        triple(row, (f) => pair(f.waitS)),
        triple(row, (f) => String(f.restarts)),
        aimLines(row).join('\n') || '-',
      ]);
  const most = changedMost(forecast);
  const jobs = new Table({
    head: ['job', 'class', 'team', 'recorded', 'unchanged', 'planned', 'nine in ten', 'later', 'what decided it'],
    style: { head: [], border: [] },
    wordWrap: true,
    colWidths: [null, null, null, null, null, null, null, null, 46],
  });
  for (const job of most.slice(0, 20)) {
    const { id, recordedS, unchangedS, plannedS, intervalS, laterS, estimated } = job;
    const bounds = intervalS ? `${clock(intervalS[0], facts)}\n${clock(intervalS[1], facts)}` : '-';
    jobs.push([
      `${id}${estimated ? ' *' : ''}`,
      ...[job.class, job.team, clock(recordedS, facts), clock(unchangedS, facts), clock(plannedS, facts)],
      ...[bounds, later(laterS), behind(job)],
    ]);
  }
  const from =
    forecast.fromS === null ? 'it changes nothing' : `its first difference is at ${clock(forecast.fromS, facts)}`;
  return [
    `${forecast.plan}: ${from}; ${forecast.seeds.length} replays each; times of day in ${facts.zone}`,
    groups.toString(),
    'recorded > replayed unchanged > planned; times in seconds at the 50th / 95th percentile',
    `money for machines: ${forecast.money.unchanged.toFixed(2)} unchanged, ${forecast.money.planned.toFixed(2)} planned`,
    most.length === 0 ? 'no job is touched beyond the tolerance' : `${most.length} jobs are touched, the most first:`,
    ...(most.length === 0 ? [] : [jobs.toString()]),
    ...(most.some(({ estimated }) => estimated) ? ['* some of its run time was never seen, and is estimated'] : []),
    ...facts.gaps.map((gap) => `missing in the record: ${gapText(gap, facts)}`),
  ].join('\n');
}

/** All jobs of a forecast as one Parquet file. */
export function forecastColumns({ jobs, plan }: Forecast): Uint8Array {
  const column = <T>(read: (job: JobForecast) => T): T[] => jobs.map(read);
  return new Uint8Array(
    parquetWriteBuffer({
      kvMetadata: [{ key: 'plan', value: plan }],
      columnData: [
        { name: 'job', data: column((j) => j.id), type: 'STRING', nullable: false },
        { name: 'class', data: column((j) => j.class), type: 'STRING', nullable: false },
        { name: 'team', data: column((j) => j.team), type: 'STRING', nullable: false },
        { name: 'submitted_s', data: column((j) => j.submittedS), type: 'DOUBLE', nullable: false },
        { name: 'recorded_s', data: column((j) => j.recordedS), type: 'DOUBLE' },
        { name: 'unchanged_s', data: column((j) => j.unchangedS), type: 'DOUBLE' },
        { name: 'planned_s', data: column((j) => j.plannedS), type: 'DOUBLE' },
        { name: 'low_s', data: column((j) => j.intervalS?.[0] ?? null), type: 'DOUBLE' },
        { name: 'high_s', data: column((j) => j.intervalS?.[1] ?? null), type: 'DOUBLE' },
        { name: 'later_s', data: column((j) => j.laterS), type: 'DOUBLE' },
        { name: 'differs', data: column((j) => j.differs), type: 'BOOLEAN', nullable: false },
        { name: 'estimated', data: column((j) => j.estimated), type: 'BOOLEAN', nullable: false },
        { name: 'decided', data: column((j) => j.decided.join('; ')), type: 'STRING', nullable: false },
      ],
    }),
  );
}

const WIDTH = 860;

const base = { $schema: 'https://vega.github.io/schema/vega-lite/v5.json', width: WIDTH } as const;
const SIDES = ['unchanged', 'planned'] as const;

function chartsOf({
  timelines,
  jobs,
}: Forecast): Record<'running' | 'waiting' | 'machines' | 'finishes', Promise<string>> {
  const minutes = { field: 'min', type: 'quantitative', title: 'minutes since the night began' } as const;
  const tasks = (which: 'running' | 'waiting'): Promise<string> => {
    const values = SIDES.flatMap((side) =>
      timelines[side].flatMap((at) =>
        Object.entries(at[which]).map(([name, count]) => ({ side, min: at.atS / 60, class: name, tasks: count })),
      ),
    );
    return svg({
      ...{
        ...base,
        width: WIDTH - 80,
        height: 130,
        data: { values },
        mark: { type: 'area', interpolate: 'step-after' },
      },
      encoding: {
        row: { field: 'side', type: 'nominal', title: null, sort: [...SIDES] },
        x: minutes,
        y: { field: 'tasks', type: 'quantitative', stack: 'zero', title: `tasks ${which}` },
        color: { field: 'class', type: 'nominal' },
      },
    });
  };
  const up = SIDES.flatMap((side) => timelines[side].map((at) => ({ side, min: at.atS / 60, up: at.machinesUp })));
  const times = jobs.flatMap(({ class: name, submittedS, unchangedS, plannedS }) =>
    SIDES.flatMap((side) => {
      const at = side === 'unchanged' ? unchangedS : plannedS;
      return at === null ? [] : [{ side, class: name, seconds: Math.max(0.1, at - submittedS) }];
    }),
  );
  return {
    running: tasks('running'),
    waiting: tasks('waiting'),
    machines: svg({
      ...{ ...base, height: 130, data: { values: up }, mark: { type: 'line', interpolate: 'step-after' } },
      encoding: {
        x: minutes,
        y: { field: 'up', type: 'quantitative', title: 'machines up' },
        color: { field: 'side', type: 'nominal', title: null },
      },
    }),
    finishes: svg({
      ...{ ...base, width: WIDTH - 160, data: { values: times }, mark: { type: 'boxplot', extent: 'min-max' } },
      encoding: {
        x: {
          field: 'seconds',
          type: 'quantitative',
          scale: { type: 'log' },
          title: 'seconds from submission to the end',
        },
        y: { field: 'class', type: 'nominal', title: null },
        yOffset: { field: 'side', sort: [...SIDES] },
        color: { field: 'side', type: 'nominal', title: null },
      },
    }),
  };
}

/** Everything in one file: opens without a network, and needs no script. */
const PAGE = `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title><%= it.f.plan %></title>
<style>
  body { font: 15px/1.45 system-ui, sans-serif; margin: 2em auto; max-width: 1040px; padding: 0 1em; color: #222; }
  h1 { font-size: 1.5em; margin-bottom: 0; } h2 { font-size: 1.1em; margin-top: 2em; }
  table { border-collapse: collapse; width: 100%; font-size: 13px; }
  th, td { text-align: left; padding: 0.3em 0.7em 0.3em 0; border-bottom: 1px solid #ddd; vertical-align: top; }
  td:not(:last-child) { white-space: nowrap; } .dim { color: #666; } .worse { color: #a00; } .better { color: #060; } svg { max-width: 100%; height: auto; }
</style>
</head>
<body>
<h1><%= it.f.plan %></h1>
<p class="dim">The night from <%= it.clock(0) %> on, times of day in <%= it.facts.zone %>;
<%= it.f.seeds.length %> replays each with and without the plan.
<% if (it.f.fromS === null) { %>The plan changes nothing.<% } else { %>The plan makes its first difference at <%= it.clock(it.f.fromS) %>; up to then the night is as recorded.<% } %></p>
<h2>Classes and teams</h2>
<p class="dim">Recorded &gt; replayed unchanged &gt; planned. Seconds at the 50th / 95th percentile.</p>
<table><tr><th></th><th>jobs</th><th>finished s</th><th>waits s</th><th>restarts</th><th>aims met</th></tr>
<% for (const r of it.groups) { %><tr><td><b><%= r.name %></b></td><td><%= r.jobs %></td><td><%= r.finish %></td><td><%= r.wait %></td><td><%= r.restarts %></td><td><% for (const a of r.aims) { %><%= a %><br><% } %></td></tr><% } %>
</table>
<p>Money for machines: <%= it.f.money.unchanged.toFixed(2) %> unchanged, <%= it.f.money.planned.toFixed(2) %> planned.</p>
<h2>Jobs that the plan touches (<%= it.most.length %>)</h2>
<% if (it.most.length === 0) { %><p>None beyond the tolerance.</p><% } else { %>
<table><tr><th>job</th><th>class</th><th>team</th><th>recorded</th><th>unchanged</th><th>planned</th><th>nine in ten</th><th>later</th><th>what decided it</th></tr>
<% for (const j of it.most.slice(0, 60)) { %><tr><td><%= j.id %><%= j.estimated ? ' *' : '' %></td><td><%= j.class %></td><td><%= j.team %></td><td><%= it.clock(j.recordedS) %></td><td><%= it.clock(j.unchangedS) %></td><td><%= it.clock(j.plannedS) %></td><td><% if (j.intervalS) { %><%= it.clock(j.intervalS[0]) %> to <%= it.clock(j.intervalS[1]) %><% } %></td><td class="<%= j.laterS === null || j.laterS > 0 ? 'worse' : 'better' %>"><%= it.later(j.laterS) %></td><td><%= it.behind(j) %></td></tr><% } %>
</table>
<p class="dim">* some of its run time was never seen in the record, and is estimated.</p><% } %>
<h2>Tasks that run</h2><%~ it.charts.running %>
<h2>Tasks that wait</h2><%~ it.charts.waiting %>
<h2>Machines</h2><%~ it.charts.machines %>
<h2>From submission to the end</h2><%~ it.charts.finishes %>
<h2>What the record lacks</h2>
<% if (it.gaps.length === 0) { %><p>Nothing that anybody knows of.</p><% } else { %><ul><% for (const g of it.gaps) { %><li><%= g %></li><% } %></ul><% } %>
</body>
</html>
`;

/** The answer as one HTML page. */
export async function forecastPage(forecast: Forecast, facts: ReportFacts): Promise<string> {
  const pending = chartsOf(forecast);
  const charts = {
    ...{ running: await pending.running, waiting: await pending.waiting },
    ...{ machines: await pending.machines, finishes: await pending.finishes },
  };
  const groups = (['classes', 'teams'] as const).flatMap((kind) =>
    rows(forecast[kind]).map((row) => ({
      name: kind === 'teams' ? `team ${row[0]}` : row[0],
      ...{ jobs: triple(row, (f) => String(f.jobs)), finish: triple(row, (f) => pair(f.finishS)) },
      ...{ wait: triple(row, (f) => pair(f.waitS)), restarts: triple(row, (f) => String(f.restarts)) },
      aims: aimLines(row),
    })),
  );
  return new Eta({ autoEscape: true }).renderString(PAGE, {
    ...{ f: forecast, facts, charts, groups, later, behind, most: changedMost(forecast) },
    clock: (atS: number | null) => clock(atS, facts),
    gaps: facts.gaps.map((gap) => gapText(gap, facts)),
  });
}
