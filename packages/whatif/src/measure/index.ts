export {
  predict,
  reproduce,
  replaySpeed,
  type PredictReport,
  type ReplaySpeed,
  type ReproduceReport,
} from './measure.js';
