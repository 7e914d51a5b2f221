/** Jobs: their model, stored forms, admission check and the registry that serves users' requests. */
export * from './admission.js';
export * from './model.js';
export * from './grouped-progress.js';
export * from './registry.js';
export { encodeJobView, parseJobId, parseSubmission } from './wire.js';
