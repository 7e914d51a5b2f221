/** Client for the cloud's machine rental API. */
export * from './client.js';
export type { MachineType, Rental, RentalPhase, RentRequest } from './wire.js';
