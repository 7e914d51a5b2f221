import Table from 'cli-table3';
import type { AimResult, Quantiles } from '../daybook.js';
import type { DayResult } from '../region.js';

export const formatQuantiles = (q: Quantiles | null): string => (q ? `${q.p50} / ${q.p95} / ${q.p99}` : '-');

export function formatAim({ aim, share }: AimResult): string {
  const name =
    aim.kind === 'deadline' ? 'deadline' : `${aim.kind} ${aim.kind === 'up' ? 'from' : 'within'} ${aim.within_s} s`;
  if (share === null) return `${name}: nothing to count`;
  const met = share >= aim.share;
  return `${name}: ${(share * 100).toFixed(1)} % (${met ? 'met' : 'missed'}, asked ${(aim.share * 100).toFixed(1)} %)`;
}

const formatShare = (fraction: number | null): string => (fraction === null ? '-' : `${(fraction * 100).toFixed(0)} %`);

/** Of each class, who was served: all, and the largest. */
const formatServedShares = ({ classes }: DayResult): string =>
  `served, all and the largest: ${classes.map((c) => `${c.name} ${formatShare(c.served)}, ${formatShare(c.largestServed)}`).join('; ')}`;

/** The day's table, class by class, then money, rules and what is still open. */
export function renderDayTable(result: DayResult): string {
  const table = new Table({
    head: ['class', 'submitted', 'done', 'cancelled', 'open', 'aims', 'wait s', 'finished s', 'restarts'],
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
  const { money, machines: m, state, breaches, defects, failures } = result;
  const lines = [
    `${result.day}, seed ${result.seed}: ${result.simulatedS.toFixed(0)} s of simulated time`,
    table.toString(),
    'waits and finishing times at the 50th / 95th / 99th percentile, in seconds from submission',
    `money: ${money.spent.toFixed(2)} spent, ${money.price === null ? 'no useful work' : `${money.price.toFixed(2)} times what the useful work costs at the least`}`,
    `machines: ${m.rented} rented, ${m.neverUp} never came up, ${m.takenBack} taken back, ${m.died} died`,
    `state service: ${state.requests} requests, ${state.changes} changes, ${state.refused} refused for their rate`,
    `controllers started ${result.controllerStarts} times`,
    breaches.length === 0 ? 'rules: all kept' : `rules: ${breaches.length} broken`,
    ...breaches.slice(0, 20).map(({ rule, at, what }) => `  ${(at / 1000).toFixed(1)} s ${rule}: ${what}`),
    formatServedShares(result),
    ...failures.map((failure) => `the day fails: ${failure}`),
    ...defects.slice(0, 5).map((defect) => `defect: ${defect}`),
    `event log: ${result.events} lines, sha256 ${result.digest}`,
  ];
  return lines.join('\n');
}
