/** Frames by hand: u32 length, u8 version, u8 kind, payload. Every length is checked on reading. */
export const VERSION = 2;
export const MAX_FRAME = 512 * 1024;
const MAX_TEXT = 200 * 1024;
const MAX_ITEMS = 20_000;

export class FrameError extends Error {}

export class FrameWriter {
  private buffer = Buffer.allocUnsafe(256);
  private at = 4;

  constructor(kind: number) {
    this.u8(VERSION);
    this.u8(kind);
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
    kept.forEach(write);
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
  private at = 0;

  constructor(private readonly frame: Buffer) {
    const version = this.u8();
    if (version !== VERSION) throw new FrameError(`unknown frame version ${version}`);
    this.kind = this.u8();
  }

  private take(bytes: number): number {
    const from = this.at;
    if (from + bytes > this.frame.length) throw new FrameError('frame too short');
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
