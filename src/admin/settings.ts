/** Operators' settings: their model, validation and stored form. */
import * as v from 'valibot';
import { isObject } from '../kernel/index.js';
import { DEFAULT_TUNABLES, type Tunables } from '../speculation/index.js';
import { isNewerFormat, unknownFields, type RecordFields } from '../state/index.js';

/**
 * Settings that operators change at run time. Stored in the state service; every node follows them through its watch.
 */
export interface OperatorSettings {
  /** Parameters of the straggler threshold. */
  readonly tunables: Tunables;
  /** Ids of machines on which no task is started. */
  readonly cordoned: ReadonlySet<string>;
  /** Ids of machines on which no task is started and whose running tasks are moved elsewhere. */
  readonly drained: ReadonlySet<string>;
  /** Fields that a later release has added; they are kept when the settings are rewritten. */
  readonly rest?: RecordFields;
  /** Tunables that a later release has added; they are kept as well. */
  readonly restTunables?: RecordFields;
}

/** The newest version of the settings that this program reads. */
export const SETTINGS_FORMAT = 1;

const fraction = v.pipe(v.number(), v.minValue(0), v.maxValue(1));
const weight = v.pipe(v.number(), v.minValue(0), v.maxValue(10));

const tunablesSchema = v.strictObject({
  alpha: v.optional(weight),
  beta: v.optional(weight),
  mu: v.optional(fraction),
  omega: v.optional(fraction),
  phi: v.optional(fraction),
  progressCap: v.optional(v.pipe(v.number(), v.minValue(0.5), v.maxValue(0.999))),
  baseline: v.optional(v.pipe(v.number(), v.minValue(1), v.maxValue(10))),
  floor: v.optional(v.pipe(v.number(), v.minValue(1), v.maxValue(10))),
  roundShare: v.optional(v.pipe(v.number(), v.gtValue(0), v.maxValue(1))),
});

const TUNABLE_NAMES: ReadonlySet<string> = new Set(Object.keys(tunablesSchema.entries));
const KNOWN_FIELDS: ReadonlySet<string> = new Set(['tunables', 'cordoned', 'drained']);

/** A partial update of the tunables. */
export type TunablesPatch = v.InferOutput<typeof tunablesSchema>;
/** What an operator may do with a machine; `uncordon` undoes both `cordon` and `drain`. */
export type MachineAction = 'cordon' | 'drain' | 'uncordon';

/** Validates an operator's update of the tunables; the reason for a rejection names the field. */
export function parseTunables(body: unknown): { ok: true; patch: TunablesPatch } | { ok: false; reason: string } {
  if (!isObject(body)) return { ok: false, reason: 'the body must be a JSON object' };
  const result = v.safeParse(tunablesSchema, body);
  if (result.success) return { ok: true, patch: result.output };
  const issue = result.issues[0];
  return { ok: false, reason: `${v.getDotPath(issue) ?? 'body'}: ${issue.message}` };
}

const strings = (value: unknown): string[] => (Array.isArray(value) ? value.filter((x) => typeof x === 'string') : []);

/**
 * Decodes stored settings. Falls back to the defaults if they are absent or of a newer version; all tunables fall back
 * if one of them is invalid.
 */
export function decodeSettings(value: unknown): OperatorSettings {
  const stored = isObject(value) && !isNewerFormat(value, SETTINGS_FORMAT) ? value : {};
  const storedTunables = isObject(stored['tunables']) ? stored['tunables'] : {};
  // A tunable that only a later release knows must not invalidate the others.
  const restTunables = unknownFields(storedTunables, TUNABLE_NAMES);
  const knownTunables = Object.fromEntries(Object.entries(storedTunables).filter(([name]) => TUNABLE_NAMES.has(name)));
  const parsed = parseTunables(knownTunables);
  const overrides = parsed.ok
    ? Object.fromEntries(Object.entries(parsed.patch).filter(([, x]) => x !== undefined))
    : {};
  return {
    tunables: { ...DEFAULT_TUNABLES, ...overrides },
    cordoned: new Set(strings(stored['cordoned'])),
    drained: new Set(strings(stored['drained'])),
    rest: unknownFields(stored, KNOWN_FIELDS),
    restTunables,
  };
}

/** Encodes settings for the state service and for the administration API. */
export const encodeSettings = (s: OperatorSettings): RecordFields => ({
  ...s.rest,
  tunables: { ...s.restTunables, ...s.tunables },
  cordoned: [...s.cordoned].sort(),
  drained: [...s.drained].sort(),
});

/** Returns the settings after an operator's action on a machine. */
export function markMachine(s: OperatorSettings, machine: string, action: MachineAction): OperatorSettings {
  const cordoned = new Set(s.cordoned);
  const drained = new Set(s.drained);
  cordoned.delete(machine);
  drained.delete(machine);
  if (action === 'cordon') cordoned.add(machine);
  if (action === 'drain') drained.add(machine);
  return { ...s, cordoned, drained };
}
