/** The settings file of a controller. */
export * from './settings.js';
