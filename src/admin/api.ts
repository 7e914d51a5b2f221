/** The administration API. */
import { Router, type Response } from 'express';
import { rolloutRouter, type RolloutControl } from './rollout.js';
import { encodeSettings, markMachine, parseTunables, type MachineAction } from './settings.js';
import type { SettingsResult, SettingsStore } from './store.js';

const MACHINE_ACTIONS: readonly MachineAction[] = ['cordon', 'drain', 'uncordon'];
const MACHINE_ID_PATTERN = /^[A-Za-z0-9._-]{1,100}$/;

/** The event trail of this node, as served to recorders. */
export interface TrailView {
  /** Events after the given number, oldest first, at most `limit`. */
  page(after: number, limit: number): unknown;
  /** What a replay needs besides the events: machine types, teams, limits. */
  facts(): unknown;
}

const MAX_EVENTS_PER_PAGE = 1000;
const WHOLE_NUMBER_PATTERN = /^\d{1,15}$/;

const UNAVAILABLE_ERROR = { error: 'the state service does not answer, try again' };
const NEWER_RELEASE_ERROR = { error: 'the settings were written by a later release and are left unchanged' };
const TOO_LARGE_ERROR = { error: 'the settings would exceed the maximum size of a value in the state service' };

/** Answers with the stored settings, or with why they could not be read or changed. */
function answerSettings(res: Response, result: SettingsResult): void {
  if (result.kind === 'stored') res.json({ ...encodeSettings(result.settings), revision: result.revision });
  else if (result.kind === 'foreign') res.status(409).json(NEWER_RELEASE_ERROR);
  else if (result.kind === 'too-large') res.status(413).json(TOO_LARGE_ERROR);
  else res.status(503).set('Retry-After', '1').json(UNAVAILABLE_ERROR);
}

/** Parses a whole number from the query string; null if it is not one. */
function parseWholeNumber(text: unknown, fallback: number): number | null {
  if (text === undefined) return fallback;
  return typeof text === 'string' && WHOLE_NUMBER_PATTERN.test(text) ? Number(text) : null;
}

/** State of this node as reported to operators. */
export interface NodeViews {
  /** What this node holds and sees. */
  status(): unknown;
  /** Team limits: how they are divided between shards, and what each shard uses and waits for. */
  quotas(): unknown;
}

/**
 * Routes of the administration API: operators' settings, the rollout and the state of this node. `trail` is null if
 * this controller keeps no event trail.
 */
export function adminRouter(
  store: SettingsStore,
  views: NodeViews,
  rollout: RolloutControl,
  trail: TrailView | null,
): Router {
  const router = Router();
  router.use(rolloutRouter(rollout));
  router.get('/status', (_req, res) => {
    res.json(views.status());
  });

  router.get('/quotas', (_req, res) => {
    res.json({ teams: views.quotas() });
  });

  router.get('/trail', (req, res) => {
    const after = parseWholeNumber(req.query['after'], 0);
    const limit = parseWholeNumber(req.query['limit'], MAX_EVENTS_PER_PAGE);
    if (!trail)
      res.status(404).json({ error: 'this controller keeps no event trail: start it with serve --trail EVENTS' });
    else if (after === null) res.status(400).json({ error: 'after: must be a whole number' });
    else if (limit === null || limit < 1) res.status(400).json({ error: 'limit: must be a whole number from 1' });
    else res.json(trail.page(after, Math.min(limit, MAX_EVENTS_PER_PAGE)));
  });

  router.get('/trail/facts', (_req, res) => {
    if (!trail)
      res.status(404).json({ error: 'this controller keeps no event trail: start it with serve --trail EVENTS' });
    else res.json(trail.facts());
  });

  router.get('/settings', async (_req, res) => {
    const settings = await store.read();
    answerSettings(res, settings);
  });

  router.get('/settings/in-force', (_req, res) => {
    res.json({ revision: store.revision });
  });

  router.patch('/settings/tunables', async (req, res) => {
    const parsed = parseTunables(req.body);
    if (!parsed.ok) {
      res.status(400).json({ error: parsed.reason });
      return;
    }
    const changes = Object.fromEntries(Object.entries(parsed.patch).filter(([, value]) => value !== undefined));
    const settings = await store.change((s) => ({ ...s, tunables: { ...s.tunables, ...changes } }));
    answerSettings(res, settings);
  });

  router.post('/machines/:id/:mark', async (req, res) => {
    const action = MACHINE_ACTIONS.find((known) => known === req.params.mark);
    const { id } = req.params;
    if (action === undefined || !MACHINE_ID_PATTERN.test(id)) {
      res.status(404).json({ error: 'not found' });
      return;
    }
    const settings = await store.change((s) => markMachine(s, id, action));
    answerSettings(res, settings);
  });
  return router;
}
