/** A fixed-size set of task numbers, stored as base64. */
export class Bits {
  private constructor(
    readonly size: number,
    private readonly bytes: Uint8Array,
    private set: number,
  ) {}

  static empty(size: number): Bits {
    return new Bits(size, new Uint8Array((size + 7) >> 3), 0);
  }

  get count(): number {
    return this.set;
  }

  has(index: number): boolean {
    return ((this.bytes[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
  }

  /** Adds a number; true when it was new. */
  add(index: number): boolean {
    if (index < 0 || index >= this.size || this.has(index)) return false;
    this.bytes[index >> 3] = (this.bytes[index >> 3] ?? 0) | (1 << (index & 7));
    this.set += 1;
    return true;
  }

  /** Its numbers, in order. */
  *members(): Generator<number> {
    for (const [at, byte] of this.bytes.entries()) {
      for (let bit = 0; byte >> bit !== 0; bit++) if (((byte >> bit) & 1) !== 0) yield at * 8 + bit;
    }
  }

  /** All numbers of either; of the same size. */
  union(other: Bits): Bits {
    const both = this.copy();
    for (const index of other.members()) both.add(index);
    return both;
  }

  copy(): Bits {
    return new Bits(this.size, this.bytes.slice(), this.set);
  }

  encode(): string {
    return this.set === 0 ? '' : Buffer.from(this.bytes).toString('base64');
  }

  /** Byte by byte: jobs have up to 100,000 tasks, and records are read often. */
  static decode(size: number, text: string): Bits {
    const bytes = new Uint8Array((size + 7) >> 3);
    bytes.set(Buffer.from(text, 'base64').subarray(0, bytes.length));
    // Numbers beyond the size are none.
    const last = bytes.length - 1;
    if ((size & 7) !== 0) bytes[last] = (bytes[last] ?? 0) & ((1 << (size & 7)) - 1);
    let set = 0;
    for (const byte of bytes) {
      let rest = byte;
      for (; rest !== 0; rest &= rest - 1) set += 1;
    }
    return new Bits(size, bytes, set);
  }
}
