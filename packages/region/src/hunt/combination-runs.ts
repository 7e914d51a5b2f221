/** Runs fault combinations by seed and stores one result a line, so that an interrupted run can be continued. */
import { appendFileSync, existsSync, readFileSync } from 'node:fs';
import * as v from 'valibot';
import type { SimulationScenario } from '../scenario/index.js';

import type { ReleaseCatalog } from '../releases/index.js';
import { runUntilViolation } from './search.js';
import { drawCombination } from './fault-combinations.js';

/** Options of a run of fault combinations. */
export interface CombinationRunOptions {
  /** First seed. */
  readonly from: number;
  /** Number of seeds. */
  readonly count: number;
  /** Release of all controllers. */
  readonly as: string;
  /** Path of the results file. */
  readonly list: string;
}

/** One line of the results file: the seed, the release and the violated rules. */
const resultSchema = v.object({ seed: v.number(), as: v.string(), broken: v.array(v.string()) });
type RunResult = v.InferOutput<typeof resultSchema>;

/** A results file that contains a line of another format. */
export class ResultsFileError extends Error {}

/** Reads the stored results; a missing file counts as empty. */
function readResults(file: string): RunResult[] {
  if (!existsSync(file)) return [];
  const lines = readFileSync(file, 'utf8').split('\n');
  return lines.flatMap((text, i) => {
    if (text.trim() === '') return [];
    try {
      return [v.parse(resultSchema, JSON.parse(text))];
    } catch {
      // The last line may be incomplete if an earlier run was stopped while writing it.
      if (i === lines.length - 1) return [];
      throw new ResultsFileError(`${file}, line ${i + 1}: not a result of a fault combination`);
    }
  });
}

/** Runs the seeds that have no stored result yet and logs how many stored results have a violation; returns whether none has. */
export async function runCombinations(
  base: SimulationScenario,
  { from, count, as, list }: CombinationRunOptions,
  releases: ReleaseCatalog,
  log: (line: string) => void,
): Promise<boolean> {
  const resultsBySeed = new Map(readResults(list).flatMap((line) => (line.as === as ? [[line.seed, line]] : [])));
  const { count: controllers } = base.controllers;
  for (let seed = from; seed < from + count; seed++) {
    if (resultsBySeed.has(seed)) continue;
    const { names, day } = drawCombination(seed, base);
    const scenario = { ...day, controllers: { ...day.controllers, releases: Array<string>(controllers).fill(as) } };
    const { breaches, defects } = await runUntilViolation(scenario, releases);
    const broken = [...new Set([...breaches.map(({ rule }) => rule as string), ...defects.map(() => 'a defect')])];
    const line = { seed, as, broken, names };
    resultsBySeed.set(seed, line);
    appendFileSync(list, `${JSON.stringify(line)}\n`);
    log(`seed ${seed}: ${names.join(' + ')}: ${broken.length > 0 ? `VIOLATED ${broken.join(', ')}` : 'no violation'}`);
  }
  const failing = [...resultsBySeed.values()].filter(({ broken }) => broken.length > 0);
  log(`${resultsBySeed.size} results, ${failing.length} with violations: ${failing.map(({ seed }) => seed).join(' ')}`);
  return failing.length === 0;
}
