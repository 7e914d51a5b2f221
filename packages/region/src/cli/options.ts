import { InvalidArgumentError } from 'commander';

/** What was asked for is not there, or makes no sense. */
export class UsageError extends Error {}

const MAX_WHOLE_NUMBER = 2 ** 31;

export const parseWholeNumber = (text: string): number => {
  const n = Number(text);
  if (text.trim() === '' || !Number.isInteger(n) || n < 0 || n > MAX_WHOLE_NUMBER)
    throw new InvalidArgumentError('a whole number from 0');
  return n;
};

export const parsePositiveNumber = (text: string): number => {
  const n = Number(text);
  if (!(n > 0 && Number.isFinite(n))) throw new InvalidArgumentError('a number above 0');
  return n;
};

/** A part of the whole. */
export const parseFraction = (text: string): number => {
  const n = Number(text);
  if (!(n > 0 && n <= 1)) throw new InvalidArgumentError('a number above 0, 1 at most');
  return n;
};
