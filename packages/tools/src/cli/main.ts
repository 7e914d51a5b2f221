/** Entry point of the tools bundle: the commands region, record, trace and whatif. */
import { isMainThread } from 'node:worker_threads';
import { Command } from 'commander';
import { exitOnBrokenPipe } from '../../../../src/cli/index.js';
import { ScenarioError, ListError, ReleaseError, ScaleError } from '../../../region/src/index.js';
import { regionCommand, UsageError } from '../../../region/src/cli/index.js';
import { TraceError } from '../../../trace/src/index.js';
import { recordCommand, traceCommand } from '../../../trace/src/cli/index.js';
import { PlanError } from '../../../whatif/src/index.js';
import { whatifCommand } from '../../../whatif/src/cli/index.js';

/** Errors of the user's input: reported in one line. Any other error is a defect and reported with its stack. */
const USER_ERRORS = [ScenarioError, ListError, PlanError, ReleaseError, ScaleError, TraceError, UsageError];

exitOnBrokenPipe(process.stdout);
const tools = new Command('wooddrift');
for (const command of [regionCommand, recordCommand, traceCommand, whatifCommand]) tools.addCommand(command);
// The worker threads of `whatif search` load this file, too, and wait for replays to run.
if (isMainThread)
  tools.parseAsync(process.argv.slice(2), { from: 'user' }).catch((error: unknown) => {
    const isUserError = USER_ERRORS.some((type) => error instanceof type);
    process.stderr.write(
      `wooddrift: ${error instanceof Error ? (isUserError ? error.message : (error.stack ?? '')) : String(error)}\n`,
    );
    process.exitCode = isUserError ? 2 : 1;
  });
