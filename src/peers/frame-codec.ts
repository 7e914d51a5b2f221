/**
 * Binary format of the frames between controllers: u32 length, u8 version, u8 kind, payload. Every length is checked when
 * a frame is read. In version 2 a payload consists of exactly its fields. From version 3 on, the payload and each item of
 * a list are records with a length prefix: a reader takes the fields that it knows and skips those that a later release
 * has appended.
 */

/** The oldest frame version that this program reads and writes. */
export const OLDEST_FRAME_VERSION = 2;
/** The current frame version, the latest one that this program reads and writes. */
export const FRAME_VERSION = 3;
/** Size of the length prefix of a frame. */
export const LENGTH_PREFIX_BYTES = 4;
/** Maximum length of a frame without its length prefix. */
export const MAX_FRAME_BYTES = 512 * 1024;
const MAX_TEXT_BYTES = 200 * 1024;
const MAX_LIST_ITEMS = 20_000;

/** A frame that is malformed or exceeds a limit. */
export class FrameError extends Error {}

/** Writes the fields of one frame into a growing buffer. */
export class FrameWriter {
  private buffer = Buffer.allocUnsafe(256);
  private offset = 4;

  constructor(
    kind: number,
    readonly version: number,
  ) {
    this.u8(version);
    this.u8(kind);
  }

  /** Writes one record. Fields that only later versions have are written when `supportsExtensions` is true. */
  record(write: () => void): this {
    if (!this.supportsExtensions) {
      write();
      return this;
    }
    this.u32(0);
    const from = this.offset;
    write();
    this.buffer.writeUInt32BE(this.offset - from, from - 4);
    return this;
  }

  /** True when fields may follow those of version 2. */
  get supportsExtensions(): boolean {
    return this.version > OLDEST_FRAME_VERSION;
  }

  /** Grows the buffer so that `bytes` more bytes fit. */
  private ensureCapacity(bytes: number): void {
    if (this.offset + bytes <= this.buffer.length) return;
    const grown = Buffer.allocUnsafe(Math.max(this.buffer.length * 2, this.offset + bytes));
    this.buffer.copy(grown, 0, 0, this.offset);
    this.buffer = grown;
  }

  u8(value: number): this {
    this.ensureCapacity(1);
    this.offset = this.buffer.writeUInt8(value & 0xff, this.offset);
    return this;
  }

  u16(value: number): this {
    this.ensureCapacity(2);
    this.offset = this.buffer.writeUInt16BE(value & 0xffff, this.offset);
    return this;
  }

  u32(value: number): this {
    this.ensureCapacity(4);
    this.offset = this.buffer.writeUInt32BE(value >>> 0, this.offset);
    return this;
  }

  f64(value: number): this {
    this.ensureCapacity(8);
    this.offset = this.buffer.writeDoubleBE(value, this.offset);
    return this;
  }

  /** Writes a UTF-8 string with a u32 length prefix. */
  text(value: string): this {
    const bytes = Buffer.byteLength(value);
    if (bytes > MAX_TEXT_BYTES) throw new FrameError('text exceeds the maximum length in a frame');
    this.u32(bytes);
    this.ensureCapacity(bytes);
    this.offset += this.buffer.write(value, this.offset, 'utf8');
    return this;
  }

  /** Writes a list of records; items beyond `MAX_LIST_ITEMS` are dropped. */
  items<T>(list: readonly T[], write: (item: T) => void): this {
    const written = list.slice(0, MAX_LIST_ITEMS);
    this.u32(written.length);
    for (const item of written) this.record(() => write(item));
    return this;
  }

  /** Writes a list of strings. They are not records, so no field can be appended to an item in a later release. */
  texts(list: readonly string[]): this {
    const written = list.slice(0, MAX_LIST_ITEMS);
    this.u32(written.length);
    for (const text of written) this.text(text);
    return this;
  }

