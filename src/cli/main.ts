import { readFileSync, realpathSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import { Command, InvalidArgumentError } from 'commander';
import { loadSettings, SettingsError } from '../config/index.js';
import { createLogger, HttpClient, parseAddress, systemRuntime, type Call } from '../kernel/index.js';
import { Service, type ServiceOptions } from '../service/index.js';
import { adminRollout } from './rollout.js';
import { quietWhenUnread } from './streams.js';

declare const WOODDRIFT_VERSION: string | undefined;

const version = typeof WOODDRIFT_VERSION === 'string' ? WOODDRIFT_VERSION : 'development';
const CLI_TIMEOUT_MS = 8000;

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
  // No input and no rejected promise may end the service; what gets here is a defect and is logged.
  process.on('uncaughtException', (error) => log.error({ err: error }, 'an error reached the top'));
  process.on('unhandledRejection', (error) => log.error({ err: error }, 'a rejected promise reached the top'));
  new Service(settings, log, systemRuntime, options).start();
}

const address = (text: string): string => {
  if (!parseAddress(text)) throw new InvalidArgumentError('an IPv4 address and a port, such as 127.0.0.1:8080');
  return text;
};

const MOST_TRAIL = 1_000_000;
const events = (text: string): number => {
  const n = Number(text);
  if (!Number.isInteger(n) || n < 1 || n > MOST_TRAIL)
    throw new InvalidArgumentError(`a whole number from 1 to ${MOST_TRAIL}`);
  return n;
};

quietWhenUnread(process.stdout);

/** Asks a controller and prints its answer; a status that is no success gives a non-zero exit. */
async function ask(node: string, call: Omit<Call, 'timeoutMs'>): Promise<void> {
  const target = parseAddress(node);
  if (!target) return;
  const client = new HttpClient(target, 1);
  const answer = await client.call({ ...call, timeoutMs: CLI_TIMEOUT_MS });
  client.close();
  if (answer.kind === 'failed') {
    process.stderr.write(`wooddrift: ${node} gave no answer: ${answer.reason}\n`);
    process.exitCode = 1;
    return;
  }
  process.stdout.write(`${JSON.stringify(answer.body, null, 2)}\n`);
  if (answer.status >= 300) {
    process.stderr.write(`wooddrift: status ${answer.status}\n`);
    process.exitCode = 1;
  }
}

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
  .option('--trail <events>', 'keep so many of the last events for `wooddrift record`', events)
  .action(({ config, trail }: { config: string; trail?: number }) =>
    serve(config, trail === undefined ? {} : { trailEvents: trail }),
  );

const withNode = (command: Command): Command =>
  command.requiredOption('--node <address>', 'address of any controller', address, process.env['WOODDRIFT_NODE']);

const job = program.command('job').description('submit, show and cancel jobs');
withNode(job.command('submit'))
  .description('submit a job described in JSON')
  .argument('<file>', 'the description; - reads standard input')
  .action((file: string, o: { node: string }) =>
    ask(o.node, { method: 'POST', path: '/v1/jobs', body: readJson(file) }),
  );
withNode(job.command('show'))
  .description('show the state of a job')
  .argument('<id>')
  .action((id: string, o: { node: string }) =>
    ask(o.node, { method: 'GET', path: `/v1/jobs/${encodeURIComponent(id)}` }),
  );
withNode(job.command('cancel'))
  .description('cancel a job')
  .argument('<id>')
  .action((id: string, o: { node: string }) =>
    ask(o.node, { method: 'POST', path: `/v1/jobs/${encodeURIComponent(id)}/cancel`, body: {} }),
  );

const admin = program.command('admin').description("operators' settings");
withNode(admin.command('status'))
  .description('what a controller holds and sees')
  .action((o: { node: string }) => ask(o.node, { method: 'GET', path: '/admin/v1/status' }));
withNode(admin.command('settings'))
  .description("show the operators' settings")
  .action((o: { node: string }) => ask(o.node, { method: 'GET', path: '/admin/v1/settings' }));
withNode(admin.command('in-force'))
  .description("the revision of operators' settings that this controller acts on; each change tells its own")
  .action((o: { node: string }) => ask(o.node, { method: 'GET', path: '/admin/v1/settings/in-force' }));
withNode(admin.command('quotas'))
  .description('limits of teams: how they are divided between shards, what each uses and waits for')
  .action((o: { node: string }) => ask(o.node, { method: 'GET', path: '/admin/v1/quotas' }));
withNode(admin.command('tune'))
  .description('set tunables of the threshold, such as alpha=0.4 mu=0.6')
  .argument('<assignments...>')
  .action((assignments: string[], o: { node: string }) => {
    const body = Object.fromEntries(
      assignments.map((text) => {
        const cut = text.indexOf('=');
        return [text.slice(0, cut), Number(text.slice(cut + 1))];
      }),
    );
    return ask(o.node, { method: 'PATCH', path: '/admin/v1/settings/tunables', body });
  });
for (const mark of ['cordon', 'drain', 'uncordon']) {
  withNode(admin.command(mark))
    .description(`${mark} a machine`)
    .argument('<machine>')
    .action((machine: string, o: { node: string }) =>
      ask(o.node, { method: 'POST', path: `/admin/v1/machines/${encodeURIComponent(machine)}/${mark}`, body: {} }),
    );
}

adminRollout(admin, withNode, ask);

/** Tools have a bundle of their own beside this one, so that a controller starts without their libraries. */
function runTools(): void {
  const here = realpathSync(process.argv[1] ?? '');
  try {
    createRequire(here)(join(dirname(here), 'tools.cjs'));
  } catch (error) {
    const missing = (error as { code?: unknown }).code === 'MODULE_NOT_FOUND';
    if (!missing) throw error;
    process.stderr.write('wooddrift: target/tools.cjs is missing: npm run build makes it\n');
    process.exitCode = 1;
  }
}

/** Named here for the help alone: the tools' bundle has them. */
const TOOLS = new Map([
  ['region', 'play whole days in simulated time, or serve their models on loopback'],
  ['record', 'record what controllers tell of a night, with every gap'],
  ['trace', 'look into what was recorded'],
  ['whatif', 'replay a recorded night, unchanged or against a changed plan'],
]);
for (const [name, description] of TOOLS) program.command(name).description(description);

// `wooddrift --config FILE` is short for `wooddrift serve --config FILE`.
const args = process.argv.slice(2);
const shorthand = args[0] === '--config' || args[0] === '--trail' ? ['serve', ...args] : args;
if (TOOLS.has(args[0] ?? '')) runTools();
else
  program.parseAsync(shorthand, { from: 'user' }).catch((error: unknown) => {
    process.stderr.write(`wooddrift: ${error instanceof Error ? error.message : String(error)}\n`);
    process.exitCode = 1;
  });
