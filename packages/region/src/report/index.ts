/** Reports of played days: text tables and HTML pages with charts. */
export { renderSvg } from './svg.js';
export * from './page.js';
export * from './table.js';
