/** A fixed-size set of task numbers, stored as base64. */
export class Bits {
  private readonly bytes: Uint8Array;
  private set = 0;

  constructor(readonly size: number) {
    this.bytes = new Uint8Array((size + 7) >> 3);
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

  encode(): string {
    return this.set === 0 ? '' : Buffer.from(this.bytes).toString('base64');
  }

  static decode(size: number, text: string): Bits {
    const bits = new Bits(size);
    const raw = Buffer.from(text, 'base64');
    for (let index = 0; index < size; index++) {
      if (((raw[index >> 3] ?? 0) & (1 << (index & 7))) !== 0) bits.add(index);
    }
    return bits;
  }
}
