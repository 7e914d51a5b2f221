import { headEnd, joinChunks, readResponseHead, type ResponseHead } from './head.js';
import type { Connection, Runtime } from './runtime.js';
import type { SocketBudget } from './sockets.js';
import { systemRuntime } from './system.js';

/** What came of an outgoing request: an answer, or a failure whose effect is unknown when it was sent. */
export type Answer =
  | { readonly kind: 'answered'; readonly status: number; readonly body: unknown; readonly retryAfterS: number | null }
  | { readonly kind: 'failed'; readonly reason: string };

export interface Address {
  readonly host: string;
  readonly port: number;
}

export interface Call {
  readonly method: 'GET' | 'POST' | 'PATCH' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  /** Every request has a deadline: a silent machine gives no error. */
  readonly timeoutMs: number;
  readonly maxBytes?: number;
}

const MAX_BYTES = 4 * 1024 * 1024;

export function parseAddress(text: string): Address | null {
  const match = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/.exec(text);
  if (!match) return null;
  const port = Number(match[2]);
  return port > 0 && port < 65536 ? { host: match[1] ?? '', port } : null;
}

interface Waiting {
  readonly text: string;
  readonly maxBytes: number;
  readonly finish: (answer: Answer) => void;
  done: boolean;
}

const failed = (reason: string): Answer => ({ kind: 'failed', reason });

/** One connection: one request at a time. What breaks it fails its request; nothing is sent twice. */
class Line {
  private readonly socket: Connection;
  private input: Buffer[] = [];
  private size = 0;
  private head: ResponseHead | undefined;
  private current: Waiting | undefined;
  private alive = true;

  constructor(
    address: Address,
    runtime: Runtime,
    private readonly free: (line: Line) => void,
    private readonly gone: (line: Line) => void,
  ) {
    this.socket = runtime.connect(address);
    this.socket.on('data', (chunk: Buffer) => this.onData(chunk));
    this.socket.on('error', (error) => this.end(error.message));
    this.socket.on('close', () => this.end('connection closed'));
    this.socket.on('end', () => this.onEnd());
  }

  serves(request: Waiting): boolean {
    return this.current === request;
  }

  send(request: Waiting): void {
    this.current = request;
    this.socket.write(request.text);
  }

  end(reason: string): void {
    if (this.alive) {
      this.alive = false;
      this.socket.destroy();
      this.gone(this);
    }
    const { current } = this;
    this.current = undefined;
    current?.finish(failed(reason));
  }

  private onEnd(): void {
    if (this.current && this.head && this.head.length === null && !this.head.chunked) {
      this.answer(Buffer.concat(this.input).subarray(this.head.bodyAt));
    }
    this.end('answer cut off');
  }

  private onData(chunk: Buffer): void {
    const { current } = this;
    if (!current) {
      this.end('an answer to nothing');
      return;
    }
    this.input.push(chunk);
    this.size += chunk.length;
    if (this.size > current.maxBytes) {
      this.end('answer too long');
      return;
    }
    // Long answers come in many pieces, which are joined once all are there.
    if (this.head?.length != null && this.size < this.head.bodyAt + this.head.length) return;
    const input = this.input.length === 1 ? chunk : Buffer.concat(this.input);
    if (this.input.length > 1) this.input = [input];
    if (!this.head) {
      const end = headEnd(input);
      if (end < 0) return;
      const head = readResponseHead(input, end);
      if (!head) {
        this.end('not an HTTP answer');
        return;
      }
      this.head = head;
    }
    this.take(input, this.head);
  }

  private take(input: Buffer, head: ResponseHead): void {
    if (head.chunked) {
      const joined = joinChunks(input.subarray(head.bodyAt));
      if (joined === 'more') return;
      if (joined === 'malformed') this.end('malformed chunks');
      else this.answer(joined.body);
    } else if (head.length !== null && input.length >= head.bodyAt + head.length) {
      this.answer(input.subarray(head.bodyAt, head.bodyAt + head.length));
    }
  }

