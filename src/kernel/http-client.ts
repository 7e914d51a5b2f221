import { findHeadEnd, decodeChunkedBody, parseResponseHead, type ResponseHead } from './http-head.js';
import type { Connection, Runtime } from './runtime.js';
import type { SocketBudget } from './socket-budget.js';
import { systemRuntime } from './system-runtime.js';

/**
 * Result of an outgoing request. After a failure it is unknown whether the server has executed the request, unless the
 * request was never sent.
 */
export type HttpResult =
  | { readonly kind: 'answered'; readonly status: number; readonly body: unknown; readonly retryAfterS: number | null }
  | { readonly kind: 'failed'; readonly reason: string };

/** IPv4 address and port of a server. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** An outgoing HTTP request. */
export interface HttpRequest {
  readonly method: 'GET' | 'POST' | 'PATCH' | 'DELETE';
  readonly path: string;
  /** Sent as JSON. */
  readonly body?: unknown;
  /** Every request has a timeout, because an unresponsive machine causes no error. */
  readonly timeoutMs: number;
  /** Upper bound of the response, head included. */
  readonly maxResponseBytes?: number;
}

const DEFAULT_MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/** Parses `a.b.c.d:port`; returns null when the text is malformed. */
export function parseAddress(text: string): Address | null {
  const match = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/.exec(text);
  if (!match) return null;
  const port = Number(match[2]);
  return port > 0 && port < 65536 ? { host: match[1] ?? '', port } : null;
}

/** A request that waits for a connection or for its response. */
interface PendingRequest {
  /** The encoded request. */
  readonly text: string;
  readonly maxResponseBytes: number;
  /** Reports the result; every call but the first is ignored. */
  readonly finish: (result: HttpResult) => void;
  done: boolean;
}

const failed = (reason: string): HttpResult => ({ kind: 'failed', reason });

/** A connection that serves one request at a time. A connection error fails the request; it is never resent. */
class ClientConnection {
  private readonly socket: Connection;
  /** The response so far, and its size in bytes. */
  private input: Buffer[] = [];
  private size = 0;
  private head: ResponseHead | undefined;
  private current: PendingRequest | undefined;
  private alive = true;

  constructor(
    address: Address,
    runtime: Runtime,
    private readonly onIdle: (connection: ClientConnection) => void,
    private readonly onClosed: (connection: ClientConnection) => void,
  ) {
    this.socket = runtime.connect(address);
    this.socket.on('data', (chunk: Buffer) => this.onData(chunk));
    this.socket.on('error', (error) => this.end(error.message));
    this.socket.on('close', () => this.end('connection closed'));
    this.socket.on('end', () => this.onEnd());
  }

  isServing(request: PendingRequest): boolean {
    return this.current === request;
  }

  send(request: PendingRequest): void {
    this.current = request;
    this.socket.write(request.text);
  }

  /** Closes the connection and fails the current request. */
  end(reason: string): void {
    if (this.alive) {
      this.alive = false;
      this.socket.destroy();
      this.onClosed(this);
    }
    const { current } = this;
    this.current = undefined;
    current?.finish(failed(reason));
  }

  private onEnd(): void {
    if (this.current && this.head && this.head.length === null && !this.head.chunked) {
      this.completeRequest(Buffer.concat(this.input).subarray(this.head.bodyOffset));
    }
    this.end('response ended early');
  }

  private onData(chunk: Buffer): void {
    const { current } = this;
    if (!current) {
      this.end('data received without a pending request');
      return;
    }
    this.input.push(chunk);
    this.size += chunk.length;
    if (this.size > current.maxResponseBytes) {
      this.end('response too large');
      return;
    }
    // A long response arrives in many pieces, which are joined only once all have arrived.
    if (this.head?.length != null && this.size < this.head.bodyOffset + this.head.length) return;
    const input = this.input.length === 1 ? chunk : Buffer.concat(this.input);
    if (this.input.length > 1) this.input = [input];
    if (!this.head) {
      const end = findHeadEnd(input);
      if (end < 0) return;
      const head = parseResponseHead(input, end);
      if (!head) {
        this.end('not an HTTP response');
        return;
      }
      this.head = head;
    }
    this.parseBody(input, this.head);
  }

  private parseBody(input: Buffer, head: ResponseHead): void {
    if (head.chunked) {
      const decoded = decodeChunkedBody(input.subarray(head.bodyOffset));
      if (decoded === 'more') return;
      if (decoded === 'malformed') this.end('malformed chunked body');
      else this.completeRequest(decoded.body);
    } else if (head.length !== null && input.length >= head.bodyOffset + head.length) {
      this.completeRequest(input.subarray(head.bodyOffset, head.bodyOffset + head.length));
    }
  }

