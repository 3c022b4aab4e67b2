/** A gateway as a library: byte-true calls in front of engines that pass activations themselves. */
export * from './backendPort.js';
export * from './callFormat.js';
export * from './callerPort.js';
export * from './constants.js';
export * from './eventStream.js';
export * from './gatewayNode.js';
export * from './gatewaySettings.js';
export * from './ports.js';
