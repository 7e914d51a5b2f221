/** The first lines of a plain HTTP/1.1 request, its body's place and length. */
export interface RequestHead {
  readonly method: string;
  readonly path: string;
  readonly bodyAt: number;
  readonly length: number;
  /** The client wants the connection closed after the answer. */
  readonly close: boolean;
}

const REQUEST = /^(GET|POST|DELETE) (\/[!-~]*) HTTP\/1\.1\r\n/;
const LENGTH = /\r\ncontent-length:[ \t]*(\d{1,9})[ \t]*(?=\r\n)/gi;
/** With one of these a message needs more than a length to be read; a folded or odd line as well. */
const NOT_PLAIN =
  /\r\n(?:transfer-encoding|expect|upgrade|trailer|connection:(?![ \t]*(?:keep-alive|close)[ \t]*\r\n))|\r\n[ \t]|\0/i;
const CLOSE = /\r\nconnection:[ \t]*close/i;

/** Where the blank line behind the head begins, or -1. */
export const headEnd = (input: Buffer): number => input.indexOf('\r\n\r\n', 0, 'latin1');

/** The only length that a head names: 0 without one, -1 when it isn't plain. */
export function plainLength(head: string): number {
  if (NOT_PLAIN.test(head)) return -1;
  LENGTH.lastIndex = 0;
  const found = LENGTH.exec(head);
  // Two lengths, or one that is no number, are the http module's to refuse.
  if (!found) return /\r\ncontent-length/i.test(head) ? -1 : 0;
  return LENGTH.test(head) ? -1 : Number(found[1]);
}

/** Reads a request's head that ends at `end`; null when it isn't plain. */
export function readHead(input: Buffer, end: number): RequestHead | null {
  const text = input.toString('latin1', 0, end + 2);
  const line = REQUEST.exec(text);
  const length = line ? plainLength(text) : -1;
  if (!line || length < 0) return null;
  return { method: line[1] ?? '', path: line[2] ?? '', bodyAt: end + 4, length, close: CLOSE.test(text) };
}

export interface ResponseHead {
  readonly status: number;
  readonly bodyAt: number;
  /** null: the body comes in chunks, or lasts until the connection ends. */
  readonly length: number | null;
  readonly chunked: boolean;
  readonly close: boolean;
  /** When to come back, in seconds, where a refusal says so. */
  readonly retryAfterS: number | null;
}

const RESPONSE = /^HTTP\/1\.[01] (\d{3})[^\r\n]*\r\n/;
const RETRY_AFTER = /\r\nretry-after:[ \t]*(\d{1,6})[ \t]*\r\n/i;
const CHUNKED = /\r\ntransfer-encoding:[ \t]*chunked[ \t]*\r\n/i;

/** Reads a response's head that ends at `end`; null when it is none. */
export function readResponseHead(input: Buffer, end: number): ResponseHead | null {
  const text = input.toString('latin1', 0, end + 2);
  const line = RESPONSE.exec(text);
  if (!line) return null;
  const status = Number(line[1]);
  const chunked = CHUNKED.test(text);
  LENGTH.lastIndex = 0;
  const found = chunked ? null : LENGTH.exec(text);
  const length = found ? Number(found[1]) : status === 204 || status === 304 ? 0 : null;
  const close = CLOSE.test(text) || text.startsWith('HTTP/1.0') || (length === null && !chunked);
  const again = status === 429 || status === 503 ? RETRY_AFTER.exec(text)?.[1] : undefined;
  const retryAfterS = again === undefined ? null : Number(again);
  return { status, bodyAt: end + 4, length, chunked, close, retryAfterS };
}

/** Joins a body that came in chunks; null while it isn't whole, or when it is malformed. */
export function joinChunks(input: Buffer): { readonly body: Buffer; readonly used: number } | 'more' | 'malformed' {
  const parts: Buffer[] = [];
  let at = 0;
  for (;;) {
    const lineEnd = input.indexOf('\r\n', at, 'latin1');
    if (lineEnd < 0) return input.length - at > 100 ? 'malformed' : 'more';
    const size = /^([0-9a-f]{1,7})(?:[ \t]*;.*)?$/i.exec(input.toString('latin1', at, lineEnd))?.[1];
    if (size === undefined) return 'malformed';
    const length = Number.parseInt(size, 16);
    const begin = lineEnd + 2;
    if (input.length < begin + length + 2) return 'more';
    if (length === 0) {
      // No trailers are expected; whoever sends some isn't understood.
      return input.toString('latin1', begin, begin + 2) === '\r\n'
        ? { body: Buffer.concat(parts), used: begin + 2 }
        : 'malformed';
    }
    parts.push(input.subarray(begin, begin + length));
    at = begin + length + 2;
  }
}
