export { summarizeOutcomes, type OutcomeSummary } from './outcome-summary.js';
export { comparableOutcomes, replayErrors, FINISH_TOLERANCE, toleranceS, type ReplayErrors } from './replay-errors.js';
export { forecast, type ReplayEngine, type Forecast, type JobForecast } from './forecast.js';
export { encodeForecastParquet, renderForecastTable, renderForecastPage } from './report.js';
