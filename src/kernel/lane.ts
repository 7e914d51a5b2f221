import { headEnd, readHead, type RequestHead } from './head.js';
import type { Connection } from './runtime.js';

/** What the lane serves itself; null leaves the request to the router. */
export interface LaneAnswer {
  readonly status: number;
  readonly text: string;
  readonly retryAfterS?: number;
}
export type LaneHandler = (head: RequestHead, body: Buffer) => LaneAnswer | Promise<LaneAnswer>;

const MAX_HEAD = 8 * 1024;
/** What may wait behind an answer that is not there yet: clients don't pipeline. */
const MAX_WAITING = 128 * 1024;
/** A client that takes no answers is not answered for ever. */
const MAX_UNSENT = 256 * 1024;
const IDLE_MS = 120_000;
const HALF_A_REQUEST_MS = 30_000;
const NOTHING = Buffer.alloc(0);

const REASONS: Record<number, string> = {
  200: 'OK',
  201: 'Created',
  400: 'Bad Request',
  404: 'Not Found',
  421: 'Misdirected Request',
  422: 'Unprocessable Entity',
  503: 'Service Unavailable',
};

/** One write for the whole answer: each packet and each call costs. */
export function formatAnswer({ status, text, retryAfterS }: LaneAnswer, close: boolean): string {
  const again = retryAfterS === undefined ? '' : `retry-after: ${retryAfterS}\r\n`;
  return (
    `HTTP/1.1 ${status} ${REASONS[status] ?? 'Status'}\r\ncontent-type: application/json\r\n` +
    `${again}${close ? 'connection: close\r\n' : ''}content-length: ${Buffer.byteLength(text)}\r\n\r\n${text}`
  );
}

/**
 * The short way for requests that come hundreds of times a second: a plain request, on a path that
 * `find` knows, is cut out of the stream and answered without the http module's objects, which cost
 * several times the answer. Whatever is not plain (another path, a body in chunks) goes on through
 * the http module, this connection's later requests included.
 */
export class Lane {
  private input: Buffer = NOTHING;
  private head: RequestHead | undefined;
  private busy = false;
  private closing = false;

  private constructor(
    private readonly socket: Connection,
    private readonly find: (head: RequestHead) => LaneHandler | undefined,
    private readonly maxBody: number,
    private readonly handOver: (socket: Connection, unread: Buffer) => void,
  ) {}

  static serve(
    socket: Connection,
    find: (head: RequestHead) => LaneHandler | undefined,
    maxBody: number,
    handOver: (socket: Connection, unread: Buffer) => void,
  ): Lane {
    const lane = new Lane(socket, find, maxBody, handOver);
    socket.on('data', lane.onData);
    socket.on('end', lane.onEnd);
    socket.on('error', lane.onError);
    socket.on('timeout', lane.onTimeout);
    socket.setTimeout(IDLE_MS);
    return lane;
  }

  /** Nothing is being read or answered. */
  get resting(): boolean {
    return !this.busy && this.input.length === 0;
  }

  private readonly onError = (): void => {
    this.socket.destroy();
  };

  private readonly onTimeout = (): void => {
    this.socket.destroy();
  };

  private readonly onEnd = (): void => {
    this.closing = true;
    if (!this.busy) this.socket.end();
  };

  private readonly onData = (chunk: Buffer): void => {
    this.input = this.input.length === 0 ? chunk : Buffer.concat([this.input, chunk]);
    if (this.busy) {
      if (this.input.length > MAX_WAITING) this.socket.destroy();
      return;
    }
    this.next();
  };

  private leave(): void {
    const { socket } = this;
    socket.off('data', this.onData);
    socket.off('end', this.onEnd);
    socket.off('error', this.onError);
    socket.off('timeout', this.onTimeout);
    socket.setTimeout(0);
    const unread = this.input;
    this.input = NOTHING;
    this.handOver(socket, unread);
  }

  /** Serves what has come in as far as it is whole. */
  private next(): void {
    while (!this.busy && !this.closing && this.input.length > 0) {
      if (!this.head) {
        const end = headEnd(this.input);
        if (end < 0) {
          if (this.input.length > MAX_HEAD) this.leave();
          else this.waitForMore();
          return;
        }
        const head = readHead(this.input, end);
        if (!head || head.length > this.maxBody || !this.find(head)) {
          this.leave();
          return;
        }
        this.head = head;
      }
      const { head } = this;
      const whole = head.bodyAt + head.length;
      if (this.input.length < whole) {
        this.waitForMore();
        return;
      }
      const body = this.input.subarray(head.bodyAt, whole);
      this.input = this.input.length === whole ? NOTHING : this.input.subarray(whole);
      this.head = undefined;
      this.serveOne(head, body);
    }
  }

  private waitForMore(): void {
    this.socket.setTimeout(HALF_A_REQUEST_MS);
  }

  private serveOne(head: RequestHead, body: Buffer): void {
    if (head.close) this.closing = true;
    const answer = this.find(head)?.(head, body);
    if (!(answer instanceof Promise)) {
      if (answer) this.send(answer);
      return;
    }
    this.busy = true;
    void answer.then((later) => {
      this.busy = false;
      this.send(later);
      this.next();
    });
  }

  private send(answer: LaneAnswer): void {
    const { socket } = this;
    if (socket.destroyed) return;
    if (socket.timeout !== IDLE_MS) socket.setTimeout(IDLE_MS);
    const text = formatAnswer(answer, this.closing);
    if (this.closing) socket.end(text);
    else socket.write(text);
    if (socket.writableLength > MAX_UNSENT) socket.destroy();
  }
}
