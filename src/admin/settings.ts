import * as v from 'valibot';
import { isObject } from '../kernel/index.js';
import { DEFAULT_TUNABLES, type Tunables } from '../speculation/index.js';
import { isForeign, unknownFields, type Fields } from '../state/index.js';

/** What operators set. Stored in the state service and taken up by every node through the watch. */
export interface OperatorSettings {
  readonly tunables: Tunables;
  readonly cordoned: ReadonlySet<string>;
  readonly drained: ReadonlySet<string>;
  /** What a later release has added, fields and tunables; it is kept. */
  readonly rest?: Fields;
  readonly restTunables?: Fields;
}

/** The newest version of the settings that this program reads. */
export const SETTINGS_FORMAT = 1;

const share = v.pipe(v.number(), v.minValue(0), v.maxValue(1));
const weight = v.pipe(v.number(), v.minValue(0), v.maxValue(10));

const tunables = v.strictObject({
  alpha: v.optional(weight),
  beta: v.optional(weight),
  mu: v.optional(share),
  omega: v.optional(share),
  phi: v.optional(share),
  progressCap: v.optional(v.pipe(v.number(), v.minValue(0.5), v.maxValue(0.999))),
  baseline: v.optional(v.pipe(v.number(), v.minValue(1), v.maxValue(10))),
  floor: v.optional(v.pipe(v.number(), v.minValue(1), v.maxValue(10))),
  roundShare: v.optional(v.pipe(v.number(), v.gtValue(0), v.maxValue(1))),
});

const TUNABLES: ReadonlySet<string> = new Set(Object.keys(tunables.entries));
const KNOWN: ReadonlySet<string> = new Set(['tunables', 'cordoned', 'drained']);

export type TunablesPatch = v.InferOutput<typeof tunables>;
export type MachineMark = 'cordon' | 'drain' | 'uncordon';

export function parseTunables(body: unknown): { ok: true; patch: TunablesPatch } | { ok: false; reason: string } {
  if (!isObject(body)) return { ok: false, reason: 'the body must be a JSON object' };
  const result = v.safeParse(tunables, body);
  if (result.success) return { ok: true, patch: result.output };
  const issue = result.issues[0];
  return { ok: false, reason: `${v.getDotPath(issue) ?? 'body'}: ${issue.message}` };
}

const strings = (value: unknown): string[] => (Array.isArray(value) ? value.filter((x) => typeof x === 'string') : []);

export function decodeSettings(value: unknown): OperatorSettings {
  const stored = isObject(value) && !isForeign(value, SETTINGS_FORMAT) ? value : {};
  const given = isObject(stored['tunables']) ? stored['tunables'] : {};
  // A tunable that only a later release has must not cost the others.
  const restTunables = unknownFields(given, TUNABLES);
  const own = Object.fromEntries(Object.entries(given).filter(([name]) => TUNABLES.has(name)));
  const parsed = parseTunables(own);
  const known = parsed.ok ? Object.fromEntries(Object.entries(parsed.patch).filter(([, x]) => x !== undefined)) : {};
  return {
    tunables: { ...DEFAULT_TUNABLES, ...known },
    cordoned: new Set(strings(stored['cordoned'])),
    drained: new Set(strings(stored['drained'])),
    rest: unknownFields(stored, KNOWN),
    restTunables,
  };
}

export const encodeSettings = (s: OperatorSettings): Fields => ({
  ...s.rest,
  tunables: { ...s.restTunables, ...s.tunables },
  cordoned: [...s.cordoned].sort(),
  drained: [...s.drained].sort(),
});

export function mark(s: OperatorSettings, machine: string, how: MachineMark): OperatorSettings {
  const cordoned = new Set(s.cordoned);
  const drained = new Set(s.drained);
  cordoned.delete(machine);
  drained.delete(machine);
  if (how === 'cordon') cordoned.add(machine);
  if (how === 'drain') drained.add(machine);
  return { ...s, cordoned, drained };
}
