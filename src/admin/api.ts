import { Router, type Response } from 'express';
import { rolloutRouter, type RolloutDesk } from './rollout.js';
import { encodeSettings, mark, parseTunables, type MachineMark } from './settings.js';
import type { SettingsResult, SettingsStore } from './store.js';

const MARKS: readonly MachineMark[] = ['cordon', 'drain', 'uncordon'];
const MACHINE = /^[A-Za-z0-9._-]{1,100}$/;

/** What this node tells those who record. */
export interface TrailView {
  page(after: number, most: number): unknown;
  /** What a replay needs to know besides: machine types, teams, limits. */
  facts(): unknown;
}

const MOST_EVENTS = 1000;
const COUNT = /^\d{1,15}$/;

const LATER = { error: 'the state service gives no answer, try again' };
const FOREIGN = { error: 'the settings are of a later release, which this one leaves alone' };
const TOO_LARGE = { error: 'the settings would be longer than the state service takes as one value' };

/** Answers with the settings as they are stored, or with why they could not be read or changed. */
function answerSettings(res: Response, result: SettingsResult): void {
  if (result.kind === 'stored') res.json({ ...encodeSettings(result.settings), revision: result.revision });
  else if (result.kind === 'foreign') res.status(409).json(FOREIGN);
  else if (result.kind === 'too-large') res.status(413).json(TOO_LARGE);
  else res.status(503).set('Retry-After', '1').json(LATER);
}

/** A whole number from the query; null when it is none. */
function count(text: unknown, fallback: number): number | null {
  if (text === undefined) return fallback;
  return typeof text === 'string' && COUNT.test(text) ? Number(text) : null;
}

/** What this node tells operators of itself. */
export interface NodeViews {
  status(): unknown;
  /** Limits of teams: how they are divided, what each shard uses and waits for. */
  quotas(): unknown;
}

/** The administration API: operators' settings, and what this node sees. */
export function adminRouter(
  store: SettingsStore,
  views: NodeViews,
  rollout: RolloutDesk,
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
    const after = count(req.query['after'], 0);
    const limit = count(req.query['limit'], MOST_EVENTS);
    if (!trail) res.status(404).json({ error: 'this controller keeps no trail: serve --trail EVENTS' });
    else if (after === null) res.status(400).json({ error: 'after: must be a whole number' });
    else if (limit === null || limit < 1) res.status(400).json({ error: 'limit: must be a whole number from 1' });
    else res.json(trail.page(after, Math.min(limit, MOST_EVENTS)));
  });

  router.get('/trail/facts', (_req, res) => {
    if (!trail) res.status(404).json({ error: 'this controller keeps no trail: serve --trail EVENTS' });
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
    const given = Object.fromEntries(Object.entries(parsed.patch).filter(([, value]) => value !== undefined));
    const settings = await store.change((s) => ({ ...s, tunables: { ...s.tunables, ...given } }));
    answerSettings(res, settings);
  });

  router.post('/machines/:id/:mark', async (req, res) => {
    const how = MARKS.find((m) => m === req.params.mark);
    const { id } = req.params;
    if (how === undefined || !MACHINE.test(id)) {
      res.status(404).json({ error: 'not found' });
      return;
    }
    const settings = await store.change((s) => mark(s, id, how));
    answerSettings(res, settings);
  });
  return router;
}
