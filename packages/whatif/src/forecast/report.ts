import Table from 'cli-table3';
import { Eta } from 'eta';
import { parquetWriteBuffer } from 'hyparquet-writer';
import { DateTime } from 'luxon';
import { svg } from '../../../region/src/index.js';
import type { Gap } from '../../../trace/src/index.js';
import type { OutcomeSummary } from './outcome-summary.js';
import type { Forecast, JobForecast } from './forecast.js';

/** Facts about the night that a report needs in addition to the forecast. */
export interface ReportContext {
  /** Wall-clock time at which the night began, in milliseconds since the epoch. */
  readonly fromMs: number;
  /** IANA time zone of the times of day in the report. */
  readonly zone: string;
  /** Known gaps in the trace. */
  readonly gaps: readonly Gap[];
}

/** Formats seconds since the night began as a time of day. */
const formatClock = (atS: number | null, { fromMs, zone }: ReportContext): string =>
  atS === null ? '-' : DateTime.fromMillis(fromMs + atS * 1000, { zone }).toFormat('HH:mm:ss');
const signed = (s: number): string => `${s >= 0 ? '+' : ''}${s.toFixed(1)}`;
const formatDelay = (laterS: number | null): string => (laterS === null ? 'does not finish' : `${signed(laterS)} s`);
const percent = (share: number | undefined): string => (share === undefined ? '-' : `${(share * 100).toFixed(1)} %`);

/** Returns the jobs that the plan changes or affects, the largest delay or gain first. */
export const affectedJobs = ({ jobs }: Forecast): JobForecast[] =>
  jobs
    .filter(({ differs, changed }) => differs || changed !== null)
    .sort((a, b) => Math.abs(b.laterS ?? Infinity) - Math.abs(a.laterS ?? Infinity) || (a.id < b.id ? -1 : 1));

/** Explains a job's result: how the plan changed it and what determined its finishing time. */
const explanation = (job: JobForecast): string =>
  [job.changed, ...job.decided].filter((text): text is string => text !== null).join('; ');

/** Describes a gap in the trace in one line. */
export function formatGap(gap: Gap, facts: ReportContext): string {
  const at = (ms: number | null, open: string): string =>
    ms === null ? open : formatClock((ms - facts.fromMs) / 1000, facts);
  const numbers = gap.fromN === null ? '' : `, from event ${gap.fromN}${gap.toN === null ? ' on' : ` to ${gap.toN}`}`;
  return `${gap.node}: ${gap.why}${numbers}, between ${at(gap.sinceMs, 'the beginning')} and ${at(gap.untilMs, 'an unknown moment')}`;
}

/** Name of a group with its summary in the record, in the unchanged replay and in the replay with the plan. */
type Row = readonly [string, OutcomeSummary | undefined, OutcomeSummary | undefined, OutcomeSummary | undefined];

/** Returns one row per class or team, sorted by name. */
function groupRows({ recorded, unchanged, planned }: Forecast['classes']): Row[] {
  const names = [...new Set([...recorded.keys(), ...planned.keys()])].sort();
  return names.map((name) => [name, recorded.get(name), unchanged.get(name), planned.get(name)]);
}

/** Returns one line per objective with the share that met it: recorded > unchanged > planned. */
const objectiveLines = ([, recorded, unchanged, planned]: Row): string[] =>
  [...new Set([recorded, planned].flatMap((f) => Object.keys(f?.aims ?? {})))].map(
    (objective) =>
      `${objective}: ${percent(recorded?.aims[objective])} > ${percent(unchanged?.aims[objective])} > ${percent(planned?.aims[objective])}`,
  );
const percentilePair = (q: OutcomeSummary['finishS'] | undefined): string => (q ? `${q.p50} / ${q.p95}` : '-');
/** Formats a row as recorded > unchanged > planned. */
const threeSides = (row: Row, format: (f: OutcomeSummary) => string): string =>
  row
    .slice(1)
    .map((f) => (typeof f === 'object' ? format(f) : '-'))
    .join(' > ');

