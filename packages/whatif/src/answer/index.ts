export { fared, type Fared } from './classes.js';
export { comparableOutcomes, replayErrors, FINISH_TOLERANCE, toleranceS, type ReplayErrors } from './errors.js';
export { forecast, type Engine, type Forecast, type JobForecast } from './forecast.js';
export { forecastColumns, forecastTable, forecastPage } from './report.js';
