import { Router } from 'express';
import { encodeSettings, mark, parseTunables, type MachineMark, type SettingsStore } from './settings.js';

const MARKS: readonly MachineMark[] = ['cordon', 'drain', 'uncordon'];
const MACHINE = /^[A-Za-z0-9._-]{1,100}$/;

/** The administration API: operators' settings, and what this node sees. */
export function adminRouter(store: SettingsStore, status: () => unknown): Router {
  const router = Router();
  const later = { error: 'the state service gives no answer, try again' };

  router.get('/status', (_req, res) => {
    res.json(status());
  });

  router.get('/settings', async (_req, res) => {
    const settings = await store.read();
    if (settings) res.json(encodeSettings(settings));
    else res.status(503).set('Retry-After', '1').json(later);
  });

  router.patch('/settings/tunables', async (req, res) => {
    const parsed = parseTunables(req.body);
    if (!parsed.ok) {
      res.status(400).json({ error: parsed.reason });
      return;
    }
    const given = Object.fromEntries(Object.entries(parsed.patch).filter(([, value]) => value !== undefined));
    const settings = await store.change((s) => ({ ...s, tunables: { ...s.tunables, ...given } }));
    if (settings) res.json(encodeSettings(settings));
    else res.status(503).set('Retry-After', '1').json(later);
  });

  router.post('/machines/:id/:mark', async (req, res) => {
    const how = MARKS.find((m) => m === req.params.mark);
    const { id } = req.params;
    if (how === undefined || !MACHINE.test(id)) {
      res.status(404).json({ error: 'not found' });
      return;
    }
    const settings = await store.change((s) => mark(s, id, how));
    if (settings) res.json(encodeSettings(settings));
    else res.status(503).set('Retry-After', '1').json(later);
  });
  return router;
}