/** Renders a forecast as text tables for a terminal. */
export function renderForecastTable(forecast: Forecast, facts: ReportContext): string {
  const groups = new Table({
    head: ['', 'jobs', 'turnaround s', 'wait s', 'restarts', 'objectives met'],
    style: { head: [], border: [] },
  });
  for (const kind of ['classes', 'teams'] as const)
    for (const row of groupRows(forecast[kind]))
      groups.push([
        kind === 'teams' ? `team ${row[0]}` : row[0],
        threeSides(row, (f) => String(f.jobs)),
        threeSides(row, (f) => percentilePair(f.finishS)),
        threeSides(row, (f) => percentilePair(f.waitS)),
        threeSides(row, (f) => String(f.restarts)),
        objectiveLines(row).join('\n') || '-',
      ]);
  const affected = affectedJobs(forecast);
  const jobs = new Table({
    head: ['job', 'class', 'team', 'recorded', 'unchanged', 'planned', '90 % interval', 'delay', 'causes'],
    style: { head: [], border: [] },
    wordWrap: true,
    colWidths: [null, null, null, null, null, null, null, null, 46],
  });
  for (const job of affected.slice(0, 20)) {
    const { id, recordedS, unchangedS, plannedS, intervalS, laterS, estimated } = job;
    const bounds = intervalS ? `${formatClock(intervalS[0], facts)}\n${formatClock(intervalS[1], facts)}` : '-';
    jobs.push([
      `${id}${estimated ? ' *' : ''}`,
      ...[
        job.class,
        job.team,
        formatClock(recordedS, facts),
        formatClock(unchangedS, facts),
        formatClock(plannedS, facts),
      ],
      ...[bounds, formatDelay(laterS), explanation(job)],
    ]);
  }
  const effect =
    forecast.fromS === null ? 'it changes nothing' : `its first difference is at ${formatClock(forecast.fromS, facts)}`;
  return [
    `${forecast.plan}: ${effect}; ${forecast.seeds.length} replays each with and without the plan; times of day in ${facts.zone}`,
    groups.toString(),
    'recorded > replayed unchanged > planned; times in seconds (50th / 95th percentile)',
    `cost of machines: ${forecast.money.unchanged.toFixed(2)} unchanged, ${forecast.money.planned.toFixed(2)} planned`,
    affected.length === 0
      ? 'no job is affected beyond the tolerance'
      : `${affected.length} jobs are affected, the largest change first:`,
    ...(affected.length === 0 ? [] : [jobs.toString()]),
    ...(affected.some(({ estimated }) => estimated) ? ['* some run times were not recorded and are estimated'] : []),
    ...facts.gaps.map((gap) => `gap in the record: ${formatGap(gap, facts)}`),
  ].join('\n');
}

