/** Generates days of any fleet size for measurements. */

import { parseScenario, type SimulationScenario, type Fault } from '../scenario/index.js';

/** Returns a day for measurements: its machines are all up from the start, and its load is in proportion to them. */
export function fleetDay(machines: number, durationS: number, faults: readonly Fault[] = []): SimulationScenario {
  // The amounts below are those of a fleet of 900 machines.
  const sizeFactor = machines / 900;
  const scaledCount = (countOf900: number): number => Math.max(1, Math.round(countOf900 * sizeFactor));
  const wideMachines = scaledCount(150);
  const smallMachines = Math.max(1, machines - wideMachines);
  const countInZone = (total: number, zoneIndex: 0 | 1 | 2): number => Math.max(1, Math.floor((total + zoneIndex) / 3));
  const zones = ['a', 'b', 'c'] as const;
  const lines = zones.flatMap((zone, zoneIndex) =>
    (
      [
        ['small', countInZone(smallMachines, zoneIndex as 0 | 1 | 2)],
        ['wide', countInZone(wideMachines, zoneIndex as 0 | 1 | 2)],
      ] as const
    ).flatMap(([type, count]) => [
      `[[capacity]]\ntype = "${type}"\nzone = "${zone}"\nordinary = ${count + 2}\nspot = ${scaledCount(20)}`,
      `[[machines]]\ntype = "${type}"\nzone = "${zone}"\ncount = ${count}`,
    ]),
  );
  const day = parseScenario(
    `
name = "fleet-${machines}"
seed = 1
duration_s = ${durationS}
zones = ["a", "b", "c"]
[controllers]
count = 3
restart_s = 5.0
[state]
rps = 200.0
write_rps = 40.0
[cloud]
rps = 6.0
list_lag_s = 5.0
spot_losses_per_hour = 0.2
[workers]
report_s = 3.0
lease_s = 16.0
cancel_s = 45.0
[[teams]]
name = "t"
[[machine_types]]
name = "small"
cpus = 8.0
memory_gb = 32.0
price = 0.4
spot_price = 0.12
boot_s = 20.0
[[machine_types]]
name = "wide"
cpus = 32.0
gpus = 2.0
memory_gb = 128.0
price = 2.4
spot_price = 0.8
boot_s = 35.0
${lines.join('\n')}
[[classes]]
name = "front"
shape = "service"
team = "t"
priority = "production"
tasks = { sizes = [3, 6, 16], weights = [4.0, 2.0, 1.0] }
cpus = 1.0
memory_gb = 2.0
run_s = { median = 900.0, p95 = 2000.0, max = 4000.0 }
initial = ${scaledCount(260)}
per_minute = ${scaledCount(20)}
[[classes]]
name = "batch"
shape = "array"
team = "t"
priority = "standard"
tasks = { median = 60.0, p95 = 200.0, max = 400.0 }
cpus = 2.0
memory_gb = 5.0
run_s = { median = 30.0, p95 = 60.0, max = 90.0 }
spot = true
initial = ${scaledCount(24)}
per_minute = ${scaledCount(30)}
[[classes]]
name = "gangs"
shape = "gang"
team = "t"
priority = "standard"
tasks = { sizes = [2, 4, 8], weights = [2.0, 2.0, 1.0] }
cpus = 20.0
gpus = 2.0
memory_gb = 90.0
run_s = { median = 80.0, p95 = 160.0, max = 240.0 }
spot = true
checkpoint_s = 20.0
save_s = 2.0
initial = ${scaledCount(12)}
per_minute = ${scaledCount(8)}
`,
    'fleet',
  );
  return { ...day, troubles: [...faults] };
}
