import type { Duplex } from 'node:stream';
import type { SchedulerLike } from 'rxjs';
import type { Clock } from './clock.js';

/** What is used of a TCP connection. `net.Socket` is one; a simulated network has its own. */
export interface Connection extends Duplex {
  /** Milliseconds of silence until 'timeout'; 0 or undefined: none. */
  readonly timeout?: number | undefined;
  /** The other side's IP number, where it is known. */
  readonly remoteAddress?: string | undefined;
  setTimeout(ms: number, callback?: () => void): this;
  setNoDelay(on?: boolean): this;
}

export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

export interface ListenOptions extends Endpoint {
  /** Connections beyond this are closed at once; undefined: no bound. */
  readonly maxConnections?: number;
  /** The other side's end leaves this side open until it ends itself. */
  readonly allowHalfOpen?: boolean;
  readonly accept: (connection: Connection) => void;
  readonly failed: (error: Error) => void;
}

export interface Listening {
  /** The port that it listens on, which the system chooses for port 0. */
  readonly ready: Promise<number>;
  /** Takes no more connections; open ones stay. */
  close(): void;
}

/** A timer that can be called off; of which kind it is only its runtime knows. */
export interface Timer {
  readonly cancel: () => void;
}

/**
 * Everything that a process gets from the machine it runs on: time, timers, luck and sockets. The
 * service reaches for none of them past this, so that whole controllers run unchanged in simulated
 * time on a simulated network. `systemRuntime` is the machine's own.
 */
export interface Runtime extends Clock {
  /** Calls once after so many milliseconds of steady time. */
  after(ms: number, work: () => void): Timer;
  /** Calls again and again until cancelled. */
  every(ms: number, work: () => void): Timer;
  sleep(ms: number): Promise<void>;
  /** For rxjs operators that take time. */
  readonly scheduler: SchedulerLike;
  /** Evenly between 0 and 1, 1 excluded. */
  random(): number;
  /** A text that no other process and no other life of this one has: 16 hexadecimal digits. */
  uniqueId(): string;
  /** Opens a connection; 'connect' or 'error' follows, or nothing for as long as the network is silent. */
  connect(to: Endpoint): Connection;
  listen(options: ListenOptions): Listening;
}
