export { svg } from './svg.js';
export * from './page.js';
export * from './table.js';
