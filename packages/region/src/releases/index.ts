export * from './releases.js';
