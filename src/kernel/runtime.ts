import type { Duplex } from 'node:stream';
import type { SchedulerLike } from 'rxjs';
import type { Clock } from './clock.js';

/** The part of a TCP connection that the program uses, implemented by `net.Socket` and by simulated networks. */
export interface Connection extends Duplex {
  /** Milliseconds of inactivity until 'timeout' is emitted; 0 or undefined disables it. */
  readonly timeout?: number | undefined;
  /** IP address of the remote end, when it is known. */
  readonly remoteAddress?: string | undefined;
  setTimeout(ms: number, callback?: () => void): this;
  setNoDelay(on?: boolean): this;
}

/** Host and port of a TCP endpoint. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** Address, limits and callbacks of a TCP listener. */
export interface ListenOptions extends Endpoint {
  /** Connections beyond this number are closed immediately; undefined sets no limit. */
  readonly maxConnections?: number;
  /** Keeps this side of a connection open after the remote end has closed its own. */
  readonly allowHalfOpen?: boolean;
  readonly accept: (connection: Connection) => void;
  /** Called when the listener fails. */
  readonly failed: (error: Error) => void;
}

/** A TCP listener. */
export interface TcpListener {
  /** Resolves to the port; the system chooses one for port 0. */
  readonly ready: Promise<number>;
  /** Accepts no more connections; open ones stay open. */
  close(): void;
}

/** A timer of a runtime, which can be cancelled. */
export interface Timer {
  readonly cancel: () => void;
}

/**
 * What a process gets from its host: time, timers, random numbers and sockets. The service uses them only through this
 * interface, so that whole controllers run unchanged in simulated time on a simulated network. `systemRuntime` is the
 * implementation for a real host.
 */
export interface Runtime extends Clock {
  /** Calls back once after `ms` milliseconds of monotonic time. */
  after(ms: number, callback: () => void): Timer;
  /** Calls back every `ms` milliseconds until cancelled. */
  every(ms: number, callback: () => void): Timer;
  /** Resolves after `ms` milliseconds. */
  sleep(ms: number): Promise<void>;
  /** Scheduler for rxjs operators that depend on time. */
  readonly scheduler: SchedulerLike;
  /** Returns a uniformly distributed number from 0 (inclusive) to 1 (exclusive). */
  random(): number;
  /** Returns 16 hexadecimal digits that are unique among all processes and all restarts of this one. */
  uniqueId(): string;
  /** Opens a connection. It emits 'connect' or 'error', or neither while the network drops all packets. */
  connect(to: Endpoint): Connection;
  /** Opens a TCP listener. */
  listen(options: ListenOptions): TcpListener;
}
