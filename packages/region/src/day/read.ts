import { parseTOML } from 'toml-eslint-parser';
import { parse } from 'smol-toml';
import * as v from 'valibot';
import { isObject } from '../../../../src/kernel/index.js';
import { ANY_TEAM, daySchema, type Day } from './schema.js';

/** Says in one line what is wrong, with the file, the line and the field. */
export class DayError extends Error {}

/** What the operators call some troubles. */
const OPERATORS_NAMES: Readonly<Record<string, string>> = {
  machine_deaf: 'machines_deaf',
  machine_mute: 'machines_mute',
  late_reports: 'reports_again',
};

function translated(raw: unknown): unknown {
  const troubles = isObject(raw) ? raw['troubles'] : undefined;
  if (!isObject(raw) || !Array.isArray(troubles)) return raw;
  const named = (given: unknown): unknown => {
    const kind = isObject(given) ? given['kind'] : undefined;
    const ours = typeof kind === 'string' ? OPERATORS_NAMES[kind] : undefined;
    return isObject(given) && ours !== undefined ? { ...given, kind: ours } : given;
  };
  return { ...raw, troubles: troubles.map(named) };
}

type Path = readonly (string | number)[];

interface Named {
  readonly resolvedKey: Path;
  readonly loc: { readonly start: { readonly line: number } };
}

/** The line on which a field stands, or the nearest thing around it that is there. */
function lineOf(toml: string, path: Path): number {
  let best = 1;
  let depth = 0;
  const consider = (key: Path, line: number): void => {
    if (key.length <= path.length && key.length > depth && key.every((part, i) => part === path[i]))
      [best, depth] = [line, key.length];
  };
  const [top] = parseTOML(toml).body;
  for (const node of top.body) {
    const base: Path = node.type === 'TOMLTable' ? (node as Named).resolvedKey : [];
    if (node.type === 'TOMLTable') consider(base, node.loc.start.line);
    for (const pair of node.type === 'TOMLTable' ? node.body : [node]) {
      const key = [...base, ...pair.key.keys.map((part) => (part.type === 'TOMLBare' ? part.name : part.value))];
      consider(key, pair.loc.start.line);
    }
  }
  return best;
}

