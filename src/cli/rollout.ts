/** Commands for operators who replace controllers one after the other. */
import { Console } from 'node:console';
import type { Command } from 'commander';
import {
  asArray,
  asString,
  HttpClient,
  isObject,
  parseAddress,
  systemRuntime,
  type HttpRequest,
} from '../kernel/index.js';

const REQUEST_TIMEOUT_MS = 3000;
const LEAVE_POLL_INTERVAL_MS = 200;
const LEAVE_TIMEOUT_MS = 30_000;

/** Sends a request to a controller and prints its response. */
type SendRequest = (node: string, call: Omit<HttpRequest, 'timeoutMs'>) => Promise<void>;
/** Options of a command that addresses a controller. */
interface NodeOptions {
  readonly node: string;
  readonly json?: true;
}

/** Converts a value to a table cell. Console.table quotes strings, so numbers and booleans are passed through. */
const toCell = (value: unknown): string | number | boolean =>
  typeof value === 'boolean' || typeof value === 'number' ? value : toText(value);
const toText = (value: unknown): string =>
  Array.isArray(value) ? value.map(toText).join(' ') : value === null || value === undefined ? '-' : String(value);

/** Prints the overview as tables, followed by whether the next controller may be replaced. */
function printOverview(body: unknown): void {
  if (!isObject(body)) return;
  const output = new Console({ stdout: process.stdout });
  const rows = (
    list: unknown,
    name: string,
    fields: readonly string[],
  ): Record<string, Record<string, string | number | boolean>> =>
    Object.fromEntries(
      asArray(list)
        .filter(isObject)
        .map((row) => [toText(row[name]), Object.fromEntries(fields.map((field) => [field, toCell(row[field])]))]),
    );
  output.table(
    rows(body['nodes'], 'node', ['registered', 'heard', 'release', 'frames', 'features', 'holds', 'leaving']),
  );
  output.table(rows(body['features'], 'name', ['state', 'why', 'since', 'waitsFor', 'wayBack']));
  for (const [field, label] of [
    ['unknownFeatures', 'features of later releases'],
    ['unreadable', 'shards whose records this release cannot read'],
  ] as const)
    if (asArray(body[field]).length > 0) output.log(`${label}: ${toText(body[field])}`);
  if (body['paused'] === true) output.log('The rollout is paused: no feature is switched on automatically.');
  const next = isObject(body['next']) ? body['next'] : {};
  output.log(
    next['mayBeReplaced'] === true
      ? 'The next controller may be replaced now.'
      : `Wait before you replace the next controller: ${asString(next['why']) ?? 'the reason is not known'}.`,
  );
}

/** Sends a request; on failure prints a line to standard error, sets the exit code and returns null. */
async function request(node: string, call: Omit<HttpRequest, 'timeoutMs'>): Promise<unknown> {
  const target = parseAddress(node);
  if (!target) return null;
  const client = new HttpClient(target, 1);
  const response = await client.call({ ...call, timeoutMs: REQUEST_TIMEOUT_MS });
  client.close();
  if (response.kind === 'answered' && response.status < 300) return response.body;
  const reason =
    response.kind === 'failed'
      ? `did not answer: ${response.reason}`
      : `status ${response.status}: ${toText(isObject(response.body) ? response.body['error'] : '')}`;
  process.stderr.write(`wooddrift: ${node} ${reason}\n`);
  process.exitCode = 1;
  return null;
}

/** Prints the state of the rollout. */
async function status({ node, json }: NodeOptions): Promise<void> {
  const body = await request(node, { method: 'GET', path: '/admin/v1/rollout' });
  if (body === null) return;
  if (json) process.stdout.write(`${JSON.stringify(body, null, 2)}\n`);
  else printOverview(body);
}

/** Asks a controller to leave, and waits until it has handed over everything that it holds. */
async function leave({ node }: NodeOptions): Promise<void> {
  if ((await request(node, { method: 'POST', path: '/admin/v1/leave', body: {} })) === null) return;
  const deadline = systemRuntime.now() + LEAVE_TIMEOUT_MS;
  while (systemRuntime.now() < deadline) {
    const progress = await request(node, { method: 'GET', path: '/admin/v1/leave' });
    if (progress === null) return;
    if (isObject(progress) && progress['left'] === true) {
      process.stdout.write(
        `${node} has left: stop it now; it rejoins on its own in ${toText(progress['staysInS'])} s\n`,
      );
      return;
    }
    await systemRuntime.sleep(LEAVE_POLL_INTERVAL_MS);
  }
  process.stderr.write(`wooddrift: ${node} has not left yet; \`admin stay\` cancels the departure\n`);
  process.exitCode = 1;
}

/** Adds the rollout, leave and stay commands to the admin command. */
export function addRolloutCommands(
  admin: Command,
  withNode: (command: Command) => Command,
  sendRequest: SendRequest,
): void {
  const rollout = admin
    .command('rollout')
    .description('replace controllers one after the other and switch on the features of the new release');
  withNode(rollout.command('status'))
    .description('show releases, features, what the rollout waits for, and whether the next controller may be replaced')
    .option('--json', 'as JSON instead of tables')
    .action(status);
  for (const [verb, description] of [
    ['pause', 'switch on no feature automatically'],
    ['resume', 'switch features on automatically again'],
    ['finish', 'rule out the rollback of all features that are on'],
  ] as const)
    withNode(rollout.command(verb))
      .description(description)
      .action(({ node }: NodeOptions) =>
        sendRequest(node, { method: 'POST', path: `/admin/v1/rollout/${verb}`, body: {} }),
      );
  for (const [verb, description] of [
    ['hold', 'do not switch this feature on'],
    ['allow', 'switch this feature on once all controllers support it, even if it was stopped before'],
    ['back', 'roll this feature back: switch it off and restore the earlier form of its stored records'],
  ] as const)
    withNode(rollout.command(verb))
      .description(description)
      .argument('<feature>')
      .action((feature: string, { node }: NodeOptions) =>
        sendRequest(node, {
          method: 'POST',
          path: `/admin/v1/rollout/features/${encodeURIComponent(feature)}/${verb}`,
          body: {},
        }),
      );
  withNode(admin.command('leave'))
    .description('hand over everything that this controller holds to others before it is stopped')
    .action(leave);
  withNode(admin.command('stay'))
    .description('cancel the departure of this controller')
    .action(({ node }: NodeOptions) => sendRequest(node, { method: 'DELETE', path: '/admin/v1/leave' }));
}
