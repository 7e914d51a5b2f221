/** A connection that can be closed when it serves nobody. */
export interface Closable {
  end(reason: string): void;
}

/**
 * How many connections a process opens to many others at once. Beyond `most`, the connection that has been
 * idle longest is closed for a new one; when none is idle, there is no room until one is. Without it a
 * controller that takes over its peers' machines runs out of sockets, and takes healthy machines for silent.
 */
export class SocketBudget {
  private open = 0;
  /** Longest idle first. */
  private readonly idle = new Set<Closable>();

  constructor(readonly most: number) {}

  /** May another connection be opened now? */
  get room(): boolean {
    return this.open < this.most || this.idle.size > 0;
  }

  opened(): void {
    this.open += 1;
    if (this.open <= this.most) return;
    const [longest] = this.idle;
    longest?.end('closed for another');
  }

  closed(line: Closable): void {
    this.open -= 1;
    this.idle.delete(line);
  }

  rests(line: Closable): void {
    this.idle.delete(line);
    this.idle.add(line);
  }

  works(line: Closable): void {
    this.idle.delete(line);
  }
}
