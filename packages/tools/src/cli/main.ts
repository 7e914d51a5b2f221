import { isMainThread } from 'node:worker_threads';
import { Command } from 'commander';
import { exitOnBrokenPipe } from '../../../../src/cli/index.js';
import { DayError, ListError, ReleaseError, ScaleError } from '../../../region/src/index.js';
import { regionCommand, UsageError } from '../../../region/src/cli/index.js';
import { TraceError } from '../../../trace/src/index.js';
import { recordCommand, traceCommand } from '../../../trace/src/cli/index.js';
import { PlanError } from '../../../whatif/src/index.js';
import { whatifCommand } from '../../../whatif/src/cli/index.js';

/** Mistakes of whoever asks: told in one line. Everything else is a defect, with its stack. */
const KNOWN = [DayError, ListError, PlanError, ReleaseError, ScaleError, TraceError, UsageError];

exitOnBrokenPipe(process.stdout);
const tools = new Command('wooddrift');
for (const command of [regionCommand, recordCommand, traceCommand, whatifCommand]) tools.addCommand(command);
// A thread of a search loads this file, too, and waits for its replays.
if (isMainThread)
  tools.parseAsync(process.argv.slice(2), { from: 'user' }).catch((error: unknown) => {
    const known = KNOWN.some((kind) => error instanceof kind);
    process.stderr.write(
      `wooddrift: ${error instanceof Error ? (known ? error.message : (error.stack ?? '')) : String(error)}\n`,
    );
    process.exitCode = known ? 2 : 1;
  });
