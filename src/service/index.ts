export * from './service.js';
export { createApp, fastPathRoutes, listen, type RequestHandlers } from './http.js';
export { HealthCheck, type HealthInputs } from './health-check.js';
export { handlePeerMessage, type PeerMessageDeps } from './peer-messages.js';
export { UserRequestHandler, type UserRequest } from './user-requests.js';
export { ShardOwnership, type OwnershipDeps } from './shard-ownership.js';
export { ShardRouter, type ShardRouterDeps } from './shard-router.js';
