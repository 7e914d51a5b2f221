import Table from 'cli-table3';
import type { Percentiles } from './meter.js';
import type { ScaleResult } from './run.js';

const STYLE = { head: [], border: [] };
const digits = (n: number, places: number): string => n.toFixed(places);
const times = (p: Percentiles | null): string => (p ? `${p.p50} / ${p.p99} / ${p.max}` : '-');

function processTable({ processes }: ScaleResult): string {
  const table = new Table({
    head: ['process', 'role', 'cores', 'busiest second', 'MB', 'MB at its peak'],
    style: STYLE,
  });
  for (const { name, role, cores, coresPeak, residentMb, peakMb } of processes)
    table.push([name, role, digits(cores, 3), digits(coresPeak, 2), digits(residentMb, 0), digits(peakMb, 0)]);
  return table.toString();
}

function interfaceTable({ interfaces, peerFrames }: ScaleResult): string {
  const table = new Table({ head: ['interface', 'messages/s', 'bytes out/s', 'bytes in/s'], style: STYLE });
  for (const { name, messagesPerS, bytesOutPerS, bytesInPerS } of interfaces)
    table.push([name, digits(messagesPerS, 1), digits(bytesOutPerS, 0), digits(bytesInPerS, 0)]);
  for (const [kind, { framesPerS, bytesPerS }] of Object.entries(peerFrames))
    table.push([`controllers: ${kind}`, digits(framesPerS, 1), digits(bytesPerS, 0), '']);
  return table.toString();
}

function waitTable({ waits }: ScaleResult): string {
  const head = ['class', 'tasks', 'wait ms', 'accept', 'place', 'image', 'gather', 'within aim'];
  const table = new Table({ head, style: STYLE });
  for (const { jobClass, total, phases, withinAim } of waits)
    table.push([
      ...[jobClass, total?.count ?? 0, times(total), times(phases.accept), times(phases.place)],
      ...[times(phases.image), times(phases.gather), withinAim === null ? '-' : digits(withinAim, 3)],
    ]);
  return table.toString();
}

/** A scale run for people. */
export function scaleTable(result: ScaleResult): string {
  const { tasks, state, configuration: c, breaches, warnings } = result;
  const refused = Object.entries(c.refused).map(([status, count]) => `${count} answered ${status}`);
  return [
    `${result.day}: ${result.controllers} controllers, ${result.workers} workers, ${result.teams} teams, ${digits(result.seconds, 0)} s measured`,
    processTable(result),
    interfaceTable(result),
    `state service: ${digits(state.requestsPerS, 1)} requests/s (${Object.entries(state.byOperation)
      .filter(([, n]) => n > 0)
      .map(([operation, n]) => `${operation} ${digits(n, 1)}`)
      .join(
        ', ',
      )}), ${digits(state.changesPerS, 1)} changes/s, ${state.refused} refused, ${state.keys} keys of ${state.bytes} bytes`,
    `tasks: ${digits(tasks.startsPerS, 1)} starts/s, ${digits(tasks.jobsPerS, 2)} jobs/s, ${tasks.running} running, ${tasks.runningPeak} at the peak`,
    'waits in milliseconds at the 50th / 99th percentile / the longest, from submission to the first start',
    waitTable(result),
    `configuration: ${c.sent} sent, ${c.stored} stored${refused.length > 0 ? `, ${refused.join(', ')}` : ''}; stored after ${times(c.storedMs)} ms, in force everywhere after ${times(c.inForceMs)} ms, ${c.notInForce} not in time`,
    breaches.length === 0 ? 'rules: all kept' : `rules: ${breaches.length} broken`,
    ...breaches.slice(0, 10).map(({ rule, what }) => `  ${rule}: ${what}`),
    `${warnings.count} warnings in the controllers' logs${result.lateEvents > 0 ? `; ${result.lateEvents} events came too late to be put into order` : ''}`,
    ...warnings.first.slice(0, 3).map((line) => `  ${line}`),
  ].join('\n');
}