  /** Writes the length prefix and returns the frame. */
  finish(): Buffer {
    if (this.offset - 4 > MAX_FRAME_BYTES) throw new FrameError('frame exceeds the maximum length');
    this.buffer.writeUInt32BE(this.offset - 4, 0);
    return this.buffer.subarray(0, this.offset);
  }
}

/** Reads the fields of one frame, given without its length prefix. */
export class FrameReader {
  readonly kind: number;
  readonly version: number;
  private offset = 0;
  /** End of the innermost record that is being read. */
  private limit: number;

  constructor(private readonly frame: Buffer) {
    this.limit = frame.length;
    this.version = this.u8();
    this.kind = this.u8();
  }

  /** True when this program knows the layout of the frame's version. */
  get isKnownVersion(): boolean {
    return this.version >= OLDEST_FRAME_VERSION && this.version <= FRAME_VERSION;
  }

  /** Reads one record and skips the fields after those that `read` takes. */
  record<T>(read: () => T): T {
    if (this.version === OLDEST_FRAME_VERSION) return read();
    const length = this.u32();
    const outer = this.limit;
    const end = this.offset + length;
    if (end > outer) throw new FrameError('record extends beyond its frame');
    this.limit = end;
    const value = read();
    this.offset = end;
    this.limit = outer;
    return value;
  }

  /** True when the record has fields after those read so far; records of earlier versions have none. */
  get hasMoreFields(): boolean {
    return this.version > OLDEST_FRAME_VERSION && this.offset < this.limit;
  }

  /** Moves past `bytes` bytes and returns their offset. */
  private advance(bytes: number): number {
    const from = this.offset;
    if (from + bytes > this.limit) throw new FrameError('frame or record ends within a field');
    this.offset = from + bytes;
    return from;
  }

  u8(): number {
    return this.frame.readUInt8(this.advance(1));
  }

  u16(): number {
    return this.frame.readUInt16BE(this.advance(2));
  }

  u32(): number {
    return this.frame.readUInt32BE(this.advance(4));
  }

  f64(): number {
    const value = this.frame.readDoubleBE(this.advance(8));
    if (!Number.isFinite(value)) throw new FrameError('number in a frame is not finite');
    return value;
  }

  /** Reads a UTF-8 string with a u32 length prefix. */
  text(): string {
    const bytes = this.u32();
    if (bytes > MAX_TEXT_BYTES) throw new FrameError('text exceeds the maximum length');
    const from = this.advance(bytes);
    return this.frame.toString('utf8', from, from + bytes);
  }

  /** Reads a list of records. */
  items<T>(read: () => T): T[] {
    return this.list(() => this.record(read));
  }

  /** Reads a list of strings. */
  texts(): string[] {
    return this.list(() => this.text());
  }

  private list<T>(read: () => T): T[] {
    const count = this.u32();
    if (count > MAX_LIST_ITEMS || count > this.frame.length)
      throw new FrameError('list exceeds the maximum number of items');
    const list: T[] = [];
    for (let i = 0; i < count; i++) list.push(read());
    return list;
  }

  /** Checks that the frame ends where its fields end. */
  end(): void {
    if (this.offset !== this.frame.length) throw new FrameError('frame continues after its last field');
  }
}

/** Splits a byte stream into frames. */
export class FrameSplitter {
  /** Input after the last complete frame. */
  private buffered: Buffer = Buffer.alloc(0);

  /** Adds a chunk and returns the frames that it completes, without length prefixes; throws a FrameError. */
  push(chunk: Buffer): Buffer[] {
    this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    const frames: Buffer[] = [];
    while (this.buffered.length >= 4) {
      const length = this.buffered.readUInt32BE(0);
      if (length < 2 || length > MAX_FRAME_BYTES) throw new FrameError(`invalid frame length of ${length} bytes`);
      if (this.buffered.length < 4 + length) break;
      frames.push(this.buffered.subarray(4, 4 + length));
      this.buffered = this.buffered.subarray(4 + length);
    }
    return frames;
  }
}
