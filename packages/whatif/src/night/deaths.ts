import type { MachineSeen, Night } from './night.js';

/** Of a silent machine: how long until its holder takes it for dead, beyond two reports. */
export const DEAD_S = 2.7;

/** What was told last was still told: it died after that. */
const AFTER_S = 0.5;

/** When machines died without a word, in seconds since the night began: before that was noticed. */
export function deathsOf(night: Night): Map<string, number> {
  const lastSeen = new Map<string, number>();
  for (const { attempts } of night.jobs.values()) {
    for (const a of attempts) {
      // Its end by the lease, or by being taken out, is no sign of life.
      const told = a.why === 'lease over' || a.why === 'machine gone' ? a.beganS : (a.leftS ?? a.beganS);
      if (told !== null) lastSeen.set(a.machine, Math.max(lastSeen.get(a.machine) ?? 0, told));
    }
  }
  const { leaseMs, reportMs } = night.facts.workers;
  const reportS = reportMs / 1000;
  const diedAt = (m: MachineSeen): number | null => {
    if (m.notice) return null;
    const seenS = (lastSeen.get(m.id) ?? 0) + AFTER_S;
    if (m.lostS !== null) return Math.max(seenS, m.lostS - leaseMs / 1000 - reportS / 2);
    if (m.returned?.why === 'lost or faulty' && m.faultyS === null)
      return Math.max(seenS, m.returned.atS - 2 * reportS - DEAD_S);
    return null;
  };
  const deaths = new Map<string, number>();
  for (const m of night.machines.values()) {
    const atS = diedAt(m);
    if (atS !== null) deaths.set(m.id, atS);
  }
  return deaths;
}
