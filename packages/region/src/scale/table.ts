/** Renders results of scale runs as text. */

import Table from 'cli-table3';
import type { Percentiles } from './start-meter.js';
import type { ScaleResult } from './run.js';

const TABLE_STYLE = { head: [], border: [] };
const formatFixed = (n: number, decimals: number): string => n.toFixed(decimals);
const formatPercentiles = (p: Percentiles | null): string => (p ? `${p.p50} / ${p.p99} / ${p.max}` : '-');

function renderProcessTable({ processes }: ScaleResult): string {
  const table = new Table({
    head: ['process', 'role', 'cores', 'peak cores', 'MB', 'peak MB'],
    style: TABLE_STYLE,
  });
  for (const { name, role, cores, coresPeak, residentMb, peakMb } of processes)
    table.push([
      name,
      role,
      formatFixed(cores, 3),
      formatFixed(coresPeak, 2),
      formatFixed(residentMb, 0),
      formatFixed(peakMb, 0),
    ]);
  return table.toString();
}

function renderInterfaceTable({ interfaces, peerFrames }: ScaleResult): string {
  const table = new Table({ head: ['interface', 'messages/s', 'bytes out/s', 'bytes in/s'], style: TABLE_STYLE });
  for (const { name, messagesPerS, bytesOutPerS, bytesInPerS } of interfaces)
    table.push([name, formatFixed(messagesPerS, 1), formatFixed(bytesOutPerS, 0), formatFixed(bytesInPerS, 0)]);
  for (const [kind, { framesPerS, bytesPerS }] of Object.entries(peerFrames))
    table.push([`controllers: ${kind}`, formatFixed(framesPerS, 1), formatFixed(bytesPerS, 0), '']);
  return table.toString();
}

function renderWaitTable({ waits }: ScaleResult): string {
  const head = ['class', 'tasks', 'total ms', 'accept', 'place', 'image', 'gather', 'within aim'];
  const table = new Table({ head, style: TABLE_STYLE });
  for (const { jobClass, total, phases, withinAim } of waits)
    table.push([
      ...[
        jobClass,
        total?.count ?? 0,
        formatPercentiles(total),
        formatPercentiles(phases.accept),
        formatPercentiles(phases.place),
      ],
      ...[
        formatPercentiles(phases.image),
        formatPercentiles(phases.gather),
        withinAim === null ? '-' : formatFixed(withinAim, 3),
      ],
    ]);
  return table.toString();
}

/** Renders the result of a scale run as text tables. */
export function renderScaleTable(result: ScaleResult): string {
  const { tasks, state, configuration: c, breaches, warnings } = result;
  const refused = Object.entries(c.refused).map(([status, count]) => `${count} answered ${status}`);
  return [
    `${result.day}: ${result.controllers} controllers, ${result.workers} workers, ${result.teams} teams, ${formatFixed(result.seconds, 0)} s measured`,
    renderProcessTable(result),
    renderInterfaceTable(result),
    `state service: ${formatFixed(state.requestsPerS, 1)} requests/s (${Object.entries(state.byOperation)
      .filter(([, n]) => n > 0)
      .map(([operation, n]) => `${operation} ${formatFixed(n, 1)}`)
      .join(
        ', ',
      )}), ${formatFixed(state.changesPerS, 1)} changes/s, ${state.refused} refused, ${state.keys} keys of ${state.bytes} bytes`,
    `tasks: ${formatFixed(tasks.startsPerS, 1)} starts/s, ${formatFixed(tasks.jobsPerS, 2)} jobs/s, ${tasks.running} running, at most ${tasks.runningPeak}`,
    'time from submission to the first start in milliseconds: 50th percentile / 99th percentile / maximum',
    renderWaitTable(result),
    `settings changes: ${c.sent} sent, ${c.stored} stored${refused.length > 0 ? `, ${refused.join(', ')}` : ''}; stored after ${formatPercentiles(c.storedMs)} ms, applied by all controllers after ${formatPercentiles(c.inForceMs)} ms, ${c.notInForce} not before the timeout`,
    breaches.length === 0 ? 'rules: all kept' : `rules: ${breaches.length} broken`,
    ...breaches.slice(0, 10).map(({ rule, what }) => `  ${rule}: ${what}`),
    `${warnings.count} warnings in the logs of the controllers${result.lateEvents > 0 ? `; ${result.lateEvents} events arrived too late to be ordered` : ''}`,
    ...warnings.first.slice(0, 3).map((line) => `  ${line}`),
  ].join('\n');
}
