/** The `wooddrift` command line: runs a controller, sends requests to one, or starts the tools. */
import { readFileSync, realpathSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import { Command, InvalidArgumentError } from 'commander';
import { loadSettings, SettingsError } from '../config/index.js';
import { createLogger, HttpClient, parseAddress, systemRuntime, type HttpRequest } from '../kernel/index.js';
import { Service, type ServiceOptions } from '../service/index.js';
import { addRolloutCommands } from './rollout.js';
import { exitOnBrokenPipe } from './broken-pipe.js';

declare const WOODDRIFT_VERSION: string | undefined;

const version = typeof WOODDRIFT_VERSION === 'string' ? WOODDRIFT_VERSION : 'development';
const REQUEST_TIMEOUT_MS = 8000;

/** Runs a controller; invalid settings end the process with exit code 2. */
function serve(configPath: string, options: ServiceOptions): void {
  let settings;
  try {
    settings = loadSettings(configPath);
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stderr.write(`wooddrift: ${configPath}: ${error.message}\n`);
    process.exitCode = 2;
    return;
  }
  const log = createLogger(process.env['LOG_LEVEL'], settings.node);
  // No input and no rejected promise may stop the service. An error that reaches these handlers is a bug and is logged.
  process.on('uncaughtException', (error) => log.error({ err: error }, 'uncaught exception'));
  process.on('unhandledRejection', (error) => log.error({ err: error }, 'unhandled promise rejection'));
  new Service(settings, log, systemRuntime, options).start();
}

/** Option parser for a controller's address. */
const parseNodeAddress = (text: string): string => {
  if (!parseAddress(text)) throw new InvalidArgumentError('must be an IPv4 address and a port, such as 127.0.0.1:8080');
  return text;
};

const MAX_TRAIL_EVENTS = 1_000_000;
/** Option parser for the number of events that the trail keeps. */
const parseTrailEvents = (text: string): number => {
  const count = Number(text);
  if (!Number.isInteger(count) || count < 1 || count > MAX_TRAIL_EVENTS)
    throw new InvalidArgumentError(`must be a whole number from 1 to ${MAX_TRAIL_EVENTS}`);
  return count;
};

exitOnBrokenPipe(process.stdout);

/** Sends a request to a controller and prints its response; a failure or an error status sets exit code 1. */
async function sendRequest(node: string, call: Omit<HttpRequest, 'timeoutMs'>): Promise<void> {
  const target = parseAddress(node);
  if (!target) return;
  const client = new HttpClient(target, 1);
  const response = await client.call({ ...call, timeoutMs: REQUEST_TIMEOUT_MS });
  client.close();
  if (response.kind === 'failed') {
    process.stderr.write(`wooddrift: ${node} did not answer: ${response.reason}\n`);
    process.exitCode = 1;
    return;
  }
  process.stdout.write(`${JSON.stringify(response.body, null, 2)}\n`);
  if (response.status >= 300) {
    process.stderr.write(`wooddrift: status ${response.status}\n`);
    process.exitCode = 1;
  }
}

/** Reads a JSON file, or standard input for `-`; ends the process with exit code 2 if that fails. */
function readJson(path: string): unknown {
  try {
    return JSON.parse(readFileSync(path === '-' ? 0 : path, 'utf8')) as unknown;
  } catch (error) {
    process.stderr.write(`wooddrift: ${path}: ${error instanceof Error ? error.message : String(error)}\n`);
    process.exit(2);
  }
}

const program = new Command('wooddrift').description('Cluster scheduler with leased machine blocks').version(version);

program
  .command('serve')
  .description('run a controller')
  .requiredOption('--config <file>', 'settings file (TOML)')
  .option('--trail <events>', 'number of recent events to keep for `wooddrift record`', parseTrailEvents)
  .action(({ config, trail }: { config: string; trail?: number }) =>
    serve(config, trail === undefined ? {} : { trailEvents: trail }),
  );

/** Adds the required option that selects the controller. */
const withNode = (command: Command): Command =>
  command.requiredOption(
    '--node <address>',
    'address of any controller',
    parseNodeAddress,
    process.env['WOODDRIFT_NODE'],
  );

const job = program.command('job').description('submit, show and cancel jobs');
withNode(job.command('submit'))
  .description('submit a job described in JSON')
  .argument('<file>', 'JSON file; - reads standard input')
  .action((file: string, options: { node: string }) =>
    sendRequest(options.node, { method: 'POST', path: '/v1/jobs', body: readJson(file) }),
  );
withNode(job.command('show'))
  .description('show the state of a job')
  .argument('<id>')
  .action((id: string, options: { node: string }) =>
    sendRequest(options.node, { method: 'GET', path: `/v1/jobs/${encodeURIComponent(id)}` }),
  );
withNode(job.command('cancel'))
  .description('cancel a job')
  .argument('<id>')
  .action((id: string, options: { node: string }) =>
    sendRequest(options.node, { method: 'POST', path: `/v1/jobs/${encodeURIComponent(id)}/cancel`, body: {} }),
  );

const admin = program.command('admin').description("operators' settings");
withNode(admin.command('status'))
  .description('show what a controller holds and sees')
  .action((options: { node: string }) => sendRequest(options.node, { method: 'GET', path: '/admin/v1/status' }));
withNode(admin.command('settings'))
  .description("show the operators' settings")
  .action((options: { node: string }) => sendRequest(options.node, { method: 'GET', path: '/admin/v1/settings' }));
withNode(admin.command('in-force'))
  .description(
    "show the revision of operators' settings that this controller acts on; each change prints its own revision",
  )
  .action((options: { node: string }) =>
    sendRequest(options.node, { method: 'GET', path: '/admin/v1/settings/in-force' }),
  );
withNode(admin.command('quotas'))
  .description('show team limits: how they are divided between shards, and what each shard uses and waits for')
  .action((options: { node: string }) => sendRequest(options.node, { method: 'GET', path: '/admin/v1/quotas' }));
withNode(admin.command('tune'))
  .description('set tunables of the straggler threshold, such as alpha=0.4 mu=0.6')
  .argument('<assignments...>')
  .action((assignments: string[], options: { node: string }) => {
    const body = Object.fromEntries(
      assignments.map((assignment) => {
        const separator = assignment.indexOf('=');
        return [assignment.slice(0, separator), Number(assignment.slice(separator + 1))];
      }),
    );
    return sendRequest(options.node, { method: 'PATCH', path: '/admin/v1/settings/tunables', body });
  });
for (const action of ['cordon', 'drain', 'uncordon']) {
  withNode(admin.command(action))
    .description(`${action} a machine`)
    .argument('<machine>')
    .action((machine: string, options: { node: string }) =>
      sendRequest(options.node, {
        method: 'POST',
        path: `/admin/v1/machines/${encodeURIComponent(machine)}/${action}`,
        body: {},
      }),
    );
}

addRolloutCommands(admin, withNode, sendRequest);

/** Runs the tools' bundle. It is separate from this one, so that a controller starts without the tools' libraries. */
function runTools(): void {
  const here = realpathSync(process.argv[1] ?? '');
  try {
    createRequire(here)(join(dirname(here), 'tools.cjs'));
  } catch (error) {
    const missing = (error as { code?: unknown }).code === 'MODULE_NOT_FOUND';
    if (!missing) throw error;
    process.stderr.write('wooddrift: target/tools.cjs is missing: run npm run build to create it\n');
    process.exitCode = 1;
  }
}

/** Commands of the tools' bundle, listed here for the help text only. */
const TOOL_COMMANDS = new Map([
  ['region', 'simulate whole days, or serve the simulation models on loopback'],
  ['record', 'record the event trails of controllers, including gaps'],
  ['trace', 'inspect a recording'],
  ['whatif', 'replay a recorded night, unchanged or with a changed plan'],
]);
for (const [name, description] of TOOL_COMMANDS) program.command(name).description(description);

// `wooddrift --config FILE` is a shorthand for `wooddrift serve --config FILE`.
const args = process.argv.slice(2);
const shorthand = args[0] === '--config' || args[0] === '--trail' ? ['serve', ...args] : args;
if (TOOL_COMMANDS.has(args[0] ?? '')) runTools();
else
  program.parseAsync(shorthand, { from: 'user' }).catch((error: unknown) => {
    process.stderr.write(`wooddrift: ${error instanceof Error ? error.message : String(error)}\n`);
    process.exitCode = 1;
  });
