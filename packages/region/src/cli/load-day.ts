/** Loads days for commands. */

import { readFileSync } from 'node:fs';
import { parseScenario, type SimulationScenario } from '../scenario/index.js';
import { UsageError } from './options.js';

/** TOML of the days that ship with the package, by name. The bundler defines this constant. */
declare const SHIPPED_DAYS: Readonly<Record<string, string>>;

/** Names of the shipped days, for messages. */
export const shippedDayNames = (): string => Object.keys(SHIPPED_DAYS).join(', ');

/**
 * Loads a shipped day by its name, or else a day from a file.
 *
 * @throws UsageError if there is neither.
 */
export function loadDay(nameOrPath: string): SimulationScenario {
  const shippedToml = SHIPPED_DAYS[nameOrPath];
  if (shippedToml !== undefined) return parseScenario(shippedToml, `${nameOrPath}.toml`);
  let toml: string;
  try {
    toml = readFileSync(nameOrPath, 'utf8');
  } catch {
    throw new UsageError(`${nameOrPath}: neither a readable file nor a shipped day (${shippedDayNames()})`);
  }
  return parseScenario(toml, nameOrPath);
}

/** Name and description of the argument of commands that take a day. */
export const dayArgument = ['<day>', `TOML file of a day, or the name of a shipped one: ${shippedDayNames()}`] as const;
