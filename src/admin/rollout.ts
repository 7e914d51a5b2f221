/** The rollout part of the administration API. */
import { Router, type Response } from 'express';
import { wallMillis, type Clock } from '../kernel/index.js';
import {
  FEATURE_REQUESTS,
  type FeatureState,
  type OperatorRequests,
  type RequestUpdateResult,
} from '../rollout/index.js';

/** Controls a rollout, and the departure of this node before its process is stopped. */
export interface RolloutControl {
  readonly clock: Clock;
  /** State of the features of this release; `finished`: the feature can no longer be rolled back. */
  features(): ReadonlyMap<string, { readonly state: FeatureState; readonly finished: boolean }>;
  /** State of the rollout as reported to operators. */
  overview(): unknown;
  /** Stores a change of the operators' requests. */
  updateRequests(change: (requests: OperatorRequests) => OperatorRequests): Promise<RequestUpdateResult>;
  /** Starts to hand everything that this node holds to other nodes, or says why it can't. */
  startLeaving(): { readonly ok: true } | { readonly ok: false; readonly reason: string };
  /** Cancels the departure. */
  cancelLeaving(): void;
  /**
   * Progress of the departure. `left`: the node holds nothing any more; `staysInS`: seconds until it takes part again
   * by itself, null if it is not leaving.
   */
  leaveStatus(): { readonly leaving: boolean; readonly left: boolean; readonly staysInS: number | null };
}

const NEWER_RELEASE_ERROR = { error: 'the rollout record was written by a later release and is left unchanged' };
const UNAVAILABLE_ERROR = { error: 'the state service does not answer, try again' };

/** Stores a change of the operators' requests and answers with the overview, or with why it could not be stored. */
async function storeAndAnswer(
  res: Response,
  control: RolloutControl,
  change: (requests: OperatorRequests) => OperatorRequests,
): Promise<void> {
  const result = await control.updateRequests(change);
  if (result.kind === 'ok') res.json(control.overview());
  else if (result.kind === 'foreign') res.status(409).json(NEWER_RELEASE_ERROR);
  else res.status(503).set('Retry-After', '1').json(UNAVAILABLE_ERROR);
}

/** Routes of the rollout and of the departure of this node. */
export function rolloutRouter(control: RolloutControl): Router {
  const router = Router();

  router.get('/rollout', (_req, res) => {
    res.json(control.overview());
  });
  router.post('/rollout/pause', (_req, res) =>
    storeAndAnswer(res, control, (requests) => ({ ...requests, paused: true })),
  );
  router.post('/rollout/resume', (_req, res) =>
    storeAndAnswer(res, control, (requests) => ({ ...requests, paused: false })),
  );
  router.post('/rollout/finish', async (_req, res) => {
    const on = [...control.features()].filter(([, { state, finished }]) => state === 'on' && !finished);
    if (on.length === 0) res.status(409).json({ error: 'no feature is on that could still be rolled back' });
    else
      await storeAndAnswer(res, control, (requests) => ({
        ...requests,
        finish: [...new Set([...requests.finish, ...on.map(([name]) => name)])],
      }));
  });

  router.post('/rollout/features/:name/:wish', async (req, res) => {
    const { name } = req.params;
    const request = FEATURE_REQUESTS.find((candidate) => candidate === req.params.wish);
    const features = control.features();
    const feature = features.get(name);
    if (request === undefined)
      res.status(404).json({ error: `unknown request: must be one of ${FEATURE_REQUESTS.join(', ')}` });
    else if (!feature)
      res.status(404).json({ error: `this release has no feature ${name}: it has ${[...features.keys()].join(', ')}` });
    else if (request === 'back' && feature.finished)
      res.status(409).json({ error: `feature ${name} can no longer be rolled back` });
    else
      await storeAndAnswer(res, control, (requests) => ({
        ...requests,
        features: new Map(requests.features).set(name, { wish: request, at: wallMillis(control.clock.wall()) }),
      }));
  });

  router.get('/leave', (_req, res) => {
    res.json(control.leaveStatus());
  });
  router.post('/leave', (_req, res) => {
    const result = control.startLeaving();
    if (result.ok) res.status(202).json(control.leaveStatus());
    else res.status(409).json({ error: result.reason });
  });
  router.delete('/leave', (_req, res) => {
    control.cancelLeaving();
    res.json(control.leaveStatus());
  });
  return router;
}
