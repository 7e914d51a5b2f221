export { predict, reproduce, replaySpeed, type Predicted, type ReplaySpeed, type Reproduced } from './measure.js';
