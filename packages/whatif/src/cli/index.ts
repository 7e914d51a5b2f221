export { whatifCommand } from './command.js';
