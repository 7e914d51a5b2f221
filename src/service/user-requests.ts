import { PIPELINES } from '../rollout/index.js';
import { encodeJobView, parseJobId, type JobRegistry, type JobSpec, type JobRequestOutcome } from '../jobs/index.js';
import { isObject, type JobId } from '../kernel/index.js';
import type { ForwardedAnswer, ForwardedOperation, PeerTransport } from '../peers/index.js';

/** A request of a user. */
export type UserRequest =
  | { readonly op: 'submit'; readonly spec: JobSpec; readonly awaits?: readonly JobId[] }
  | { readonly op: 'query' | 'cancel'; readonly id: string };

/** The HTTP status and JSON body of a response to a user. */
export interface UserResponse {
  readonly status: number;
  readonly body: unknown;
  /** Value of the Retry-After header, in seconds. */
  readonly retryAfterS?: number;
}

/** Longest wait for the response of a peer to a forwarded request. */
const FORWARD_TIMEOUT_MS = 1200;

const toUserResponse = (outcome: JobRequestOutcome): UserResponse => {
  switch (outcome.kind) {
    case 'created':
      return { status: 201, body: encodeJobView(outcome.view) };
    case 'known':
      return { status: 200, body: encodeJobView(outcome.view) };
    case 'never':
      return { status: 422, body: { error: outcome.reason } };
    case 'malformed':
      return { status: 400, body: { error: outcome.reason } };
    case 'absent':
      return { status: 404, body: { error: 'no such job' } };
    case 'later':
      return { status: 503, body: { error: outcome.reason }, retryAfterS: 1 };
  }
};

/** Decodes a peer's answer to a forwarded request; null if its body is not JSON. */
function decodeForwardedAnswer({ status, body }: ForwardedAnswer): UserResponse | null {
  try {
    return { status, body: JSON.parse(body) as unknown };
  } catch {
    return null;
  }
}

/** The job that a request is about. */
const jobOf = (request: UserRequest): string => (request.op === 'submit' ? request.spec.id : request.id);

/** Whether an answer to a request shows a job, and another one than the request is about. */
const isAboutAnotherJob = (request: UserRequest, { status, body }: UserResponse): boolean =>
  (status === 200 || status === 201) && !(isObject(body) && body['ref'] === jobOf(request));

/** Serves requests of users on this node, or through a peer that has the state service if this node lacks it. */
export class UserRequestHandler {
  private foreignAnswers = 0;

  constructor(
    private readonly registry: JobRegistry,
    private readonly peers: PeerTransport,
    private readonly ready: () => boolean,
    private readonly stateOk: () => boolean,
  ) {}

  /**
   * Number of answers of peers that were refused because they were about another job than the forwarded request, since
   * the process started.
   */
  get answersAboutOtherJobs(): number {
    return this.foreignAnswers;
  }

  /** Serves a request on this node or through a peer. */
  async serve(request: UserRequest): Promise<UserResponse> {
    // While this node knows that it lacks the state service, it asks a peer first, so that the user does not wait.
    if (!this.stateOk() || !this.ready()) {
      const forwarded = await this.forward(request);
      if (forwarded) return forwarded;
    }
    const local = await this.serveLocally(request);
    if (local.status !== 503) return local;
    return (await this.forward(request)) ?? local;
  }

  /** Serves a request on this node. */
  async serveLocally(request: UserRequest): Promise<UserResponse> {
    if (!this.ready()) return toUserResponse({ kind: 'later', reason: 'starting' });
    if (request.op === 'submit') return toUserResponse(await this.registry.submit(request.spec, request.awaits));
    const id = parseJobId(request.id);
    if (!id) return toUserResponse({ kind: 'absent' });
    return toUserResponse(request.op === 'query' ? await this.registry.query(id) : await this.registry.cancel(id));
  }

  /** Forwards a request to a peer that has the state service; null if no peer gives a usable response. */
  private async forward(request: UserRequest): Promise<UserResponse | null> {
    // A release that does not know `awaits` would drop the dependencies and start the job too early.
    const hasDependencies = request.op === 'submit' && (request.awaits?.length ?? 0) > 0;
    const peer = this.peers.peerNames.find(
      (node) =>
        this.peers.statusOf(node)?.stateOk === true &&
        (!hasDependencies || this.peers.supportsFeature(node, PIPELINES)),
    );
    if (peer === undefined) return null;
    const response = await this.peers.forwardRequest(peer, request.op, JSON.stringify(request), FORWARD_TIMEOUT_MS);
    if (!response || response.status === 503) return null;
    const decoded = decodeForwardedAnswer(response);
    if (decoded === null || !isAboutAnotherJob(request, decoded)) return decoded;
    this.foreignAnswers += 1;
    return null;
  }

  /** Serves a request that a peer has forwarded for its user. */
  async onAsk(op: ForwardedOperation, body: string): Promise<ForwardedAnswer> {
    let request: unknown;
    try {
      request = JSON.parse(body);
    } catch {
      return { status: 400, body: '{}' };
    }
    if (!isObject(request) || request['op'] !== op) return { status: 400, body: '{}' };
    if (!this.stateOk()) return { status: 503, body: '{}' };
    const response = await this.serveLocally(request as unknown as UserRequest);
    return { status: response.status, body: JSON.stringify(response.body) };
  }
}
