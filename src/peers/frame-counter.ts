import type { PeerMessage } from './messages.js';

/** Number of frames of one kind and their total size in bytes, length prefixes included. */
export interface FrameCount {
  readonly frames: number;
  readonly bytes: number;
}

/** Counts by kind the frames in one direction between this node and all peers since the process started. */
export class FrameCounter {
  private readonly counts = new Map<PeerMessage['kind'], { frames: number; bytes: number }>();

  /** Counts one frame. */
  record(kind: PeerMessage['kind'], bytes: number): void {
    const count = this.counts.get(kind);
    if (count) {
      count.frames += 1;
      count.bytes += bytes;
    } else this.counts.set(kind, { frames: 1, bytes });
  }

  /** The counts by message kind. */
  get byKind(): Readonly<Record<string, FrameCount>> {
    return Object.fromEntries(this.counts);
  }
}
