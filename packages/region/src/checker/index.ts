export * from './rules.js';
