import { Console } from 'node:console';
import type { Command } from 'commander';
import { asList, asString, HttpClient, isObject, parseAddress, systemRuntime, type Call } from '../kernel/index.js';

const LEAVE_TIMEOUT_MS = 3000;
const LOOK_EVERY_MS = 200;
const LEFT_WITHIN_MS = 30_000;

type Ask = (node: string, call: Omit<Call, 'timeoutMs'>) => Promise<void>;
interface Flags {
  readonly node: string;
  readonly json?: true;
}

/** Texts are quoted in a table; what is none needn't be. */
const cell = (value: unknown): string | number | boolean =>
  typeof value === 'boolean' || typeof value === 'number' ? value : text(value);
const text = (value: unknown): string =>
  Array.isArray(value) ? value.map(text).join(' ') : value === null || value === undefined ? '-' : String(value);

/** The overview as tables, with the answer to "may the next one be replaced" last. */
function printOverview(body: unknown): void {
  if (!isObject(body)) return;
  const out = new Console({ stdout: process.stdout });
  const rows = (
    list: unknown,
    name: string,
    fields: readonly string[],
  ): Record<string, Record<string, string | number | boolean>> =>
    Object.fromEntries(
      asList(list)
        .filter(isObject)
        .map((row) => [text(row[name]), Object.fromEntries(fields.map((field) => [field, cell(row[field])]))]),
    );
  out.table(rows(body['nodes'], 'node', ['registered', 'heard', 'release', 'frames', 'features', 'holds', 'leaving']));
  out.table(rows(body['features'], 'name', ['state', 'why', 'since', 'waitsFor', 'wayBack']));
  for (const [field, what] of [
    ['unknownFeatures', 'features of later releases'],
    ['unreadable', 'shards whose records this release cannot read'],
  ] as const)
    if (asList(body[field]).length > 0) out.log(`${what}: ${text(body[field])}`);
  if (body['paused'] === true) out.log('The rollout is paused: no feature goes on by itself.');
  const next = isObject(body['next']) ? body['next'] : {};
  out.log(
    next['mayBeReplaced'] === true
      ? 'The next controller may be replaced now.'
      : `Wait before the next controller is replaced: ${asString(next['why']) ?? 'not known'}.`,
  );
}

/** One request; null and a line on standard error when it was not answered with success. */
async function call(node: string, request: Omit<Call, 'timeoutMs'>): Promise<unknown> {
  const target = parseAddress(node);
  if (!target) return null;
  const client = new HttpClient(target, 1);
  const answer = await client.call({ ...request, timeoutMs: LEAVE_TIMEOUT_MS });
  client.close();
  if (answer.kind === 'answered' && answer.status < 300) return answer.body;
  const reason =
    answer.kind === 'failed'
      ? `gave no answer: ${answer.reason}`
      : `status ${answer.status}: ${text(isObject(answer.body) ? answer.body['error'] : '')}`;
  process.stderr.write(`wooddrift: ${node} ${reason}\n`);
  process.exitCode = 1;
  return null;
}

async function status({ node, json }: Flags): Promise<void> {
  const body = await call(node, { method: 'GET', path: '/admin/v1/rollout' });
  if (body === null) return;
  if (json) process.stdout.write(`${JSON.stringify(body, null, 2)}\n`);
  else printOverview(body);
}

/** Asks a controller to leave, and waits until it has. */
async function leave({ node }: Flags): Promise<void> {
  if ((await call(node, { method: 'POST', path: '/admin/v1/leave', body: {} })) === null) return;
  const until = systemRuntime.now() + LEFT_WITHIN_MS;
  while (systemRuntime.now() < until) {
    const said = await call(node, { method: 'GET', path: '/admin/v1/leave' });
    if (said === null) return;
    if (isObject(said) && said['left'] === true) {
      process.stdout.write(
        `${node} has left: end it now; it takes part again by itself in ${text(said['staysInS'])} s\n`,
      );
      return;
    }
    await systemRuntime.sleep(LOOK_EVERY_MS);
  }
  process.stderr.write(`wooddrift: ${node} has not left yet; \`admin stay\` calls it off\n`);
  process.exitCode = 1;
}

/** What operators need to replace controllers one after the other. */
export function adminRollout(admin: Command, withNode: (command: Command) => Command, ask: Ask): void {
  const rollout = admin
    .command('rollout')
    .description('replace controllers one after the other, and what goes on then');
  withNode(rollout.command('status'))
    .description('who runs what, what is on, what is waited for, and whether the next controller may be replaced')
    .option('--json', 'as JSON instead of tables')
    .action(status);
  for (const [verb, what] of [
    ['pause', 'no feature goes on by itself'],
    ['resume', 'features go on by themselves again'],
    ['finish', 'close the way back of all features that are on'],
  ] as const)
    withNode(rollout.command(verb))
      .description(what)
      .action(({ node }: Flags) => ask(node, { method: 'POST', path: `/admin/v1/rollout/${verb}`, body: {} }));
  for (const [verb, what] of [
    ['hold', 'this feature does not go on'],
    ['allow', 'it goes on once all controllers have it, also after it was stopped'],
    ['back', 'it goes off, and what it has stored is put back'],
  ] as const)
    withNode(rollout.command(verb))
      .description(what)
      .argument('<feature>')
      .action((feature: string, { node }: Flags) =>
        ask(node, {
          method: 'POST',
          path: `/admin/v1/rollout/features/${encodeURIComponent(feature)}/${verb}`,
          body: {},
        }),
      );
  withNode(admin.command('leave'))
    .description('hand everything that this controller holds to others, before it is ended')
    .action(leave);
  withNode(admin.command('stay'))
    .description('it is not ended after all')
    .action(({ node }: Flags) => ask(node, { method: 'DELETE', path: '/admin/v1/leave' }));
}
