/** Combinations of faults that have violated rules together, and random pairs of them. */
import type { SimulationScenario, Fault } from '../scenario/index.js';
import { RandomStream } from '../sim/index.js';

/** Range in which the first combination of a scenario starts, in seconds of simulated time. */
const FIRST_FAULT_MIN_S = 40;
const FIRST_FAULT_MAX_S = 75;
/** Long enough after the last fault that deadlines of cancellations and answers pass before the end. */
const SCENARIO_DURATION_S = 215;

/** CPU limit of a team that is mostly at its limit: enough for a service's replicas and a part of one array. */
const LOW_TEAM_CPU_LIMIT = 60;

/** Draws the faults of one combination; `at` is its nominal start in seconds. */
type DrawFaults = (random: RandomStream, at: number, day: SimulationScenario) => readonly Fault[];

const roundToTenths = (value: number): number => Math.round(value * 10) / 10;
const drawController = (random: RandomStream, day: SimulationScenario): number | 'leader' =>
  random.chance(0.5) ? 'leader' : random.integerBelow(day.controllers.count);
const drawPartitionManner = (random: RandomStream): 'hold' | 'reset' => (random.chance(0.7) ? 'hold' : 'reset');
/** Draws for how long machines of cancelled jobs hang; some hang for just less than their lease. */
const drawHang = (random: RandomStream, day: SimulationScenario): { hang_s?: number } =>
  random.chance(0.6)
    ? { hang_s: roundToTenths(day.workers.lease_s * (random.pickOne([0.3, 0.7, 0.97, 1.2]) ?? 0.7)) }
    : {};
const drawShortDowntimeS = (random: RandomStream): number => random.pickOne([0.05, 0.2, 0.5, 1]) ?? 0.5;

