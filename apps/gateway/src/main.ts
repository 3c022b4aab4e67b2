/** Entry point of the gateway daemon. */

// Without a handler, a SIGHUP that arrives while the modules load would end the
// process. It can be ignored: the settings are read after loading anyway.
process.on('SIGHUP', () => undefined);

const { keepYoungGeneration } = await import('./youngGeneration.js');
keepYoungGeneration();
const { parseDaemonFlags } = await import('@lycheetally/common');
const { runGateway } = await import('./runGateway.js');
await runGateway(parseDaemonFlags(process.argv));
