/** Counts operations, as a measure of work that does not depend on the machine or on its load. */

type Method = (this: unknown, ...args: unknown[]) => unknown;

/** The lookups in maps and sets that code with a nested iteration repeats. */
const COUNTED = [
  [Map.prototype, 'get'],
  [Map.prototype, 'has'],
  [Set.prototype, 'has'],
] as const;

/** Runs `action` and returns how many lookups in maps and sets it made; throws as soon as there are more than `most`. */
export function countLookups(most: number, action: () => void): number {
  let lookups = 0;
  const originals = COUNTED.map(([prototype, name]) => {
    const methods = prototype as unknown as Record<string, Method>;
    const original = methods[name];
    if (!original) throw new Error(`there is no method ${name}`);
    methods[name] = function (this: unknown, ...args) {
      lookups += 1;
      if (lookups > most) throw new RangeError(`more than ${most} lookups`);
      return Reflect.apply(original, this, args);
    };
    return () => (methods[name] = original);
  });
  try {
    action();
  } finally {
    for (const restore of originals) restore();
  }
  return lookups;
}
