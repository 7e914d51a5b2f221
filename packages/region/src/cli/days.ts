import { readFileSync } from 'node:fs';
import { readDay, type Day } from '../day/index.js';
import { UsageError } from './options.js';

/** The days that ship with the package, as TOML by name; put in when the bundle is made. */
declare const SHIPPED_DAYS: Readonly<Record<string, string>>;

export const shippedDayNames = (): string => Object.keys(SHIPPED_DAYS).join(', ');

/** Reads a day that ships with the package, or a file. */
export function loadDay(nameOrPath: string): Day {
  const shippedToml = SHIPPED_DAYS[nameOrPath];
  if (shippedToml !== undefined) return readDay(shippedToml, `${nameOrPath}.toml`);
  let toml: string;
  try {
    toml = readFileSync(nameOrPath, 'utf8');
  } catch {
    throw new UsageError(`${nameOrPath}: no such file, and no day of that name (${shippedDayNames()})`);
  }
  return readDay(toml, nameOrPath);
}

/** The argument of commands that take a day: its name and what it means. */
export const dayArgument = ['<day>', `a day's file (TOML), or one that ships: ${shippedDayNames()}`] as const;
