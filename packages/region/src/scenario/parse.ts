import { parseTOML } from 'toml-eslint-parser';
import { parse } from 'smol-toml';
import * as v from 'valibot';
import { isObject } from '../../../../src/kernel/index.js';
import { ANY_TEAM, simulationScenarioSchema, type SimulationScenario } from './schema.js';

/** An invalid scenario. The message is one line with the file, the line and the field. */
export class ScenarioError extends Error {}

/** Alternative names of fault kinds that operators use, with the kinds of the schema. */
const FAULT_KIND_ALIASES: Readonly<Record<string, string>> = {
  machine_deaf: 'machines_deaf',
  machine_mute: 'machines_mute',
  late_reports: 'reports_again',
};

/** Replaces alternative names of fault kinds; anything else stays for the schema to check. */
function resolveFaultAliases(raw: unknown): unknown {
  const faults = isObject(raw) ? raw['troubles'] : undefined;
  if (!isObject(raw) || !Array.isArray(faults)) return raw;
  const resolveAlias = (fault: unknown): unknown => {
    const kind = isObject(fault) ? fault['kind'] : undefined;
    const resolved = typeof kind === 'string' ? FAULT_KIND_ALIASES[kind] : undefined;
    return isObject(fault) && resolved !== undefined ? { ...fault, kind: resolved } : fault;
  };
  return { ...raw, troubles: faults.map(resolveAlias) };
}

/** Path of a field: keys and array indexes. */
type Path = readonly (string | number)[];

/** A TOML table node with its full key and its position. */
interface KeyedNode {
  readonly resolvedKey: Path;
  readonly loc: { readonly start: { readonly line: number } };
}

/** Line of a field, or of the innermost enclosing element that is present. */
function lineOf(toml: string, path: Path): number {
  let best = 1;
  let depth = 0;
  const consider = (key: Path, line: number): void => {
    if (key.length <= path.length && key.length > depth && key.every((part, i) => part === path[i]))
      [best, depth] = [line, key.length];
  };
  const [top] = parseTOML(toml).body;
  for (const node of top.body) {
    const base: Path = node.type === 'TOMLTable' ? (node as KeyedNode).resolvedKey : [];
    if (node.type === 'TOMLTable') consider(base, node.loc.start.line);
    for (const pair of node.type === 'TOMLTable' ? node.body : [node]) {
      const key = [...base, ...pair.key.keys.map((part) => (part.type === 'TOMLBare' ? part.name : part.value))];
      consider(key, pair.loc.start.line);
    }
  }
  return best;
}

