import { Router, type Response } from 'express';
import { rolloutRouter, type RolloutDesk } from './rollout.js';
import {
  encodeSettings,
  mark,
  parseTunables,
  type MachineMark,
  type OperatorSettings,
  type SettingsStore,
} from './settings.js';

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

/** A whole number from the query; null when it is none. */
function count(text: unknown, fallback: number): number | null {
  if (text === undefined) return fallback;
  return typeof text === 'string' && COUNT.test(text) ? Number(text) : null;
}

/** The administration API: operators' settings, and what this node sees. */
export function adminRouter(
  store: SettingsStore,
  status: () => unknown,
  rollout: RolloutDesk,
  trail: TrailView | null,
): Router {
  const router = Router();
  router.use(rolloutRouter(rollout));
  const later = { error: 'the state service gives no answer, try again' };
  const foreign = { error: 'the settings are of a later release, which this one leaves alone' };
  const answer = (res: Response, settings: OperatorSettings | 'foreign' | null): void => {
    if (settings === 'foreign') res.status(409).json(foreign);
    else if (settings) res.json(encodeSettings(settings));
    else res.status(503).set('Retry-After', '1').json(later);
  };

  router.get('/status', (_req, res) => {
    res.json(status());
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
    answer(res, settings);
  });

  router.patch('/settings/tunables', async (req, res) => {
    const parsed = parseTunables(req.body);
    if (!parsed.ok) {
      res.status(400).json({ error: parsed.reason });
      return;
    }
    const given = Object.fromEntries(Object.entries(parsed.patch).filter(([, value]) => value !== undefined));
    const settings = await store.change((s) => ({ ...s, tunables: { ...s.tunables, ...given } }));
    answer(res, settings);
  });

  router.post('/machines/:id/:mark', async (req, res) => {
    const how = MARKS.find((m) => m === req.params.mark);
    const { id } = req.params;
    if (how === undefined || !MACHINE.test(id)) {
      res.status(404).json({ error: 'not found' });
      return;
    }
    const settings = await store.change((s) => mark(s, id, how));
    answer(res, settings);
  });
  return router;
}
