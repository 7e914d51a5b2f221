export { quietWhenUnread } from './streams.js';