/** Checks what the schema cannot express: references to names, and whether the scenario can be run. Returns the first problem. */
function findInconsistency(day: SimulationScenario): { readonly path: Path; readonly message: string } | null {
  const types = new Set(day.machine_types.map((type) => type.name));
  const zones = new Set(day.zones);
  const teams = new Set(day.teams.map((team) => team.name));
  const classes = new Set(day.classes.map((c) => c.name));
  const unknown = (path: Path, what: string, given: string, known: ReadonlySet<string>) =>
    known.has(given) ? null : { path, message: `no such ${what}: ${given}` };
  for (const list of ['capacity', 'machines'] as const) {
    for (const [i, entry] of day[list].entries()) {
      const problem =
        unknown([list, i, 'type'], 'machine type', entry.type, types) ??
        unknown([list, i, 'zone'], 'zone', entry.zone, zones);
      if (problem) return problem;
    }
  }
  for (const [i, { type, zone, spot, count }] of day.machines.entries()) {
    const capacity = day.capacity
      .filter((c) => c.type === type && c.zone === zone)
      .reduce((sum, c) => sum + (spot ? c.spot : c.ordinary), 0);
    if (count > capacity)
      return { path: ['machines', i, 'count'], message: `${count} machines, but capacity for ${capacity}` };
  }
  for (const [i, c] of day.classes.entries()) {
    const problem =
      (c.team === ANY_TEAM ? null : unknown(['classes', i, 'team'], 'team', c.team, teams)) ??
      (c.zone === undefined ? null : unknown(['classes', i, 'zone'], 'zone', c.zone, zones)) ??
      c.types?.map((type, j) => unknown(['classes', i, 'types', j], 'machine type', type, types)).find((x) => x) ??
      null;
    if (problem) return problem;
    const fits = day.machine_types.some(
      (t) => (c.types?.includes(t.name) ?? true) && t.cpus >= c.cpus && t.gpus >= c.gpus && t.memory_gb >= c.memory_gb,
    );
    if (!fits) return { path: ['classes', i], message: 'a task of this class fits no machine type' };
    const inPipeline = day.pipelines.some((p) => p.stages.some((stage) => stage.class === c.name));
    if (c.initial === 0 && c.per_minute === 0 && !inPipeline)
      return { path: ['classes', i], message: 'no job of this class ever arrives: initial and per_minute are 0' };
    for (const [j, objective] of c.aims.entries()) {
      if ((objective.kind === 'up') !== (c.shape === 'service') && objective.kind !== 'wait')
        return {
          path: ['classes', i, 'aims', j],
          message: `a job of shape ${c.shape} cannot have an objective of kind ${objective.kind}`,
        };
      if (objective.kind === 'deadline' && c.deadline_factor === undefined)
        return { path: ['classes', i, 'aims', j], message: 'the class has no deadline_factor' };
    }
  }
  for (const [i, p] of day.pipelines.entries()) {
    for (const [j, stage] of p.stages.entries()) {
      const path = ['pipelines', i, 'stages', j];
      const problem = unknown([...path, 'class'], 'class', stage.class, classes);
      if (problem) return problem;
      if (day.classes.some((c) => c.name === stage.class && c.shape === 'service'))
        return { path: [...path, 'class'], message: 'a service never finishes, so no stage can depend on it' };
      if (stage.needs.some((need) => need >= j))
        return { path: [...path, 'needs'], message: 'a stage can only depend on stages before it' };
    }
    if (p.initial === 0 && p.per_minute === 0)
      return { path: ['pipelines', i], message: 'no pipeline of this kind ever arrives: initial and per_minute are 0' };
  }
  if (day.troubles.some(({ kind }) => kind === 'state_limits') && !day.state.next)
    return { path: ['state', 'next'], message: 'required by the fault state_limits' };
  if (day.controllers.releases.length > day.controllers.count)
    return { path: ['controllers', 'releases'], message: `more releases than controllers (${day.controllers.count})` };
  for (const [i, fault] of day.troubles.entries()) {
    const path = ['troubles', i];
    if (fault.at_s >= day.duration_s)
      return { path: [...path, 'at_s'], message: 'starts after the end of the scenario' };
    const problem =
      ('zone' in fault && fault.zone !== undefined ? unknown([...path, 'zone'], 'zone', fault.zone, zones) : null) ??
      ('class' in fault ? unknown([...path, 'class'], 'class', fault.class, classes) : null);
    if (problem) return problem;
    if ('controller' in fault && typeof fault.controller === 'number' && fault.controller >= day.controllers.count)
      return {
        path: [...path, 'controller'],
        message: `there are ${day.controllers.count} controllers, numbered from 0`,
      };
    if (fault.kind === 'rollout' && fault.order?.some((controller) => controller >= day.controllers.count))
      return { path: [...path, 'order'], message: `there are ${day.controllers.count} controllers, numbered from 0` };
    const isKeptCopy = (fault.kind === 'reports_again' || fault.kind === 'commands_again') && fault.for_next === true;
    if (isKeptCopy && fault.late_s !== undefined)
      return { path: [...path, 'late_s'], message: 'late_s and for_next exclude each other' };
    if (fault.kind.startsWith('machines_') || fault.kind === 'commands_held') {
      const { count, share } = fault as { readonly count?: number; readonly share?: number };
      if ((count === undefined) === (share === undefined)) return { path, message: 'needs either a count or a share' };
    }
  }
  return null;
}

/** Parses a scenario; throws an error that names the file, the line and the field of the first problem. */
export function parseScenario(toml: string, file: string): SimulationScenario {
  let raw: unknown;
  try {
    raw = parse(toml);
  } catch (error) {
    const position = error as { line?: number };
    const reason = error instanceof Error ? (error.message.split('\n')[0] ?? '') : String(error);
    throw new ScenarioError(`${file}:${position.line ?? 1}: ${reason}`);
  }
  const fail = (path: Path, message: string): never => {
    throw new ScenarioError(`${file}:${lineOf(toml, path)}: ${path.join('.') || 'day'}: ${message}`);
  };
  const result = v.safeParse(simulationScenarioSchema, resolveFaultAliases(raw));
  if (!result.success) {
    // An unknown field is often a misspelling and then the cause of a missing field, so it is reported first.
    const unknown = result.issues.find((candidate) => candidate.expected === 'never');
    const issue = unknown ?? result.issues[0];
    const path = (issue.path ?? []).map(({ key }) => (typeof key === 'number' ? key : String(key)));
    return fail(path, unknown ? 'no such field' : issue.message);
  }
  const inconsistency = findInconsistency(result.output);
  if (inconsistency) return fail(inconsistency.path, inconsistency.message);
  return result.output;
}