  private completeRequest(body: Buffer): void {
    const { current, head } = this;
    if (!current || !head) return;
    this.current = undefined;
    this.head = undefined;
    this.input = [];
    this.size = 0;
    let result: HttpResult;
    try {
      const value = body.length === 0 ? null : (JSON.parse(body.toString('utf8')) as unknown);
      result = { kind: 'answered', status: head.status, body: value, retryAfterS: head.retryAfterS };
    } catch {
      result = failed('response is not JSON');
    }
    if (head.close) this.end('connection closed by the server');
    else this.onIdle(this);
    current.finish(result);
  }
}

/**
 * HTTP client for one address with a bounded number of keep-alive connections. It works on sockets directly: a command to
 * a worker and a write to the state service cost a fraction of what they cost with the objects of the http module, and a
 * controller runs on a fraction of a core.
 */
export class HttpClient {
  private readonly idle: ClientConnection[] = [];
  private readonly openConnections = new Set<ClientConnection>();
  private readonly queue: PendingRequest[] = [];

  constructor(
    readonly address: Address,
    private readonly maxSockets: number,
    private readonly runtime: Runtime = systemRuntime,
    /** Limit on open connections, shared with the clients of other addresses. */
    private readonly socketBudget?: SocketBudget,
  ) {}

  /** True when a connection is open or being opened. */
  get connected(): boolean {
    return this.openConnections.size > 0;
  }

  /** Fails all queued and running requests and closes all connections. */
  close(): void {
    for (const pending of this.queue.splice(0)) pending.finish(failed('client closed'));
    for (const connection of [...this.openConnections]) connection.end('client closed');
  }

  /** Sends a request, or queues it until a connection is free. The promise never rejects. */
  call(call: HttpRequest): Promise<HttpResult> {
    return new Promise((resolve) => {
      const pending: PendingRequest = {
        text: this.encode(call),
        maxResponseBytes: call.maxResponseBytes ?? DEFAULT_MAX_RESPONSE_BYTES,
        done: false,
        finish: (result) => {
          if (pending.done) return;
          pending.done = true;
          timer.cancel();
          resolve(result);
        },
      };
      const timer = this.runtime.after(call.timeoutMs, () => {
        const connection = [...this.openConnections].find((candidate) => candidate.isServing(pending));
        pending.finish(failed('timeout'));
        // The response may still arrive, so the connection cannot serve another request.
        connection?.end('timeout');
      });
      this.queue.push(pending);
      this.dispatch();
    });
  }

  private encode(call: HttpRequest): string {
    const head = `${call.method} ${call.path} HTTP/1.1\r\nhost: ${this.address.host}:${this.address.port}\r\n`;
    if (call.body === undefined) return `${head}\r\n`;
    const body = JSON.stringify(call.body);
    return `${head}content-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
  }

  /** Assigns queued requests to idle or new connections, as far as there are any. */
  private dispatch(): void {
    while (this.queue.length > 0) {
      const connection = this.idle.pop() ?? this.openConnection();
      if (!connection) return;
      const next = this.queue.shift();
      if (next && !next.done) {
        this.socketBudget?.markBusy(connection);
        connection.send(next);
      } else this.release(connection);
    }
  }

  private openConnection(): ClientConnection | undefined {
    if (this.openConnections.size >= this.maxSockets) return undefined;
    const connection = new ClientConnection(
      this.address,
      this.runtime,
      (idle) => {
        this.release(idle);
        this.dispatch();
      },
      (closed) => {
        this.openConnections.delete(closed);
        this.socketBudget?.recordClosed(closed);
        const index = this.idle.indexOf(closed);
        if (index >= 0) this.idle.splice(index, 1);
        this.dispatch();
      },
    );
    this.openConnections.add(connection);
    this.socketBudget?.recordOpened();
    return connection;
  }

  /** Makes a connection available to the next request. */
  private release(connection: ClientConnection): void {
    this.idle.push(connection);
    this.socketBudget?.markIdle(connection);
  }
}

/** An untrusted JSON object. The functions below read its fields: a value of the wrong type never throws. */
export type JsonObject = Record<string, unknown>;
/** True for a JSON object, false for null and arrays. */
export const isObject = (value: unknown): value is JsonObject =>
  typeof value === 'object' && value !== null && !Array.isArray(value);
/** Returns a string, or undefined for any other value. */
export const asString = (value: unknown): string | undefined => (typeof value === 'string' ? value : undefined);
/** Returns a finite number, or undefined for any other value. */
export const asNumber = (value: unknown): number | undefined =>
  typeof value === 'number' && Number.isFinite(value) ? value : undefined;
/** Returns a non-negative safe integer, or undefined for any other value. */
export const asNonNegativeInteger = (value: unknown): number | undefined =>
  typeof value === 'number' && Number.isSafeInteger(value) && value >= 0 ? value : undefined;
/** Returns an array; any other value counts as an empty one. */
export const asArray = (value: unknown): readonly unknown[] => (Array.isArray(value) ? value : []);
