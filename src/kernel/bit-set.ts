/** A fixed-size set of task indexes, kept as a bitmap and stored as base64. */
export class BitSet {
  private constructor(
    /** Exclusive upper bound of the indexes. */
    readonly size: number,
    private readonly bytes: Uint8Array,
    private memberCount: number,
  ) {}

  static empty(size: number): BitSet {
    return new BitSet(size, new Uint8Array((size + 7) >> 3), 0);
  }

  /** Number of indexes in the set. */
  get count(): number {
    return this.memberCount;
  }

  has(index: number): boolean {
    return ((this.bytes[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
  }

  /** Adds an index. Returns false when it is already in the set or out of range. */
  add(index: number): boolean {
    if (index < 0 || index >= this.size || this.has(index)) return false;
    this.bytes[index >> 3] = (this.bytes[index >> 3] ?? 0) | (1 << (index & 7));
    this.memberCount += 1;
    return true;
  }

  /** Yields the indexes in the set in ascending order. */
  *members(): Generator<number> {
    for (const [offset, byte] of this.bytes.entries()) {
      for (let bit = 0; byte >> bit !== 0; bit++) if (((byte >> bit) & 1) !== 0) yield offset * 8 + bit;
    }
  }

  /** Returns a new set with the indexes of both sets, which must have the same size. */
  union(other: BitSet): BitSet {
    const result = this.copy();
    for (const index of other.members()) result.add(index);
    return result;
  }

  copy(): BitSet {
    return new BitSet(this.size, this.bytes.slice(), this.memberCount);
  }

  /** Encodes the set as base64; the empty set is the empty string. */
  encode(): string {
    return this.memberCount === 0 ? '' : Buffer.from(this.bytes).toString('base64');
  }

  /**
   * Decodes a set written by `encode`. Works on whole bytes, because jobs have up to 100,000 tasks and records are
   * read often.
   */
  static decode(size: number, text: string): BitSet {
    const bytes = new Uint8Array((size + 7) >> 3);
    bytes.set(Buffer.from(text, 'base64').subarray(0, bytes.length));
    // Clears the bits beyond the size.
    const last = bytes.length - 1;
    if ((size & 7) !== 0) bytes[last] = (bytes[last] ?? 0) & ((1 << (size & 7)) - 1);
    let memberCount = 0;
    for (const byte of bytes) {
      let remaining = byte;
      for (; remaining !== 0; remaining &= remaining - 1) memberCount += 1;
    }
    return new BitSet(size, bytes, memberCount);
  }
}
