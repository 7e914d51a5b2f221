export { summarizeOutcomes, type OutcomeSummary } from './classes.js';
export { comparableOutcomes, replayErrors, FINISH_TOLERANCE, toleranceS, type ReplayErrors } from './errors.js';
export { forecast, type ReplayEngine, type Forecast, type JobForecast } from './forecast.js';
export { encodeForecastParquet, renderForecastTable, renderForecastPage } from './report.js';
