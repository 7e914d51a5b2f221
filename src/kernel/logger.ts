import { destination, pino, type Logger as PinoLogger } from 'pino';

/** The structured logger that all modules use. */
export type Logger = PinoLogger;

const LEVELS = ['error', 'warn', 'info', 'debug', 'silent'];

/**
 * Creates a logger that writes to standard error, synchronously in the calling thread. An unknown level (LOG_LEVEL)
 * counts as 'info'.
 */
export function createLogger(level: string | undefined, name: string): Logger {
  const chosen = level !== undefined && LEVELS.includes(level) ? level : 'info';
  return pino({ level: chosen, base: { node: name } }, destination({ dest: 2, sync: true }));
}
