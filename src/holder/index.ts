export * from './holder.js';
