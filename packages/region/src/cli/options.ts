/** Parsers for command-line options. */

import { InvalidArgumentError } from 'commander';

/** Invalid arguments of a command; the message is shown in one line, without a stack. */
export class UsageError extends Error {}

/** Largest accepted whole number. */
const MAX_WHOLE_NUMBER = 2 ** 31;

/** Parses a whole number from 0 to MAX_WHOLE_NUMBER. */
export const parseWholeNumber = (text: string): number => {
  const n = Number(text);
  if (text.trim() === '' || !Number.isInteger(n) || n < 0 || n > MAX_WHOLE_NUMBER)
    throw new InvalidArgumentError('it must be a whole number of at least 0');
  return n;
};

/** Parses a finite number above 0. */
export const parsePositiveNumber = (text: string): number => {
  const n = Number(text);
  if (!(n > 0 && Number.isFinite(n))) throw new InvalidArgumentError('it must be a number above 0');
  return n;
};

/** Parses a fraction above 0 and at most 1. */
export const parseFraction = (text: string): number => {
  const n = Number(text);
  if (!(n > 0 && n <= 1)) throw new InvalidArgumentError('it must be a number above 0 and at most 1');
  return n;
};
