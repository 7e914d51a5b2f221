import { appendFileSync, existsSync, readFileSync } from 'node:fs';
import * as v from 'valibot';
import type { Day } from '../day/index.js';

import type { Releases } from '../releases/index.js';
import { playOnce } from './hunt.js';
import { drawMeeting } from './meetings.js';

export interface MeetingFlags {
  readonly from: number;
  readonly count: number;
  readonly as: string;
  readonly list: string;
}

const lineSchema = v.object({ seed: v.number(), as: v.string(), broken: v.array(v.string()) });
type Line = v.InferOutput<typeof lineSchema>;

/** A list that is not one of ours. */
export class ListError extends Error {}

function readList(file: string): Line[] {
  if (!existsSync(file)) return [];
  const lines = readFileSync(file, 'utf8').split('\n');
  return lines.flatMap((text, i) => {
    if (text.trim() === '') return [];
    try {
      return [v.parse(lineSchema, JSON.parse(text))];
    } catch {
      // The last one may be cut short: that run was stopped while it was written.
      if (i === lines.length - 1) return [];
      throw new ListError(`${file}, line ${i + 1}: not a line of this list`);
    }
  });
}

/** Plays what isn't listed yet, and says how many of all that is listed broke a rule; false: some did. */
export async function playMeetings(
  base: Day,
  { from, count, as, list }: MeetingFlags,
  releases: Releases,
  told: (line: string) => void,
): Promise<boolean> {
  const listed = new Map(readList(list).flatMap((line) => (line.as === as ? [[line.seed, line]] : [])));
  const { count: controllers } = base.controllers;
  for (let seed = from; seed < from + count; seed++) {
    if (listed.has(seed)) continue;
    const { names, day } = drawMeeting(seed, base);
    const played = { ...day, controllers: { ...day.controllers, releases: Array<string>(controllers).fill(as) } };
    const { breaches, defects } = await playOnce(played, releases);
    const broken = [...new Set([...breaches.map(({ rule }) => rule as string), ...defects.map(() => 'a defect')])];
    const line = { seed, as, broken, names };
    listed.set(seed, line);
    appendFileSync(list, `${JSON.stringify(line)}\n`);
    told(
      `seed ${seed}: ${names.join(' + ')}: ${broken.length > 0 ? `BROKEN ${broken.join(', ')}` : 'every rule kept'}`,
    );
  }
  const guilty = [...listed.values()].filter(({ broken }) => broken.length > 0);
  told(`${listed.size} listed, ${guilty.length} broke a rule: ${guilty.map(({ seed }) => seed).join(' ')}`);
  return guilty.length === 0;
}