/** Combinations of faults that operators have named, see docs/meetings.md. Each draw varies times and targets. */
export const FAULT_COMBINATIONS: Readonly<Record<string, DrawFaults>> = {
  'ends far apart across a change of leader': (random, at, day) => [
    { kind: 'machines_slow', at_s: at - 20, for_s: 100, share: 0.5, times: 4 },
    { kind: 'controller_crash', at_s: at, controller: 'leader', down_s: random.pickOne([0.2, 4, 20]) ?? 4 },
    {
      kind: 'controller_crash',
      at_s: at + random.uniform(1, 20),
      controller: drawController(random, day),
      down_s: random.pickOne([0.2, 4, 20]) ?? 4,
    },
  ],
  'over and back, all end, one returns': (random, at, day) => [
    { kind: 'controller_crash', at_s: at, controller: drawController(random, day), down_s: random.uniform(4, 9) },
    {
      kind: 'controller_crash',
      at_s: at + random.uniform(4, 14),
      controller: 'all',
      down_s: drawShortDowntimeS(random),
    },
    {
      kind: 'controller_crash',
      at_s: at + random.uniform(14, 16),
      controller: random.integerBelow(day.controllers.count),
      down_s: drawShortDowntimeS(random),
    },
    {
      kind: 'controller_crash',
      at_s: at + random.uniform(16, 30),
      controller: 'all',
      down_s: drawShortDowntimeS(random),
    },
  ],
  'slow, then refusing one alone, then gone for all': (random, at, day) => {
    const refusedS = random.uniform(0.5, 9);
    return [
      { kind: 'state_slow', at_s: at - 15, for_s: 15 + refusedS, times: 20 },
      {
        kind: 'controller_refused',
        at_s: at,
        for_s: refusedS + random.uniform(5, 60),
        controller: drawController(random, day),
      },
      { kind: 'state_outage', at_s: at + refusedS, for_s: random.uniform(30, 70) },
    ];
  },
  'refused alone, then gone for all': (random, at, day) => {
    const refusedS = random.uniform(0.5, 9);
    return [
      {
        kind: 'controller_refused',
        at_s: at,
        for_s: refusedS + random.uniform(0, 60),
        controller: drawController(random, day),
      },
      { kind: 'state_outage', at_s: at + refusedS, for_s: random.uniform(48, 80) },
    ];
  },
  'the leader ends while machines are out of reach or deaf': (random, at) => [
    random.chance(0.5)
      ? { kind: 'machines_deaf', at_s: at - 5, for_s: random.uniform(10, 70), share: random.uniform(0.1, 0.5) }
      : {
          ...{ kind: 'machines_cut', at_s: at - 5, for_s: random.uniform(10, 70) },
          ...{ share: random.uniform(0.1, 0.5), manner: drawPartitionManner(random) },
        },
    { kind: 'controller_crash', at_s: at, controller: 'leader', down_s: random.pickOne([0.2, 4, 30]) ?? 4 },
  ],
  'cut from the state service and the controllers': (random, at, day) => {
    const controller = drawController(random, day);
    const cut = {
      kind: 'controller_cut',
      controller,
      from: 'state and controllers',
      manner: drawPartitionManner(random),
    } as const;
    const outage: Fault = { kind: 'state_outage', at_s: at + random.uniform(1, 20), for_s: random.uniform(20, 70) };
    return [{ ...cut, at_s: at, for_s: random.uniform(3, 90) }, ...(random.chance(0.6) ? [outage] : [])];
  },
  'transactions carried out late': (random, at, day) => [
    { kind: 'late_writes', at_s: at - 5, for_s: random.uniform(20, 60), share: random.uniform(0.05, 0.3) },
    { kind: 'controller_crash', at_s: at, controller: drawController(random, day), down_s: drawShortDowntimeS(random) },
    { kind: 'controller_refused', at_s: at + 8, for_s: random.uniform(3, 12), controller: drawController(random, day) },
  ],
  'reports that come again': (random, at, day) => [
    { kind: 'reports_again', at_s: at - 20, for_s: 70, share: 0.4, late_s: random.pickOne([3, 20, 60]) ?? 20 },
    {
      kind: 'controller_crash',
      at_s: at,
      controller: drawController(random, day),
      down_s: random.pickOne([0.2, 4, 20]) ?? 4,
    },
    { kind: 'machines_restart', at_s: at + random.uniform(2, 20), share: 0.3, down_s: drawShortDowntimeS(random) },
  ],
  'commands and answers held up': (random, at, day) => [
    {
      ...{ kind: 'controller_cut', at_s: at, for_s: random.uniform(2, 40), controller: drawController(random, day) },
      ...{ from: 'workers', manner: 'hold' },
    },
    random.chance(0.5)
      ? { kind: 'machines_hang', at_s: at + random.uniform(-3, 5), for_s: random.uniform(2, 25), share: 0.3 }
      : {
          kind: 'controller_pause',
          at_s: at + random.uniform(-3, 5),
          for_s: random.uniform(2, 25),
          controller: 'leader',
        },
  ],
  'machines that reach no controller': (random, at, day) => [
    { kind: 'machines_mute', at_s: at - 5, for_s: random.uniform(10, 80), share: random.uniform(0.1, 0.4) },
    { kind: 'cancel_now', at_s: at, count: 12, ...drawHang(random, day) },
    {
      kind: 'controller_crash',
      at_s: at + random.uniform(0, 10),
      controller: drawController(random, day),
      down_s: drawShortDowntimeS(random),
    },
  ],
  'jobs cancelled whose machines are cut off or hang, and the leader changes': (random, at, day) => [
    random.chance(0.5)
      ? {
          kind: 'machines_cut',
          at_s: at - 1,
          for_s: random.uniform(5, 40),
          share: random.uniform(0.1, 0.5),
          manner: 'hold',
        }
      : { kind: 'machines_hang', at_s: at - 1, for_s: random.uniform(5, 17), share: random.uniform(0.1, 0.4) },
    { kind: 'cancel_now', at_s: at, count: 20, ...drawHang(random, day) },
    {
      kind: 'controller_crash',
      at_s: at + random.uniform(0.1, 6),
      controller: drawController(random, day),
      down_s: drawShortDowntimeS(random),
    },
  ],
  "cancelled in the seconds in which a controller's work changes hands": (random, at, day) => {
    const controllerIndex = random.integerBelow(day.controllers.count);
    const takeover: Fault = random.chance(0.5)
      ? { kind: 'controller_crash', at_s: at, controller: controllerIndex, down_s: random.pickOne([0.2, 5, 20]) ?? 5 }
      : {
          kind: 'rollout',
          at_s: at,
          gap_s: 1,
          to: 'this',
          order: [controllerIndex],
          down_s: random.uniform(1, 12),
          leave: true,
        };
    return [
      takeover,
      ...[0, 1, 2, 3, 4, 5].map((i): Fault => ({
        kind: 'cancel_now',
        at_s: at + i * random.uniform(0.3, 1.6),
        count: 4,
        ...drawHang(random, day),
      })),
    ];
  },
  "cancelled, asked and repeated at the end of a job's last task": (random, at) => [
    { kind: 'cancel_at_end', at_s: at - 25, for_s: 100, share: random.uniform(0.2, 0.8) },
    { kind: 'close_looks', at_s: at - 25, for_s: 100 },
  ],
  'asked at all nodes within milliseconds': (random, at, day) => [
    { kind: 'close_looks', at_s: at - 25, for_s: 100 },
    { kind: 'odd_requests', at_s: at - 25, for_s: 100 },
    { kind: 'answers_held', at_s: at - 20, for_s: random.uniform(20, 80), share: random.uniform(0.02, 0.3) },
    { kind: 'controller_crash', at_s: at, controller: drawController(random, day), down_s: drawShortDowntimeS(random) },
  ],
  'only the answers of transactions are lost': (random, at, day) => [
    { kind: 'close_looks', at_s: at - 10, for_s: 60 },
    {
      kind: 'late_writes',
      at_s: at - 10,
      for_s: random.uniform(20, 60),
      share: random.uniform(0.05, 0.4),
      at_once: true,
    },
    { kind: 'controller_crash', at_s: at, controller: drawController(random, day), down_s: drawShortDowntimeS(random) },
  ],
  'refused alone as jobs are cancelled, a second later gone for all': (random, at, day) => [
    { kind: 'cancel_now', at_s: at, count: 20, ...drawHang(random, day) },
    { kind: 'controller_refused', at_s: at, for_s: random.uniform(1, 30), controller: drawController(random, day) },
    { kind: 'state_outage', at_s: at + 1, for_s: random.uniform(48, 75) },
  ],
  'commands held up, and the machine goes on': (random, at, day) => [
    { kind: 'commands_held', at_s: at - 10, for_s: random.uniform(20, 60), share: random.uniform(0.2, 0.8) },
    { kind: 'cancel_now', at_s: at, count: 20, ...drawHang(random, day) },
    {
      kind: 'controller_crash',
      at_s: at + random.uniform(0, 8),
      controller: drawController(random, day),
      down_s: drawShortDowntimeS(random),
    },
  ],
  'commands and writes that were answered arrive again': (random, at, day) => {
    const lateS = random.pickOne([4, 30, 120]) ?? 30;
    const copies = random.chance(0.7) ? { late_s: [0.1, lateS] as [number, number] } : { for_next: true };
    return [
      { kind: 'commands_again', at_s: at - 25, for_s: 70, share: random.uniform(0.3, 1), ...copies },
      { kind: 'writes_again', at_s: at - 25, for_s: 70, share: random.uniform(0.1, 1), late_s: [0.1, lateS] },
      { kind: 'machines_fail_tasks', at_s: at - 20, for_s: 60, share: random.uniform(0.1, 0.5) },
      { kind: 'cancel_now', at_s: at, count: 12, ...drawHang(random, day) },
      {
        kind: 'controller_crash',
        at_s: at + random.uniform(0, 10),
        controller: drawController(random, day),
        down_s: drawShortDowntimeS(random),
      },
    ];
  },
  'old reports reach every controller as a new leader begins': (random, at, day) => [
    { kind: 'reports_again', at_s: at - 20, for_s: 60, share: random.uniform(0.1, 0.8), for_next: true },
    { kind: 'controller_crash', at_s: at, controller: 'leader', down_s: drawShortDowntimeS(random) },
    { kind: 'cancel_now', at_s: at - 2, count: 12, ...drawHang(random, day) },
    {
      kind: 'controller_crash',
      at_s: at + random.uniform(8, 25),
      controller: drawController(random, day),
      down_s: random.uniform(1, 9),
    },
  ],
  'new machines up at once while writes lag, and the leader ends': (random, at, day) => [
    { kind: 'boots_at_once', at_s: at - 20, for_s: 60 },
    { kind: 'burst', at_s: at - 20, for_s: 40, class: random.pickOne(day.classes)?.name ?? '', times: 5 },
    { kind: 'late_writes', at_s: at - 10, for_s: 30, share: random.uniform(0.1, 0.4), at_once: random.chance(0.5) },
    { kind: 'controller_crash', at_s: at, controller: 'leader', down_s: drawShortDowntimeS(random) },
    {
      kind: 'controller_crash',
      at_s: at + random.uniform(5, 15),
      controller: 'leader',
      down_s: drawShortDowntimeS(random),
    },
  ],
  'all controllers away for longer than a lease': (random, at, day) => [
    { kind: 'cancel_now', at_s: at - random.uniform(0, 3), count: 12, ...drawHang(random, day) },
    { kind: 'controller_crash', at_s: at, controller: 'all', down_s: day.workers.lease_s + random.uniform(1, 15) },
  ],
  'leaders change ten times': (random, at) => [
    ...Array.from({ length: 10 }, (_, i): Fault => ({
      ...{ kind: 'controller_crash', at_s: at - 25 + i * 9, controller: 'leader' },
      down_s: random.pickOne([0.2, 2, 6]) ?? 2,
    })),
    ...(random.chance(0.5) ? [{ kind: 'state_outage', at_s: at, for_s: random.uniform(5, 40) } as const] : []),
  ],
  'a zone cut off for longer than a lease, machines of a zone lost': (random, at, day) => {
    const zone = random.pickOne(day.zones) ?? '';
    return [
      {
        kind: 'zone_cut',
        at_s: at,
        for_s: day.workers.lease_s + random.uniform(1, 25),
        zone,
        manner: drawPartitionManner(random),
      },
      {
        kind: 'machines_die',
        at_s: at + random.uniform(-5, 30),
        share: random.uniform(0.1, 0.5),
        zone: random.pickOne(day.zones),
      },
      { kind: 'cancel_now', at_s: at + 1, count: 12, ...drawHang(random, day) },
    ];
  },
  'more work than room, urgent and not, over slow links': (random, at, day) => [
    { kind: 'capacity_drop', at_s: at - 20, for_s: 70, share: random.uniform(0.3, 0.8) },
    ...day.classes.map((c): Fault => ({ kind: 'burst', at_s: at - 20, for_s: 40, class: c.name, times: 4 })),
    { kind: 'answers_held', at_s: at - 10, for_s: 50, share: random.uniform(0.05, 0.3) },
    { kind: 'state_slow', at_s: at, for_s: random.uniform(10, 40), times: 10 },
  ],
};

