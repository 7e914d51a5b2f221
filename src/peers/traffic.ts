import type { PeerMessage } from './messages.js';

/** Frames of one kind, and the bytes that they took, headers included. */
export interface FrameCount {
  readonly frames: number;
  readonly bytes: number;
}

/** Counts the frames that went one way over the links to all peers, by kind, since this process began. */
export class FrameCounter {
  private readonly counts = new Map<PeerMessage['kind'], { frames: number; bytes: number }>();

  note(kind: PeerMessage['kind'], bytes: number): void {
    const count = this.counts.get(kind);
    if (count) {
      count.frames += 1;
      count.bytes += bytes;
    } else this.counts.set(kind, { frames: 1, bytes });
  }

  get byKind(): Readonly<Record<string, FrameCount>> {
    return Object.fromEntries(this.counts);
  }
}
