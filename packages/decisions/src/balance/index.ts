/** How load is spread over servers and gateways. */
export {
  firstEventShare,
  maxFlights,
  maxReportAgeMs,
  paceShare,
} from './constants.js';
export * from './estimateServerLoad.js';
export * from './chainUse.js';
export * from './flightBoard.js';
export * from './linkUse.js';
export * from './updateRatios.js';
export * from './room.js';
export * from './sampledChain.js';
