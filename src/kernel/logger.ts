import { destination, pino, type Logger as PinoLogger } from 'pino';

export type Logger = PinoLogger;

const LEVELS = ['error', 'warn', 'info', 'debug', 'silent'];

/** Logs go to standard error, written in the same thread; LOG_LEVEL sets how much. */
export function createLogger(level: string | undefined, name: string): Logger {
  const chosen = level !== undefined && LEVELS.includes(level) ? level : 'info';
  return pino({ level: chosen, base: { node: name } }, destination({ dest: 2, sync: true }));
}
