/** What backend servers say that they take, and what a gateway sends them. */
export * from './intakePolicy.js';
export * from './limitShare.js';
