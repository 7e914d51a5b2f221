import type { Incarnation, NodeName, Runtime } from '../kernel/index.js';

/** The HTTP status and JSON body with which a peer answers a forwarded request. */
export interface ForwardedAnswer {
  readonly status: number;
  readonly body: string;
}

/** Numbers of forwarded requests by outcome, and of answers that no request was waiting for, since the process started. */
export interface RequestCounts {
  readonly forwarded: number;
  /** Requests that could not be sent. */
  readonly unsent: number;
  readonly answered: number;
  /** Requests without an answer in time. */
  readonly timedOut: number;
  /** Answers to requests that had timed out, that went to another peer, or that this process never sent. */
  readonly unmatchedAnswers: number;
}

/** A request without an answer so far. */
interface PendingRequest {
  /** The peer that has to answer it. */
  readonly to: NodeName;
  settle(answer: ForwardedAnswer): void;
}

/**
 * The id of the first request of a process, taken from its incarnation. A peer of an earlier release may send the
 * answer to a request of an ended process to the process that follows it, so their ids must not be the same.
 */
const firstRequestId = (incarnation: Incarnation): number => Number.parseInt(incarnation.slice(0, 8), 16) >>> 0;

/** The requests that this process has forwarded to peers and that have no answer so far. */
export class PendingRequests {
  private readonly pending = new Map<number, PendingRequest>();
  private nextId: number;
  private readonly mutableCounts = { forwarded: 0, unsent: 0, answered: 0, timedOut: 0, unmatchedAnswers: 0 };

  constructor(
    incarnation: Incarnation,
    private readonly runtime: Pick<Runtime, 'after'>,
  ) {
    this.nextId = firstRequestId(incarnation);
  }

  /** Numbers of requests and answers since the process started. */
  get counts(): RequestCounts {
    return this.mutableCounts;
  }

  /**
   * Sends a request to a peer under a new id; resolves to null when it cannot be sent or no answer arrives in time.
   */
  forward(to: NodeName, timeoutMs: number, send: (id: number) => boolean): Promise<ForwardedAnswer | null> {
    const id = this.nextId;
    this.nextId = (id + 1) >>> 0;
    this.mutableCounts.forwarded += 1;
    if (!send(id)) {
      this.mutableCounts.unsent += 1;
      return Promise.resolve(null);
    }
    return new Promise((resolve) => {
      const timer = this.runtime.after(timeoutMs, () => {
        this.pending.delete(id);
        this.mutableCounts.timedOut += 1;
        resolve(null);
      });
      const settle = (answer: ForwardedAnswer): void => {
        timer.cancel();
        this.pending.delete(id);
        this.mutableCounts.answered += 1;
        resolve(answer);
      };
      this.pending.set(id, { to, settle });
    });
  }

  /** Passes a peer's answer to the request that waits for an answer of this peer under this id, if any. */
  settle(from: NodeName, id: number, answer: ForwardedAnswer): void {
    const request = this.pending.get(id);
    if (request?.to === from) request.settle(answer);
    else this.mutableCounts.unmatchedAnswers += 1;
  }
}
