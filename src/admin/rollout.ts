import { Router, type Response } from 'express';
import { wallMillis, type Clock } from '../kernel/index.js';
import { FEATURE_WISHES, type FeatureState, type RolloutWishes, type WishResult } from '../rollout/index.js';

/** What operators may ask of a rollout, and of this node before it is ended. */
export interface RolloutDesk {
  readonly clock: Clock;
  /** Of this program's features, with how they stand. */
  features(): ReadonlyMap<string, { readonly state: FeatureState; readonly finished: boolean }>;
  overview(): unknown;
  wish(how: (wishes: RolloutWishes) => RolloutWishes): Promise<WishResult>;
  leave(): { readonly ok: true } | { readonly ok: false; readonly reason: string };
  stay(): void;
  /** Is it leaving, has it left, and how long until it takes part again by itself. */
  leaving(): { readonly leaving: boolean; readonly left: boolean; readonly staysInS: number | null };
}

const FOREIGN = { error: 'the record of the rollout is of a later release, which this one leaves alone' };
const LATER = { error: 'the state service gives no answer, try again' };

async function answer(res: Response, desk: RolloutDesk, how: (wishes: RolloutWishes) => RolloutWishes): Promise<void> {
  const result = await desk.wish(how);
  if (result.kind === 'ok') res.json(desk.overview());
  else if (result.kind === 'foreign') res.status(409).json(FOREIGN);
  else res.status(503).set('Retry-After', '1').json(LATER);
}

export function rolloutRouter(desk: RolloutDesk): Router {
  const router = Router();

  router.get('/rollout', (_req, res) => {
    res.json(desk.overview());
  });
  router.post('/rollout/pause', (_req, res) => answer(res, desk, (wishes) => ({ ...wishes, paused: true })));
  router.post('/rollout/resume', (_req, res) => answer(res, desk, (wishes) => ({ ...wishes, paused: false })));
  router.post('/rollout/finish', async (_req, res) => {
    const on = [...desk.features()].filter(([, { state, finished }]) => state === 'on' && !finished);
    if (on.length === 0) res.status(409).json({ error: 'no feature is on whose way back is open' });
    else
      await answer(res, desk, (wishes) => ({
        ...wishes,
        finish: [...new Set([...wishes.finish, ...on.map(([name]) => name)])],
      }));
  });

  router.post('/rollout/features/:name/:wish', async (req, res) => {
    const { name } = req.params;
    const wish = FEATURE_WISHES.find((known) => known === req.params.wish);
    const known = desk.features();
    const feature = known.get(name);
    if (wish === undefined) res.status(404).json({ error: `no such wish: one of ${FEATURE_WISHES.join(', ')}` });
    else if (!feature)
      res.status(404).json({ error: `no feature ${name} in this release: there are ${[...known.keys()].join(', ')}` });
    else if (wish === 'back' && feature.finished) res.status(409).json({ error: `${name}: its way back is closed` });
    else
      await answer(res, desk, (wishes) => ({
        ...wishes,
        features: new Map(wishes.features).set(name, { wish, at: wallMillis(desk.clock.wall()) }),
      }));
  });

  router.get('/leave', (_req, res) => {
    res.json(desk.leaving());
  });
  router.post('/leave', (_req, res) => {
    const asked = desk.leave();
    if (asked.ok) res.status(202).json(desk.leaving());
    else res.status(409).json({ error: asked.reason });
  });
  router.delete('/leave', (_req, res) => {
    desk.stay();
    res.json(desk.leaving());
  });
  return router;
}
