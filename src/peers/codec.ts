/**
 * Frames by hand: u32 length, u8 version, u8 kind, payload. Every length is checked on reading. In version 2 a payload
 * is exactly its fields. From version 3 on the payload and each item of a list is a record, its length before it: a
 * reader takes the fields that it knows and skips what a later release has put behind them.
 */
export const OLDEST_VERSION = 2;
export const VERSION = 3;
/** Before each frame stands its length. */
export const LENGTH_BYTES = 4;
export const MAX_FRAME = 512 * 1024;
const MAX_TEXT = 200 * 1024;
const MAX_ITEMS = 20_000;

export class FrameError extends Error {}

export class FrameWriter {
  private buffer = Buffer.allocUnsafe(256);
  private at = 4;

  constructor(
    kind: number,
    readonly version: number,
  ) {
    this.u8(version);
    this.u8(kind);
  }

  /** Fields of one record; those that only a later version has are written where `extends` is true. */
  record(write: () => void): this {
    if (!this.extends) {
      write();
      return this;
    }
    this.u32(0);
    const from = this.at;
    write();
    this.buffer.writeUInt32BE(this.at - from, from - 4);
    return this;
  }

  /** May fields stand behind those of version 2? */
  get extends(): boolean {
    return this.version > OLDEST_VERSION;
  }

  private room(bytes: number): void {
    if (this.at + bytes <= this.buffer.length) return;
    const grown = Buffer.allocUnsafe(Math.max(this.buffer.length * 2, this.at + bytes));
    this.buffer.copy(grown, 0, 0, this.at);
    this.buffer = grown;
  }

  u8(value: number): this {
    this.room(1);
    this.at = this.buffer.writeUInt8(value & 0xff, this.at);
    return this;
  }

  u16(value: number): this {
    this.room(2);
    this.at = this.buffer.writeUInt16BE(value & 0xffff, this.at);
    return this;
  }

  u32(value: number): this {
    this.room(4);
    this.at = this.buffer.writeUInt32BE(value >>> 0, this.at);
    return this;
  }

  f64(value: number): this {
    this.room(8);
    this.at = this.buffer.writeDoubleBE(value, this.at);
    return this;
  }

  text(value: string): this {
    const bytes = Buffer.byteLength(value);
    if (bytes > MAX_TEXT) throw new FrameError('text too long for a frame');
    this.u32(bytes);
    this.room(bytes);
    this.at += this.buffer.write(value, this.at, 'utf8');
    return this;
  }

  items<T>(list: readonly T[], write: (item: T) => void): this {
    const kept = list.slice(0, MAX_ITEMS);
    this.u32(kept.length);
    for (const item of kept) this.record(() => write(item));
    return this;
  }

  /** Names alone: nothing will ever stand behind each of them. */
  texts(list: readonly string[]): this {
    const kept = list.slice(0, MAX_ITEMS);
    this.u32(kept.length);
    for (const text of kept) this.text(text);
    return this;
  }

  finish(): Buffer {
    if (this.at - 4 > MAX_FRAME) throw new FrameError('frame too long');
    this.buffer.writeUInt32BE(this.at - 4, 0);
    return this.buffer.subarray(0, this.at);
  }
}

export class FrameReader {
  readonly kind: number;
  readonly version: number;
  private at = 0;
  private limit: number;

  constructor(private readonly frame: Buffer) {
    this.limit = frame.length;
    this.version = this.u8();
    this.kind = this.u8();
  }

  /** Is it of a version whose layout this program knows? */
  get known(): boolean {
    return this.version >= OLDEST_VERSION && this.version <= VERSION;
  }

  /** Reads one record; what stands behind the fields that were read is skipped. */
  record<T>(read: () => T): T {
    if (this.version === OLDEST_VERSION) return read();
    const length = this.u32();
    const outer = this.limit;
    const end = this.at + length;
    if (end > outer) throw new FrameError('record too long for its frame');
    this.limit = end;
    const value = read();
    this.at = end;
    this.limit = outer;
    return value;
  }

  /** Are there fields behind those read so far? Earlier versions end there. */
  get more(): boolean {
    return this.version > OLDEST_VERSION && this.at < this.limit;
  }

  private take(bytes: number): number {
    const from = this.at;
    if (from + bytes > this.limit) throw new FrameError('frame too short');
    this.at = from + bytes;
    return from;
  }

  u8(): number {
    return this.frame.readUInt8(this.take(1));
  }

  u16(): number {
    return this.frame.readUInt16BE(this.take(2));
  }

  u32(): number {
    return this.frame.readUInt32BE(this.take(4));
  }

  f64(): number {
    const value = this.frame.readDoubleBE(this.take(8));
    if (!Number.isFinite(value)) throw new FrameError('a number is not finite');
    return value;
  }

  text(): string {
    const bytes = this.u32();
    if (bytes > MAX_TEXT) throw new FrameError('text too long');
    const from = this.take(bytes);
    return this.frame.toString('utf8', from, from + bytes);
  }

  items<T>(read: () => T): T[] {
    return this.list(() => this.record(read));
  }

  texts(): string[] {
    return this.list(() => this.text());
  }

  private list<T>(read: () => T): T[] {
    const count = this.u32();
    if (count > MAX_ITEMS || count > this.frame.length) throw new FrameError('list too long');
    const list: T[] = [];
    for (let i = 0; i < count; i++) list.push(read());
    return list;
  }

  /** A frame must end where its fields end. */
  end(): void {
    if (this.at !== this.frame.length) throw new FrameError('frame too long for its fields');
  }
}

/** Cuts a byte stream into frames. */
export class FrameSplitter {
  private rest: Buffer = Buffer.alloc(0);

  push(chunk: Buffer): Buffer[] {
    this.rest = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const frames: Buffer[] = [];
    while (this.rest.length >= 4) {
      const length = this.rest.readUInt32BE(0);
      if (length < 2 || length > MAX_FRAME) throw new FrameError(`frame of ${length} bytes`);
      if (this.rest.length < 4 + length) break;
      frames.push(this.rest.subarray(4, 4 + length));
      this.rest = this.rest.subarray(4 + length);
    }
    return frames;
  }
}
