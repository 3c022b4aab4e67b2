/**
 * Stand-ins for the platform and the backend servers, process fleets, fault
 * injection and history checks.
 */
export * from './faults/fault.js';
export * from './faults/faultPlan.js';
export * from './faults/tcpRelay.js';
export * from './fleet/callerClient.js';
export * from './fleet/processFleet.js';
export * from './fleet/routerFleet.js';
export * from './platform/platformRecords.js';
export * from './platform/platformStore.js';
export * from './platform/backendServer.js';
export * from './standIns/logService.js';
export * from './standIns/modelEngine.js';
export * from './standIns/modelMath.js';
export * from './standIns/openViewGate.js';
export * from './standIns/plainService.js';
export * from './standIns/standInServer.js';
export * from './standIns/vmList.js';
export * from './history/history.js';
export * from './history/historyChecker.js';
export * from './history/passCheck.js';
export * from './history/recordedLoad.js';
