import { findHeadEnd, parseRequestHead, type RequestHead } from './http-head.js';
import type { Connection } from './runtime.js';

/** Response of a handler on the fast path. */
export interface FastPathResponse {
  readonly status: number;
  /** The JSON body. */
  readonly text: string;
  readonly retryAfterS?: number;
}
/** Serves one request on the fast path; the promise must not reject. */
export type FastPathHandler = (head: RequestHead, body: Buffer) => FastPathResponse | Promise<FastPathResponse>;

const MAX_HEAD_BYTES = 8 * 1024;
/** Input that may queue up behind a pending response; clients are not expected to pipeline. */
const MAX_PENDING_INPUT_BYTES = 128 * 1024;
/** A client that does not read its responses is disconnected beyond this. */
const MAX_UNSENT_BYTES = 256 * 1024;
const IDLE_TIMEOUT_MS = 120_000;
/** How long the rest of a partially received request may take. */
const PARTIAL_REQUEST_TIMEOUT_MS = 30_000;
const EMPTY_BUFFER = Buffer.alloc(0);

const STATUS_TEXTS: Record<number, string> = {
  200: 'OK',
  201: 'Created',
  400: 'Bad Request',
  404: 'Not Found',
  421: 'Misdirected Request',
  422: 'Unprocessable Entity',
  503: 'Service Unavailable',
};

/** Formats head and body as one string: one write costs fewer packets and calls than two. */
export function formatResponse({ status, text, retryAfterS }: FastPathResponse, close: boolean): string {
  const retryAfterHeader = retryAfterS === undefined ? '' : `retry-after: ${retryAfterS}\r\n`;
  return (
    `HTTP/1.1 ${status} ${STATUS_TEXTS[status] ?? 'Status'}\r\ncontent-type: application/json\r\n` +
    `${retryAfterHeader}${close ? 'connection: close\r\n' : ''}content-length: ${Buffer.byteLength(text)}\r\n\r\n${text}`
  );
}

/**
 * The server side of a connection on the fast path, for requests that arrive hundreds of times a second. A plain request
 * with a handler is parsed from the stream and answered without the objects of the http module, which cost several times
 * as much as the response itself. The first other request (another path, a chunked body) hands the connection over to the
 * http module, together with all later requests on it.
 */
export class FastPathConnection {
  private input: Buffer = EMPTY_BUFFER;
  private head: RequestHead | undefined;
  private busy = false;
  private closing = false;

  private constructor(
    private readonly socket: Connection,
    private readonly findHandler: (head: RequestHead) => FastPathHandler | undefined,
    private readonly maxBodyBytes: number,
    private readonly handOver: (socket: Connection, unread: Buffer) => void,
  ) {}

  /**
   * Serves a new connection.
   * @param findHandler returns the handler of a request, or undefined when the http module serves it
   * @param handOver receives the connection and its unread input when the http module takes it over
   */
  static serve(
    socket: Connection,
    findHandler: (head: RequestHead) => FastPathHandler | undefined,
    maxBodyBytes: number,
    handOver: (socket: Connection, unread: Buffer) => void,
  ): FastPathConnection {
    const connection = new FastPathConnection(socket, findHandler, maxBodyBytes, handOver);
    socket.on('data', connection.onData);
    socket.on('end', connection.onEnd);
    socket.on('error', connection.onError);
    socket.on('timeout', connection.onTimeout);
    socket.setTimeout(IDLE_TIMEOUT_MS);
    return connection;
  }

  /** True when no request is being received or served. */
  get isIdle(): boolean {
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
      if (this.input.length > MAX_PENDING_INPUT_BYTES) this.socket.destroy();
      return;
    }
    this.processInput();
  };

  private handOverToHttp(): void {
    const { socket } = this;
    socket.off('data', this.onData);
    socket.off('end', this.onEnd);
    socket.off('error', this.onError);
    socket.off('timeout', this.onTimeout);
    socket.setTimeout(0);
    const unread = this.input;
    this.input = EMPTY_BUFFER;
    this.handOver(socket, unread);
  }

  /** Serves the complete requests in the input, until one of them has no response yet. */
  private processInput(): void {
    while (!this.busy && !this.closing && this.input.length > 0) {
      if (!this.head) {
        const end = findHeadEnd(this.input);
        if (end < 0) {
          if (this.input.length > MAX_HEAD_BYTES) this.handOverToHttp();
          else this.awaitMoreInput();
          return;
        }
        const head = parseRequestHead(this.input, end);
        if (!head || head.length > this.maxBodyBytes || !this.findHandler(head)) {
          this.handOverToHttp();
          return;
        }
        this.head = head;
      }
      const { head } = this;
      const requestEnd = head.bodyOffset + head.length;
      if (this.input.length < requestEnd) {
        this.awaitMoreInput();
        return;
      }
      const body = this.input.subarray(head.bodyOffset, requestEnd);
      this.input = this.input.length === requestEnd ? EMPTY_BUFFER : this.input.subarray(requestEnd);
      this.head = undefined;
      this.handleRequest(head, body);
    }
  }

  private awaitMoreInput(): void {
    this.socket.setTimeout(PARTIAL_REQUEST_TIMEOUT_MS);
  }

  private handleRequest(head: RequestHead, body: Buffer): void {
    if (head.close) this.closing = true;
    const response = this.findHandler(head)?.(head, body);
    if (!(response instanceof Promise)) {
      if (response) this.send(response);
      return;
    }
    this.busy = true;
    void response.then((resolved) => {
      this.busy = false;
      this.send(resolved);
      this.processInput();
    });
  }

  private send(response: FastPathResponse): void {
    const { socket } = this;
    if (socket.destroyed) return;
    if (socket.timeout !== IDLE_TIMEOUT_MS) socket.setTimeout(IDLE_TIMEOUT_MS);
    const text = formatResponse(response, this.closing);
    if (this.closing) socket.end(text);
    else socket.write(text);
    if (socket.writableLength > MAX_UNSENT_BYTES) socket.destroy();
  }
}
