/** A connection that the budget may close while it is idle. */
export interface Closable {
  /** Closes the connection; a request on it fails with `reason`. */
  end(reason: string): void;
}

/**
 * Limits the number of connections that a process has open to many machines at once. Beyond `maxOpen`, the connection
 * that has been idle longest is closed for a new one; while none is idle, callers must not open one. Without the limit,
 * a controller that takes over the machines of its peers runs out of sockets and treats healthy machines as
 * unresponsive.
 */
export class SocketBudget {
  private openCount = 0;
  /** Idle connections, longest idle first. */
  private readonly idle = new Set<Closable>();

  constructor(
    /** Maximum number of open connections. */
    readonly maxOpen: number,
  ) {}

  /** True when another connection may be opened now. */
  get hasRoom(): boolean {
    return this.openCount < this.maxOpen || this.idle.size > 0;
  }

  /** Counts a new connection and closes the longest idle one when the budget is exceeded. */
  recordOpened(): void {
    this.openCount += 1;
    if (this.openCount <= this.maxOpen) return;
    const [longestIdle] = this.idle;
    longestIdle?.end('closed to stay within the socket budget');
  }

  /** Removes a closed connection from the count. */
  recordClosed(connection: Closable): void {
    this.openCount -= 1;
    this.idle.delete(connection);
  }

  /** Marks a connection as idle from now on: it may be closed for another. */
  markIdle(connection: Closable): void {
    this.idle.delete(connection);
    this.idle.add(connection);
  }

  /** Marks a connection as in use: it is not closed for another. */
  markBusy(connection: Closable): void {
    this.idle.delete(connection);
  }
}