/** What no schema says: names that must exist, and a day that can be played at all. */
function impossible(day: Day): { readonly path: Path; readonly message: string } | null {
  const types = new Set(day.machine_types.map((type) => type.name));
  const zones = new Set(day.zones);
  const teams = new Set(day.teams.map((team) => team.name));
  const classes = new Set(day.classes.map((c) => c.name));
  const unknown = (path: Path, what: string, given: string, known: ReadonlySet<string>) =>
    known.has(given) ? null : { path, message: `no such ${what}: ${given}` };
  for (const list of ['capacity', 'machines'] as const) {
    for (const [i, entry] of day[list].entries()) {
      const wrong =
        unknown([list, i, 'type'], 'machine type', entry.type, types) ??
        unknown([list, i, 'zone'], 'zone', entry.zone, zones);
      if (wrong) return wrong;
    }
  }
  for (const [i, { type, zone, spot, count }] of day.machines.entries()) {
    const room = day.capacity
      .filter((c) => c.type === type && c.zone === zone)
      .reduce((sum, c) => sum + (spot ? c.spot : c.ordinary), 0);
    if (count > room) return { path: ['machines', i, 'count'], message: `${count} machines, but capacity for ${room}` };
  }
  for (const [i, c] of day.classes.entries()) {
    const wrong =
      (c.team === ANY_TEAM ? null : unknown(['classes', i, 'team'], 'team', c.team, teams)) ??
      (c.zone === undefined ? null : unknown(['classes', i, 'zone'], 'zone', c.zone, zones)) ??
      c.types?.map((type, j) => unknown(['classes', i, 'types', j], 'machine type', type, types)).find((x) => x) ??
      null;
    if (wrong) return wrong;
    const fits = day.machine_types.some(
      (t) => (c.types?.includes(t.name) ?? true) && t.cpus >= c.cpus && t.gpus >= c.gpus && t.memory_gb >= c.memory_gb,
    );
    if (!fits) return { path: ['classes', i], message: 'a task of this class fits no machine type' };
    const staged = day.pipelines.some((p) => p.stages.some((stage) => stage.class === c.name));
    if (c.initial === 0 && c.per_minute === 0 && !staged)
      return { path: ['classes', i], message: 'no job of this class ever arrives: initial and per_minute are 0' };
    for (const [j, aim] of c.aims.entries()) {
      if ((aim.kind === 'up') !== (c.shape === 'service') && aim.kind !== 'wait')
        return { path: ['classes', i, 'aims', j], message: `a ${c.shape} has no aim of the kind ${aim.kind}` };
      if (aim.kind === 'deadline' && c.deadline_factor === undefined)
        return { path: ['classes', i, 'aims', j], message: 'the class has no deadline_factor' };
    }
  }
  for (const [i, p] of day.pipelines.entries()) {
    for (const [j, stage] of p.stages.entries()) {
      const path = ['pipelines', i, 'stages', j];
      const wrong = unknown([...path, 'class'], 'class', stage.class, classes);
      if (wrong) return wrong;
      if (day.classes.some((c) => c.name === stage.class && c.shape === 'service'))
        return { path: [...path, 'class'], message: 'a service is never done: nothing can await it' };
      if (stage.needs.some((need) => need >= j))
        return { path: [...path, 'needs'], message: 'a stage needs only stages before it' };
    }
    if (p.initial === 0 && p.per_minute === 0)
      return { path: ['pipelines', i], message: 'never arrives: initial and per_minute are 0' };
  }
  if (day.troubles.some(({ kind }) => kind === 'state_limits') && !day.state.next)
    return { path: ['state', 'next'], message: 'the trouble state_limits needs them' };
  if (day.controllers.releases.length > day.controllers.count)
    return { path: ['controllers', 'releases'], message: `${day.controllers.count} controllers, but more releases` };
  for (const [i, trouble] of day.troubles.entries()) {
    const path = ['troubles', i];
    if (trouble.at_s >= day.duration_s) return { path: [...path, 'at_s'], message: 'begins after the day has ended' };
    const wrong =
      ('zone' in trouble && trouble.zone !== undefined
        ? unknown([...path, 'zone'], 'zone', trouble.zone, zones)
        : null) ?? ('class' in trouble ? unknown([...path, 'class'], 'class', trouble.class, classes) : null);
    if (wrong) return wrong;
    if (
      'controller' in trouble &&
      typeof trouble.controller === 'number' &&
      trouble.controller >= day.controllers.count
    )
      return { path: [...path, 'controller'], message: `there are ${day.controllers.count} controllers, from 0` };
    if (trouble.kind === 'rollout' && trouble.order?.some((which) => which >= day.controllers.count))
      return { path: [...path, 'order'], message: `there are ${day.controllers.count} controllers, from 0` };
    if (trouble.kind === 'reports_again' && trouble.for_next === true && trouble.late_s !== undefined)
      return { path: [...path, 'late_s'], message: 'copies that wait for the next leader have no time of their own' };
    if (trouble.kind.startsWith('machines_') || trouble.kind === 'commands_held') {
      const { count, share } = trouble as { readonly count?: number; readonly share?: number };
      if ((count === undefined) === (share === undefined)) return { path, message: 'needs either a count or a share' };
    }
  }
  return null;
}

/** Reads a day; a DayError names the file, the line and the field of whatever is wrong. */
export function readDay(toml: string, file: string): Day {
  let raw: unknown;
  try {
    raw = parse(toml);
  } catch (error) {
    const at = error as { line?: number };
    const reason = error instanceof Error ? (error.message.split('\n')[0] ?? '') : String(error);
    throw new DayError(`${file}:${at.line ?? 1}: ${reason}`);
  }
  const fail = (path: Path, message: string): never => {
    throw new DayError(`${file}:${lineOf(toml, path)}: ${path.join('.') || 'day'}: ${message}`);
  };
  const result = v.safeParse(daySchema, translated(raw));
  if (!result.success) {
    // A field that nobody knows is the likely cause of another that is missing.
    const unknown = result.issues.find((candidate) => candidate.expected === 'never');
    const issue = unknown ?? result.issues[0];
    const path = (issue.path ?? []).map(({ key }) => (typeof key === 'number' ? key : String(key)));
    return fail(path, unknown ? 'no such field' : issue.message);
  }
  const wrong = impossible(result.output);
  if (wrong) return fail(wrong.path, wrong.message);
  return result.output;
}
