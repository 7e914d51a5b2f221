export * from './page.js';
export * from './table.js';
