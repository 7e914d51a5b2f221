import type { NodeName, Runtime } from '../kernel/index.js';

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
  /** Answers to requests that had timed out, or that this process never sent. */
  readonly unmatchedAnswers: number;
}

/** The requests that this process has forwarded to peers and that have no answer so far. */
export class PendingRequests {
  private readonly pending = new Map<number, (answer: ForwardedAnswer) => void>();
  private nextId = 1;
  private readonly mutableCounts = { forwarded: 0, unsent: 0, answered: 0, timedOut: 0, unmatchedAnswers: 0 };

  constructor(private readonly runtime: Pick<Runtime, 'after'>) {}

  /** Numbers of requests and answers since the process started. */
  get counts(): RequestCounts {
    return this.mutableCounts;
  }

  /** Sends a request under a new id; resolves to null when it cannot be sent or no answer arrives in time. */
  forward(timeoutMs: number, send: (id: number) => boolean): Promise<ForwardedAnswer | null> {
    const id = this.nextId++ >>> 0;
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
      this.pending.set(id, (answer) => {
        timer.cancel();
        this.pending.delete(id);
        this.mutableCounts.answered += 1;
        resolve(answer);
      });
    });
  }

  /** Passes a peer's answer to the request that waits for it. */
  settle(_from: NodeName, id: number, answer: ForwardedAnswer): void {
    const settle = this.pending.get(id);
    if (settle) settle(answer);
    else this.mutableCounts.unmatchedAnswers += 1;
  }
}
