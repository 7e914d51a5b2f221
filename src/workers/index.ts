export * from './worker-tracker.js';
export * from './command-sender.js';
export * from './prober.js';
export * from './reachability.js';
export * from './task-index.js';
export {
  decodeWorkerMessage,
  encodeCommands,
  encodeRedirect,
  encodeReply,
  type ExitReason,
  type ListedTask,
  type Order,
  type TaskState,
  type WorkerMessage,
} from './wire.js';