  private answer(body: Buffer): void {
    const { current, head } = this;
    if (!current || !head) return;
    this.current = undefined;
    this.head = undefined;
    this.input = [];
    this.size = 0;
    let answer: Answer;
    try {
      const value = body.length === 0 ? null : (JSON.parse(body.toString('utf8')) as unknown);
      answer = { kind: 'answered', status: head.status, body: value, retryAfterS: head.retryAfterS };
    } catch {
      answer = failed('answer is not JSON');
    }
    if (head.close) this.end('closed by the other side');
    else this.free(this);
    current.finish(answer);
  }
}

/**
 * A client for one remote address, with bounded connections that are kept open. Written on sockets:
 * a command to a worker and a change in the state service cost a fraction of what the http module's
 * objects cost, on a controller with a fraction of a core.
 */
export class HttpClient {
  private readonly idle: Line[] = [];
  private readonly lines = new Set<Line>();
  private readonly queue: Waiting[] = [];

  constructor(
    readonly address: Address,
    private readonly maxSockets: number,
    private readonly runtime: Runtime = systemRuntime,
    /** Shared with the clients of other addresses. */
    private readonly sockets?: SocketBudget,
  ) {}

  /** A connection stands, or is being opened. */
  get connected(): boolean {
    return this.lines.size > 0;
  }

  close(): void {
    for (const waiting of this.queue.splice(0)) waiting.finish(failed('closed'));
    for (const line of [...this.lines]) line.end('closed');
  }

  call(call: Call): Promise<Answer> {
    return new Promise((resolve) => {
      const waiting: Waiting = {
        text: this.encode(call),
        maxBytes: call.maxBytes ?? MAX_BYTES,
        done: false,
        finish: (answer) => {
          if (waiting.done) return;
          waiting.done = true;
          timer.cancel();
          resolve(answer);
        },
      };
      const timer = this.runtime.after(call.timeoutMs, () => {
        const line = [...this.lines].find((candidate) => candidate.serves(waiting));
        waiting.finish(failed('timeout'));
        // Its answer may still come: the connection can't be used for another.
        line?.end('timeout');
      });
      this.queue.push(waiting);
      this.pump();
    });
  }

  private encode(call: Call): string {
    const head = `${call.method} ${call.path} HTTP/1.1\r\nhost: ${this.address.host}:${this.address.port}\r\n`;
    if (call.body === undefined) return `${head}\r\n`;
    const body = JSON.stringify(call.body);
    return `${head}content-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
  }

  private pump(): void {
    while (this.queue.length > 0) {
      const line = this.idle.pop() ?? this.open();
      if (!line) return;
      const next = this.queue.shift();
      if (next && !next.done) {
        this.sockets?.works(line);
        line.send(next);
      } else this.rest(line);
    }
  }

  private open(): Line | undefined {
    if (this.lines.size >= this.maxSockets) return undefined;
    const line = new Line(
      this.address,
      this.runtime,
      (free) => {
        this.rest(free);
        this.pump();
      },
      (gone) => {
        this.lines.delete(gone);
        this.sockets?.closed(gone);
        const at = this.idle.indexOf(gone);
        if (at >= 0) this.idle.splice(at, 1);
        this.pump();
      },
    );
    this.lines.add(line);
    this.sockets?.opened();
    return line;
  }

  private rest(line: Line): void {
    this.idle.push(line);
    this.sockets?.rests(line);
  }
}

/** Reads of untrusted JSON: a field of the wrong kind is undefined, never a thrown error. */
export type JsonObject = Record<string, unknown>;
export const isObject = (value: unknown): value is JsonObject =>
  typeof value === 'object' && value !== null && !Array.isArray(value);
export const asString = (value: unknown): string | undefined => (typeof value === 'string' ? value : undefined);
export const asNumber = (value: unknown): number | undefined =>
  typeof value === 'number' && Number.isFinite(value) ? value : undefined;
export const asCount = (value: unknown): number | undefined =>
  typeof value === 'number' && Number.isSafeInteger(value) && value >= 0 ? value : undefined;
export const asList = (value: unknown): readonly unknown[] => (Array.isArray(value) ? value : []);
