import { Command, InvalidArgumentError } from 'commander';
import {
  createLogger,
  HttpClient,
  isObject,
  parseAddress,
  systemRuntime,
  type Address,
  type Logger,
} from '../../../../src/kernel/index.js';
import { readTraceIn, verifyTrace } from '../read.js';
import { Recorder, type Source } from '../record/index.js';
import { diskFiles, TraceStore } from '../store/index.js';
import { lockDirectory } from './lock.js';

const addresses = (text: string, before: readonly Address[] = []): readonly Address[] => {
  const at = parseAddress(text);
  if (!at) throw new InvalidArgumentError('an IPv4 address and a port, such as 127.0.0.1:8080');
  return [...before, at];
};
const positive = (text: string): number => {
  const n = Number(text);
  if (!(n > 0 && Number.isFinite(n))) throw new InvalidArgumentError('a number above 0');
  return n;
};
const whole = (text: string): number => {
  const n = positive(text);
  if (!Number.isInteger(n)) throw new InvalidArgumentError('a whole number from 1');
  return n;
};

interface RecordFlags {
  readonly node: readonly Address[];
  readonly out: string;
  readonly pollS: number;
  readonly segmentRows: number;
  readonly segmentS: number;
  readonly keepHours?: number;
  readonly keepMb?: number;
  readonly forS?: number;
}

const ASK_AGAIN_MS = 1000;
const ASK_TIMEOUT_MS = 3000;

/** Which controller is at an address: asked until it says so, since a night may begin before it is up. */
async function nameOf(at: Address, log: Logger, ended: () => boolean): Promise<Source | null> {
  const client = new HttpClient(at, 1);
  for (let told = false; !ended();) {
    const path = '/admin/v1/trail?limit=1';
    const answer = await client.call({ method: 'GET', path, timeoutMs: ASK_TIMEOUT_MS });
    const node = answer.kind === 'answered' && isObject(answer.body) ? answer.body['node'] : undefined;
    if (typeof node === 'string') {
      client.close();
      return { node, at };
    }
    const why =
      answer.kind === 'failed'
        ? answer.reason
        : answer.status === 404
          ? 'it keeps no trail: serve --trail EVENTS'
          : `status ${answer.status}`;
    if (!told) log.warn({ ...at, why }, 'a controller cannot be read yet: it is asked again');
    told = true;
    await systemRuntime.sleep(ASK_AGAIN_MS);
  }
  client.close();
  return null;
}

async function record(flags: RecordFlags): Promise<void> {
  const log = createLogger(process.env['LOG_LEVEL'], 'record');
  let ended = false;
  const end = new Promise<void>((resolve) => {
    const stop = (): void => {
      ended = true;
      resolve();
    };
    process.once('SIGINT', stop);
    process.once('SIGTERM', stop);
    if (flags.forS !== undefined) setTimeout(stop, flags.forS * 1000);
  });
  const unlock = lockDirectory(flags.out);
  const { store, ids } = await TraceStore.open(diskFiles(flags.out), systemRuntime.wall());
  const options = {
    pollMs: flags.pollS * 1000,
    segmentRows: flags.segmentRows,
    segmentMs: flags.segmentS * 1000,
    keep: {
      ageMs: flags.keepHours === undefined ? null : flags.keepHours * 3_600_000,
      bytes: flags.keepMb === undefined ? null : flags.keepMb * 1024 * 1024,
    },
  };
  const recorder = new Recorder(store, ids, [], options, systemRuntime, log);
  recorder.start();
  // Each is followed as soon as it is known: one that is down keeps nobody waiting.
  for (const at of flags.node)
    void nameOf(at, log, () => ended).then((source) => {
      if (source) recorder.follow(source);
    });
  await end;
  await recorder.close();
  unlock();
  const { taken, repeated, segments } = recorder.counts;
  process.stdout.write(`${flags.out}: ${taken} events in ${segments} segments, ${repeated} told twice\n`);
  const { manifest } = store;
  for (const gap of manifest.gaps) process.stdout.write(`missing: ${JSON.stringify(gap)}\n`);
  process.exit(0);
}

export const recordCommand = new Command('record')
  .description('record what controllers tell of a night, with every gap; Ctrl-C ends it, and it goes on where it was')
  .requiredOption('--node <address>', 'a controller; once for each of them', addresses)
  .requiredOption('--out <dir>', 'where the trace goes; one that is there is gone on with')
  .option('--poll-s <seconds>', 'how often each is asked', positive, 1)
  .option('--segment-rows <n>', 'events in a segment at most', whole, 20_000)
  .option(
    '--segment-s <seconds>',
    'how old a segment gets at most: so much is asked for again after a kill',
    positive,
    30,
  )
  .option('--keep-hours <n>', 'drop segments older than this', positive)
  .option('--keep-mb <n>', 'drop the oldest segments beyond this size', positive)
  .option('--for-s <seconds>', 'end by itself after so long', positive)
  .action((flags: RecordFlags) => record(flags));

export const traceCommand = new Command('trace').description('look into what was recorded');

traceCommand
  .command('show')
  .description('what a trace holds, and what it lacks')
  .argument('<dir>')
  .action(async (dir: string) => {
    const trace = await readTraceIn(dir);
    const kinds = new Map<string, number>();
    for (const { kind } of trace.rows) kinds.set(kind, (kinds.get(kind) ?? 0) + 1);
    const time = (ms: number | null): string => (ms === null ? 'open' : new Date(ms).toISOString());
    process.stdout.write(`${time(trace.fromMs)} to ${time(trace.toMs)}, controllers ${trace.nodes.join(', ')}\n`);
    for (const [kind, count] of [...kinds].sort(([a], [b]) => (a < b ? -1 : 1)))
      process.stdout.write(`${String(count).padStart(9)} ${kind}\n`);
    process.stdout.write(`${String(trace.repeated).padStart(9)} told again\n`);
    for (const gap of trace.gaps)
      process.stdout.write(
        `missing: ${gap.node} ${gap.why}, events ${gap.fromN ?? '?'} to ${gap.toN ?? '?'}, ${time(gap.sinceMs)} to ${time(gap.untilMs)}\n`,
      );
    if (trace.gaps.length === 0) process.stdout.write('nothing is missing that anybody knows of\n');
  });

traceCommand
  .command('verify')
  .description('check every file against the manifest')
  .argument('<dir>')
  .action(async (dir: string) => {
    const { manifest, wrong } = await verifyTrace(diskFiles(dir));
    for (const what of wrong.values()) process.stdout.write(`${what}\n`);
    if (wrong.size === 0) process.stdout.write(`${manifest?.segments.length ?? 0} segments, all as claimed\n`);
    else process.exitCode = 1;
  });
