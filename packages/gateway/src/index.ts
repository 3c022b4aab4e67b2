/** Gateway library: forwards calls unchanged to backend servers, which pass activations among themselves. */
/** For the HTTP clients of a platform. */
export { readBody, readHead, scheduleAfterPoll } from '@lycheetally/node';
export * from './backendPort.js';
export * from './callFormat.js';
export * from './callers/callerPort.js';
export * from './constants.js';
export * from './eraWatch.js';
export * from './attempt/eventStream.js';
export * from './gatewayNode.js';
export * from './gatewaySettings.js';
export { HttpBackend } from './httpBackend.js';
export * from './suspects/callIdentity.js';
export * from './suspects/callTrait.js';
export * from './suspects/crashSuspectTracker.js';
export { bindSuspectChart } from './suspects/suspect.js';
export * from './suspects/suspectTracker.js';
export * from './ports.js';
export * from './safeReuseAgent.js';
export { TableFollower, bindFollowerChart } from './tableFollower.js';
