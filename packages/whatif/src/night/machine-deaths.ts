import type { Night, RecordedMachine } from './night.js';

/** The holder of a silent machine declares it dead after two report intervals plus this time. */
export const SILENT_MACHINE_MARGIN_S = 2.7;

/** A machine reports its last sign of life itself, so its death is at least this many seconds later. */
const ALIVE_AFTER_LAST_SIGN_S = 0.5;

/**
 * Estimates when machines died without a notice, in seconds since the night began. The record only shows when the
 * controllers noticed a death, which is later than the death itself.
 */
export function estimateMachineDeaths(night: Night): Map<string, number> {
  const lastSignS = new Map<string, number>();
  for (const { attempts } of night.jobs.values()) {
    for (const a of attempts) {
      // An attempt that ended by lease expiry or by removal of the machine shows no sign of life at its end.
      const signS = a.why === 'lease over' || a.why === 'machine gone' ? a.beganS : (a.leftS ?? a.beganS);
      if (signS !== null) lastSignS.set(a.machine, Math.max(lastSignS.get(a.machine) ?? 0, signS));
    }
  }
  const { leaseMs, reportMs } = night.facts.workers;
  const reportS = reportMs / 1000;
  const deathOf = (m: RecordedMachine): number | null => {
    if (m.notice) return null;
    const earliestS = (lastSignS.get(m.id) ?? 0) + ALIVE_AFTER_LAST_SIGN_S;
    if (m.lostS !== null) return Math.max(earliestS, m.lostS - leaseMs / 1000 - reportS / 2);
    if (m.returned?.why === 'lost or faulty' && m.faultyS === null)
      return Math.max(earliestS, m.returned.atS - 2 * reportS - SILENT_MACHINE_MARGIN_S);
    return null;
  };
  const deaths = new Map<string, number>();
  for (const m of night.machines.values()) {
    const atS = deathOf(m);
    if (atS !== null) deaths.set(m.id, atS);
  }
  return deaths;
}
