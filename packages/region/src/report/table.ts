/** Text report of a played day. */

import Table from 'cli-table3';
import type { AimResult, Quantiles } from '../job-statistics.js';
import type { DayResult } from '../region.js';

/** Formats quantiles as `p50 / p95 / p99`. */
export const formatQuantiles = (q: Quantiles | null): string => (q ? `${q.p50} / ${q.p95} / ${q.p99}` : '-');

/** Formats an objective of a class, and whether it was met. */
export function formatAim({ aim, share }: AimResult): string {
  const name =
    aim.kind === 'deadline' ? 'deadline' : `${aim.kind} ${aim.kind === 'up' ? 'from' : 'within'} ${aim.within_s} s`;
  if (share === null) return `${name}: no samples`;
  const met = share >= aim.share;
  return `${name}: ${(share * 100).toFixed(1)} % (${met ? 'met' : 'missed'}, target ${(aim.share * 100).toFixed(1)} %)`;
}

/** Formats a share as a percentage. */
const formatShare = (fraction: number | null): string => (fraction === null ? '-' : `${(fraction * 100).toFixed(0)} %`);

/** Formats the served share of each class: of all jobs and of the largest jobs. */
const formatServedShares = ({ classes }: DayResult): string =>
  `served (all, largest): ${classes.map((c) => `${c.name} ${formatShare(c.served)}, ${formatShare(c.largestServed)}`).join('; ')}`;

/** Renders the result of a day as text: a table of the classes, then cost, machines, rules, failures and defects. */
export function renderDayTable(result: DayResult): string {
  const table = new Table({
    head: ['class', 'submitted', 'done', 'cancelled', 'open', 'aims', 'wait s', 'finish s', 'restarts'],
    style: { head: [], border: [] },
    colAligns: ['left', 'right', 'right', 'right', 'right', 'left', 'right', 'right', 'right'],
  });
  for (const c of result.classes) {
    const refused = c.refused > 0 ? ` (${c.refused} refused)` : '';
    table.push([
      `${c.name}\n${c.shape}`,
      `${c.submitted}${refused}`,
      c.shape === 'service' ? '-' : c.done,
      c.cancelled,
      c.open,
      c.aims.map(formatAim).join('\n') || '-',
      formatQuantiles(c.waitS),
      formatQuantiles(c.finishS),
      c.restarts,
    ]);
  }
  const { money, machines, state, breaches, defects, failures } = result;
  const lines = [
    `${result.day}, seed ${result.seed}: ${result.simulatedS.toFixed(0)} s of simulated time`,
    table.toString(),
    'times to the first start and to completion at the 50th / 95th / 99th percentile, in seconds since submission',
    `cost: ${money.spent.toFixed(2)} spent, ${money.price === null ? 'no useful work' : `${money.price.toFixed(2)} times the lowest possible cost of the useful work`}`,
    `machines: ${machines.rented} rented, ${machines.neverUp} never came up, ${machines.takenBack} reclaimed, ${machines.died} failed`,
    `state service: ${state.requests} requests, ${state.changes} changes, ${state.refused} refused by the rate limit`,
    `controller starts: ${result.controllerStarts}`,
    breaches.length === 0 ? 'rules: all kept' : `rules: ${breaches.length} broken`,
    ...breaches.slice(0, 20).map(({ rule, at, what }) => `  ${(at / 1000).toFixed(1)} s ${rule}: ${what}`),
    formatServedShares(result),
    ...failures.map((failure) => `the day fails: ${failure}`),
    ...defects.slice(0, 5).map((defect) => `defect: ${defect}`),
    `event log: ${result.events} lines, sha256 ${result.digest}`,
  ];
  return lines.join('\n');
}