/** A scenario with two combinations of faults. */
export interface DrawnCombination {
  /** Names of the combinations. */
  readonly names: readonly string[];
  readonly day: SimulationScenario;
}

/** Draws two combinations that start at about the same time, while most long arrays are cancelled. Depends on the seed and the base scenario alone. */
export function drawCombination(seed: number, base: SimulationScenario): DrawnCombination {
  const random = new RandomStream(seed, 'meetings');
  const names = random.sample(Object.keys(FAULT_COMBINATIONS), 2);
  const at = random.uniform(FIRST_FAULT_MIN_S, FIRST_FAULT_MAX_S);
  const faults = names.flatMap(
    (name, i) => FAULT_COMBINATIONS[name]?.(random, at + i * random.uniform(-10, 15), base) ?? [],
  );
  const array = base.classes.find(({ shape }) => shape === 'array');
  const longArrayClass = array?.name;
  // In half of the scenarios, the team of the long arrays is at its limit most of the time.
  const limitedTeam = random.chance(0.5) ? array?.team : undefined;
  const day: SimulationScenario = {
    ...base,
    name: `meeting-${seed}`,
    seed,
    duration_s: SCENARIO_DURATION_S,
    quiet_end_s: 0,
    teams: base.teams.map((team) => (team.name === limitedTeam ? { ...team, cpus_max: LOW_TEAM_CPU_LIMIT } : team)),
    classes: base.classes.map((c) =>
      c.name === longArrayClass
        ? { ...c, run_s: { median: 90, p95: 140, max: 160 }, cancel_share: 0.7, initial: 6, per_minute: 10 }
        : c,
    ),
    troubles: faults
      .map((fault) => {
        const rounded = { ...fault, at_s: roundToTenths(Math.max(1, fault.at_s)) };
        return 'for_s' in rounded ? { ...rounded, for_s: roundToTenths(Math.max(0.1, rounded.for_s)) } : rounded;
      })
      .sort((a, b) => a.at_s - b.at_s),
  };
  return { names, day };
}
