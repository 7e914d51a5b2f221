import type { Day, Trouble } from '../day/index.js';
import { Luck } from '../sim/index.js';

/** Where the first trouble of a meeting may begin, in seconds of the day. */
const FIRST_S = 40;
const LAST_S = 75;
/** What is drawn ends so long before the day does, so that what is owed by then is owed. */
const LASTS_S = 215;

type Draw = (luck: Luck, at: number, day: Day) => readonly Trouble[];

const tenths = (value: number): number => Math.round(value * 10) / 10;
const someone = (luck: Luck, day: Day): number | 'leader' =>
  luck.chance(0.5) ? 'leader' : luck.whole(day.controllers.count);
const held = (luck: Luck): 'hold' | 'reset' => (luck.chance(0.7) ? 'hold' : 'reset');
const moment = (luck: Luck): number => luck.pick([0.05, 0.2, 0.5, 1]) ?? 0.5;

/** The meetings of troubles that the operators name, drawn with other times and parts each time: docs/meetings.md. */
export const MEETINGS: Readonly<Record<string, Draw>> = {
  'ends far apart across a change of leader': (luck, at, day) => [
    { kind: 'machines_slow', at_s: at - 20, for_s: 100, share: 0.5, times: 4 },
    { kind: 'controller_crash', at_s: at, controller: 'leader', down_s: luck.pick([0.2, 4, 20]) ?? 4 },
    {
      kind: 'controller_crash',
      at_s: at + luck.between(1, 20),
      controller: someone(luck, day),
      down_s: luck.pick([0.2, 4, 20]) ?? 4,
    },
  ],
  'over and back, all end, one returns': (luck, at, day) => [
    { kind: 'controller_crash', at_s: at, controller: someone(luck, day), down_s: luck.between(4, 9) },
    { kind: 'controller_crash', at_s: at + luck.between(4, 14), controller: 'all', down_s: moment(luck) },
    {
      kind: 'controller_crash',
      at_s: at + luck.between(14, 16),
      controller: luck.whole(day.controllers.count),
      down_s: moment(luck),
    },
    { kind: 'controller_crash', at_s: at + luck.between(16, 30), controller: 'all', down_s: moment(luck) },
  ],
  'slow, then refusing one alone, then gone for all': (luck, at, day) => {
    const alone = luck.between(0.5, 9);
    return [
      { kind: 'state_slow', at_s: at - 15, for_s: 15 + alone, times: 20 },
      { kind: 'controller_refused', at_s: at, for_s: alone + luck.between(5, 60), controller: someone(luck, day) },
      { kind: 'state_outage', at_s: at + alone, for_s: luck.between(30, 70) },
    ];
  },
  'refused alone, then gone for all': (luck, at, day) => {
    const alone = luck.between(0.5, 9);
    return [
      { kind: 'controller_refused', at_s: at, for_s: alone + luck.between(0, 60), controller: someone(luck, day) },
      { kind: 'state_outage', at_s: at + alone, for_s: luck.between(48, 80) },
    ];
  },
  'the leader ends while machines are out of reach or deaf': (luck, at) => [
    luck.chance(0.5)
      ? { kind: 'machines_deaf', at_s: at - 5, for_s: luck.between(10, 70), share: luck.between(0.1, 0.5) }
      : {
          ...{ kind: 'machines_cut', at_s: at - 5, for_s: luck.between(10, 70) },
          ...{ share: luck.between(0.1, 0.5), manner: held(luck) },
        },
    { kind: 'controller_crash', at_s: at, controller: 'leader', down_s: luck.pick([0.2, 4, 30]) ?? 4 },
  ],
  'cut from the state service and the controllers': (luck, at, day) => {
    const controller = someone(luck, day);
    const cut = { kind: 'controller_cut', controller, from: 'state and controllers', manner: held(luck) } as const;
    const outage: Trouble = { kind: 'state_outage', at_s: at + luck.between(1, 20), for_s: luck.between(20, 70) };
    return [{ ...cut, at_s: at, for_s: luck.between(3, 90) }, ...(luck.chance(0.6) ? [outage] : [])];
  },
  'transactions carried out late': (luck, at, day) => [
    { kind: 'late_writes', at_s: at - 5, for_s: luck.between(20, 60), share: luck.between(0.05, 0.3) },
    { kind: 'controller_crash', at_s: at, controller: someone(luck, day), down_s: moment(luck) },
    { kind: 'controller_refused', at_s: at + 8, for_s: luck.between(3, 12), controller: someone(luck, day) },
  ],
  'reports that come again': (luck, at, day) => [
    { kind: 'reports_again', at_s: at - 20, for_s: 70, share: 0.4, late_s: luck.pick([3, 20, 60]) ?? 20 },
    { kind: 'controller_crash', at_s: at, controller: someone(luck, day), down_s: luck.pick([0.2, 4, 20]) ?? 4 },
    { kind: 'machines_restart', at_s: at + luck.between(2, 20), share: 0.3, down_s: moment(luck) },
  ],
  'commands and answers held up': (luck, at, day) => [
    {
      ...{ kind: 'controller_cut', at_s: at, for_s: luck.between(2, 40), controller: someone(luck, day) },
      ...{ from: 'workers', manner: 'hold' },
    },
    luck.chance(0.5)
      ? { kind: 'machines_hang', at_s: at + luck.between(-3, 5), for_s: luck.between(2, 25), share: 0.3 }
      : { kind: 'controller_pause', at_s: at + luck.between(-3, 5), for_s: luck.between(2, 25), controller: 'leader' },
  ],
};

export interface Meeting {
  /** Which meetings meet, by their names. */
  readonly names: readonly string[];
  readonly day: Day;
}

/** A day of two meetings at about the same time, while most long arrays are cancelled; by seed alone. */
export function drawMeeting(seed: number, base: Day): Meeting {
  const luck = new Luck(seed, 'meetings');
  const names = luck.some(Object.keys(MEETINGS), 2);
  const at = luck.between(FIRST_S, LAST_S);
  const troubles = names.flatMap((name, i) => MEETINGS[name]?.(luck, at + i * luck.between(-10, 15), base) ?? []);
  const longest = base.classes.find(({ shape }) => shape === 'array')?.name;
  const day: Day = {
    ...base,
    name: `meeting-${seed}`,
    seed,
    duration_s: LASTS_S,
    quiet_end_s: 0,
    classes: base.classes.map((c) =>
      c.name === longest
        ? { ...c, run_s: { median: 90, p95: 140, max: 160 }, cancel_share: 0.7, initial: 6, per_minute: 10 }
        : c,
    ),
    troubles: troubles
      .map((trouble) => {
        const rounded = { ...trouble, at_s: tenths(Math.max(1, trouble.at_s)) };
        return 'for_s' in rounded ? { ...rounded, for_s: tenths(Math.max(0.1, rounded.for_s)) } : rounded;
      })
      .sort((a, b) => a.at_s - b.at_s),
  };
  return { names, day };
}
