/**
 * Parsers for the heads of HTTP/1.1 messages. A request is plain when its body is delimited by a single content-length
 * header or is absent; every other request is left to Node's http module.
 */

/** Request line, body position and body length of a plain HTTP/1.1 request. */
export interface RequestHead {
  readonly method: string;
  readonly path: string;
  /** Offset of the body in the input, in bytes. */
  readonly bodyOffset: number;
  /** Length of the body in bytes. */
  readonly length: number;
  /** The client asks for the connection to be closed after the response. */
  readonly close: boolean;
}

const REQUEST_LINE = /^(GET|POST|DELETE) (\/[!-~]*) HTTP\/1\.1\r\n/;
const CONTENT_LENGTH = /\r\ncontent-length:[ \t]*(\d{1,9})[ \t]*(?=\r\n)/gi;
/** Matches headers that a content-length alone cannot frame, folded header lines and NUL bytes. */
const UNSUPPORTED_FRAMING =
  /\r\n(?:transfer-encoding|expect|upgrade|trailer|connection:(?![ \t]*(?:keep-alive|close)[ \t]*\r\n))|\r\n[ \t]|\0/i;
const CONNECTION_CLOSE = /\r\nconnection:[ \t]*close/i;

/** Returns the offset of the blank line that ends the head, or -1. */
export const findHeadEnd = (input: Buffer): number => input.indexOf('\r\n\r\n', 0, 'latin1');

/** Returns the content length of a head in bytes: 0 without the header, -1 when the message is not plain. */
export function parseContentLength(head: string): number {
  if (UNSUPPORTED_FRAMING.test(head)) return -1;
  CONTENT_LENGTH.lastIndex = 0;
  const match = CONTENT_LENGTH.exec(head);
  // Duplicate or non-numeric lengths are left to the http module, which rejects them.
  if (!match) return /\r\ncontent-length/i.test(head) ? -1 : 0;
  return CONTENT_LENGTH.test(head) ? -1 : Number(match[1]);
}

/** Parses the request head that ends at `end`; returns null when the request is not plain. */
export function parseRequestHead(input: Buffer, end: number): RequestHead | null {
  const text = input.toString('latin1', 0, end + 2);
  const line = REQUEST_LINE.exec(text);
  const length = line ? parseContentLength(text) : -1;
  if (!line || length < 0) return null;
  return {
    method: line[1] ?? '',
    path: line[2] ?? '',
    bodyOffset: end + 4,
    length,
    close: CONNECTION_CLOSE.test(text),
  };
}

/** Status, framing and retry information of an HTTP/1.x response. */
export interface ResponseHead {
  readonly status: number;
  /** Offset of the body in the input, in bytes. */
  readonly bodyOffset: number;
  /** Length of the body in bytes; null when it is chunked or ends with the connection. */
  readonly length: number | null;
  readonly chunked: boolean;
  /** The connection cannot be reused after this response. */
  readonly close: boolean;
  /** Value of the retry-after header of a 429 or 503 response, in seconds; null when absent. */
  readonly retryAfterS: number | null;
}

const STATUS_LINE = /^HTTP\/1\.[01] (\d{3})[^\r\n]*\r\n/;
const RETRY_AFTER = /\r\nretry-after:[ \t]*(\d{1,6})[ \t]*\r\n/i;
const CHUNKED = /\r\ntransfer-encoding:[ \t]*chunked[ \t]*\r\n/i;

/** Parses the response head that ends at `end`; returns null when it is not an HTTP/1.x response. */
export function parseResponseHead(input: Buffer, end: number): ResponseHead | null {
  const text = input.toString('latin1', 0, end + 2);
  const line = STATUS_LINE.exec(text);
  if (!line) return null;
  const status = Number(line[1]);
  const chunked = CHUNKED.test(text);
  CONTENT_LENGTH.lastIndex = 0;
  const match = chunked ? null : CONTENT_LENGTH.exec(text);
  const length = match ? Number(match[1]) : status === 204 || status === 304 ? 0 : null;
  const close = CONNECTION_CLOSE.test(text) || text.startsWith('HTTP/1.0') || (length === null && !chunked);
  const retryAfter = status === 429 || status === 503 ? RETRY_AFTER.exec(text)?.[1] : undefined;
  const retryAfterS = retryAfter === undefined ? null : Number(retryAfter);
  return { status, bodyOffset: end + 4, length, chunked, close, retryAfterS };
}

/**
 * Decodes a chunked body and returns it with the number of input bytes that it occupies. Returns 'more' while the body is
 * incomplete and 'malformed' when it is invalid.
 */
export function decodeChunkedBody(
  input: Buffer,
): { readonly body: Buffer; readonly used: number } | 'more' | 'malformed' {
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
      // Trailers are not supported: a body with trailers is malformed.
      return input.toString('latin1', begin, begin + 2) === '\r\n'
        ? { body: Buffer.concat(parts), used: begin + 2 }
        : 'malformed';
    }
    parts.push(input.subarray(begin, begin + length));
    at = begin + length + 2;
  }
}
