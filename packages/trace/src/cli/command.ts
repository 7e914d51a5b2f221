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
import { readTraceDirectory, verifyTrace } from '../read-trace.js';
import { Recorder, type TrailSource } from '../record/index.js';
import { diskFiles, TraceStore } from '../store/index.js';
import { lockDirectory } from './lock.js';

/** Parses an address and appends it to those of earlier options. */
const parseAddresses = (text: string, previous: readonly Address[] = []): readonly Address[] => {
  const address = parseAddress(text);
  if (!address) throw new InvalidArgumentError('must be an IPv4 address and a port, such as 127.0.0.1:8080');
  return [...previous, address];
};
const parsePositive = (text: string): number => {
  const n = Number(text);
  if (!(n > 0 && Number.isFinite(n))) throw new InvalidArgumentError('must be a number greater than 0');
  return n;
};
const parsePositiveInteger = (text: string): number => {
  const n = parsePositive(text);
  if (!Number.isInteger(n)) throw new InvalidArgumentError('must be an integer of at least 1');
  return n;
};

/** Options of the `record` command as commander passes them. */
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

const RETRY_INTERVAL_MS = 1000;
const REQUEST_TIMEOUT_MS = 3000;

/**
 * Asks the controller at an address for its name. Retries until it answers, since recording may start before the
 * controller does; returns null if recording is stopped first.
 */
async function identifyController(at: Address, log: Logger, stopped: () => boolean): Promise<TrailSource | null> {
  const client = new HttpClient(at, 1);
  for (let warned = false; !stopped();) {
    const path = '/admin/v1/trail?limit=1';
    const answer = await client.call({ method: 'GET', path, timeoutMs: REQUEST_TIMEOUT_MS });
    const node = answer.kind === 'answered' && isObject(answer.body) ? answer.body['node'] : undefined;
    if (typeof node === 'string') {
      client.close();
      return { node, at };
    }
    const why =
      answer.kind === 'failed'
        ? answer.reason
        : answer.status === 404
          ? 'controller keeps no trail: start it with serve --trail EVENTS'
          : `HTTP status ${answer.status}`;
    if (!warned) log.warn({ ...at, why }, 'cannot read controller trail yet: retrying');
    warned = true;
    await systemRuntime.sleep(RETRY_INTERVAL_MS);
  }
  client.close();
  return null;
}

/** Records until a signal arrives or the given duration is over, then prints a summary and exits. */
async function runRecorder(flags: RecordFlags): Promise<void> {
  const log = createLogger(process.env['LOG_LEVEL'], 'record');
  let stopped = false;
  const stopRequested = new Promise<void>((resolve) => {
    const stop = (): void => {
      stopped = true;
      resolve();
    };
    process.once('SIGINT', stop);
    process.once('SIGTERM', stop);
    if (flags.forS !== undefined) setTimeout(stop, flags.forS * 1000);
  });
  const unlock = lockDirectory(flags.out);
  const { store, rowsById } = await TraceStore.open(diskFiles(flags.out), systemRuntime.wall());
  const options = {
    pollMs: flags.pollS * 1000,
    segmentRows: flags.segmentRows,
    segmentMs: flags.segmentS * 1000,
    keep: {
      ageMs: flags.keepHours === undefined ? null : flags.keepHours * 3_600_000,
      bytes: flags.keepMb === undefined ? null : flags.keepMb * 1024 * 1024,
    },
  };
  const recorder = new Recorder(store, rowsById, [], options, systemRuntime, log);
  recorder.start();
  // Each controller is followed as soon as its name is known, so one that is down does not delay the others.
  for (const at of flags.node)
    void identifyController(at, log, () => stopped).then((source) => {
      if (source) recorder.follow(source);
    });
  await stopRequested;
  await recorder.close();
  unlock();
  const { added, duplicates, segments } = recorder.counts;
  process.stdout.write(`${flags.out}: ${added} events in ${segments} segments, ${duplicates} duplicates\n`);
  const { manifest } = store;
  for (const gap of manifest.gaps) process.stdout.write(`missing: ${JSON.stringify(gap)}\n`);
  process.exit(0);
}

/** The `record` command. */
export const recordCommand = new Command('record')
  .description('record the event trails of controllers, with every gap; Ctrl-C stops it, a later run resumes')
  .requiredOption('--node <address>', 'address of a controller; repeat the option for each one', parseAddresses)
  .requiredOption('--out <dir>', 'directory of the trace; an existing trace is continued')
  .option('--poll-s <seconds>', 'interval between polls of each controller', parsePositive, 1)
  .option('--segment-rows <n>', 'maximum number of events in a segment', parsePositiveInteger, 20_000)
  .option(
    '--segment-s <seconds>',
    'maximum age of a segment before it is written; its events are requested again after a kill',
    parsePositive,
    30,
  )
  .option('--keep-hours <n>', 'drop segments older than this', parsePositive)
  .option('--keep-mb <n>', 'drop the oldest segments beyond this total size', parsePositive)
  .option('--for-s <seconds>', 'stop after this duration', parsePositive)
  .action((flags: RecordFlags) => runRecorder(flags));

/** The `trace` command with its subcommands. */
export const traceCommand = new Command('trace').description('inspect a recorded trace');

traceCommand
  .command('show')
  .description('show the events of a trace by kind, and its gaps')
  .argument('<dir>')
  .action(async (dir: string) => {
    const trace = await readTraceDirectory(dir);
    const kinds = new Map<string, number>();
    for (const { kind } of trace.rows) kinds.set(kind, (kinds.get(kind) ?? 0) + 1);
    const formatTime = (ms: number | null): string => (ms === null ? 'open' : new Date(ms).toISOString());
    process.stdout.write(
      `${formatTime(trace.fromMs)} to ${formatTime(trace.toMs)}, controllers ${trace.nodes.join(', ')}\n`,
    );
    for (const [kind, count] of [...kinds].sort(([a], [b]) => (a < b ? -1 : 1)))
      process.stdout.write(`${String(count).padStart(9)} ${kind}\n`);
    process.stdout.write(`${String(trace.duplicates).padStart(9)} duplicates\n`);
    for (const gap of trace.gaps)
      process.stdout.write(
        `missing: ${gap.node} ${gap.why}, events ${gap.fromN ?? '?'} to ${gap.toN ?? '?'}, ${formatTime(gap.sinceMs)} to ${formatTime(gap.untilMs)}\n`,
      );
    if (trace.gaps.length === 0) process.stdout.write('no known gaps\n');
  });

traceCommand
  .command('verify')
  .description('check every file against the manifest')
  .argument('<dir>')
  .action(async (dir: string) => {
    const { manifest, errors } = await verifyTrace(diskFiles(dir));
    for (const message of errors.values()) process.stdout.write(`${message}\n`);
    if (errors.size === 0) process.stdout.write(`${manifest?.segments.length ?? 0} segments, all intact\n`);
    else process.exitCode = 1;
  });