/** Encodes all jobs of a forecast as a Parquet file. */
export function encodeForecastParquet({ jobs, plan }: Forecast): Uint8Array {
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

const CHART_WIDTH_PX = 860;

const chartBase = { $schema: 'https://vega.github.io/schema/vega-lite/v5.json', width: CHART_WIDTH_PX } as const;
/** The two replays that the charts compare. */
const SIDES = ['unchanged', 'planned'] as const;

/** Renders the charts of the HTML page as SVG. */
function renderCharts({
  timelines,
  jobs,
}: Forecast): Record<'running' | 'waiting' | 'machines' | 'finishes', Promise<string>> {
  const minutes = { field: 'min', type: 'quantitative', title: 'minutes since the night began' } as const;
  const taskChart = (state: 'running' | 'waiting'): Promise<string> => {
    const values = SIDES.flatMap((side) =>
      timelines[side].flatMap((at) =>
        Object.entries(at[state]).map(([name, count]) => ({ side, min: at.atS / 60, class: name, tasks: count })),
      ),
    );
    return svg({
      ...{
        ...chartBase,
        width: CHART_WIDTH_PX - 80,
        height: 130,
        data: { values },
        mark: { type: 'area', interpolate: 'step-after' },
      },
      encoding: {
        row: { field: 'side', type: 'nominal', title: null, sort: [...SIDES] },
        x: minutes,
        y: { field: 'tasks', type: 'quantitative', stack: 'zero', title: `${state} tasks` },
        color: { field: 'class', type: 'nominal' },
      },
    });
  };
  const machinesUp = SIDES.flatMap((side) =>
    timelines[side].map((at) => ({ side, min: at.atS / 60, up: at.machinesUp })),
  );
  const durations = jobs.flatMap(({ class: name, submittedS, unchangedS, plannedS }) =>
    SIDES.flatMap((side) => {
      const at = side === 'unchanged' ? unchangedS : plannedS;
      return at === null ? [] : [{ side, class: name, seconds: Math.max(0.1, at - submittedS) }];
    }),
  );
  return {
    running: taskChart('running'),
    waiting: taskChart('waiting'),
    machines: svg({
      ...{ ...chartBase, height: 130, data: { values: machinesUp }, mark: { type: 'line', interpolate: 'step-after' } },
      encoding: {
        x: minutes,
        y: { field: 'up', type: 'quantitative', title: 'machines up' },
        color: { field: 'side', type: 'nominal', title: null },
      },
    }),
    finishes: svg({
      ...{
        ...chartBase,
        width: CHART_WIDTH_PX - 160,
        data: { values: durations },
        mark: { type: 'boxplot', extent: 'min-max' },
      },
      encoding: {
        x: {
          field: 'seconds',
          type: 'quantitative',
          scale: { type: 'log' },
          title: 'seconds from submission to completion',
        },
        y: { field: 'class', type: 'nominal', title: null },
        yOffset: { field: 'side', sort: [...SIDES] },
        color: { field: 'side', type: 'nominal', title: null },
      },
    }),
  };
}

/** Template of the HTML page. The page is one file that opens without a network and needs no script. */
const PAGE_TEMPLATE = `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title><%= it.forecast.plan %></title>
<style>
  body { font: 15px/1.45 system-ui, sans-serif; margin: 2em auto; max-width: 1040px; padding: 0 1em; color: #222; }
  h1 { font-size: 1.5em; margin-bottom: 0; } h2 { font-size: 1.1em; margin-top: 2em; }
  table { border-collapse: collapse; width: 100%; font-size: 13px; }
  th, td { text-align: left; padding: 0.3em 0.7em 0.3em 0; border-bottom: 1px solid #ddd; vertical-align: top; }
  td:not(:last-child) { white-space: nowrap; } .dim { color: #666; } .worse { color: #a00; } .better { color: #060; } svg { max-width: 100%; height: auto; }
</style>
</head>
<body>
<h1><%= it.forecast.plan %></h1>
<p class="dim">Night from <%= it.formatClock(0) %>, times of day in <%= it.facts.zone %>;
<%= it.forecast.seeds.length %> replays each with and without the plan.
<% if (it.forecast.fromS === null) { %>The plan changes nothing.<% } else { %>The plan first makes a difference at <%= it.formatClock(it.forecast.fromS) %>; up to then the replays follow the record.<% } %></p>
<h2>Classes and teams</h2>
<p class="dim">Recorded &gt; replayed unchanged &gt; planned. Times in seconds (50th / 95th percentile).</p>
<table><tr><th></th><th>jobs</th><th>turnaround s</th><th>wait s</th><th>restarts</th><th>objectives met</th></tr>
<% for (const r of it.groups) { %><tr><td><b><%= r.name %></b></td><td><%= r.jobs %></td><td><%= r.finish %></td><td><%= r.wait %></td><td><%= r.restarts %></td><td><% for (const a of r.aims) { %><%= a %><br><% } %></td></tr><% } %>
</table>
<p>Cost of machines: <%= it.forecast.money.unchanged.toFixed(2) %> unchanged, <%= it.forecast.money.planned.toFixed(2) %> planned.</p>
<h2>Jobs that the plan affects (<%= it.affected.length %>)</h2>
<% if (it.affected.length === 0) { %><p>None beyond the tolerance.</p><% } else { %>
<table><tr><th>job</th><th>class</th><th>team</th><th>recorded</th><th>unchanged</th><th>planned</th><th>90 % interval</th><th>delay</th><th>causes</th></tr>
<% for (const j of it.affected.slice(0, 60)) { %><tr><td><%= j.id %><%= j.estimated ? ' *' : '' %></td><td><%= j.class %></td><td><%= j.team %></td><td><%= it.formatClock(j.recordedS) %></td><td><%= it.formatClock(j.unchangedS) %></td><td><%= it.formatClock(j.plannedS) %></td><td><% if (j.intervalS) { %><%= it.formatClock(j.intervalS[0]) %> to <%= it.formatClock(j.intervalS[1]) %><% } %></td><td class="<%= j.laterS === null || j.laterS > 0 ? 'worse' : 'better' %>"><%= it.formatDelay(j.laterS) %></td><td><%= it.explanation(j) %></td></tr><% } %>
</table>
<p class="dim">* some run times were not recorded and are estimated.</p><% } %>
<h2>Running tasks</h2><%~ it.charts.running %>
<h2>Waiting tasks</h2><%~ it.charts.waiting %>
<h2>Machines</h2><%~ it.charts.machines %>
<h2>Time from submission to completion</h2><%~ it.charts.finishes %>
<h2>Gaps in the record</h2>
<% if (it.gaps.length === 0) { %><p>None known.</p><% } else { %><ul><% for (const g of it.gaps) { %><li><%= g %></li><% } %></ul><% } %>
</body>
</html>
`;

/** Renders a forecast as one HTML page with charts. */
export async function renderForecastPage(forecast: Forecast, facts: ReportContext): Promise<string> {
  const pending = renderCharts(forecast);
  const charts = {
    ...{ running: await pending.running, waiting: await pending.waiting },
    ...{ machines: await pending.machines, finishes: await pending.finishes },
  };
  const groups = (['classes', 'teams'] as const).flatMap((kind) =>
    groupRows(forecast[kind]).map((row) => ({
      name: kind === 'teams' ? `team ${row[0]}` : row[0],
      ...{ jobs: threeSides(row, (f) => String(f.jobs)), finish: threeSides(row, (f) => percentilePair(f.finishS)) },
      ...{
        wait: threeSides(row, (f) => percentilePair(f.waitS)),
        restarts: threeSides(row, (f) => String(f.restarts)),
      },
      aims: objectiveLines(row),
    })),
  );
  return new Eta({ autoEscape: true }).renderString(PAGE_TEMPLATE, {
    ...{ forecast, facts, charts, groups, formatDelay, explanation, affected: affectedJobs(forecast) },
    formatClock: (atS: number | null) => formatClock(atS, facts),
    gaps: facts.gaps.map((gap) => formatGap(gap, facts)),
  });
}
