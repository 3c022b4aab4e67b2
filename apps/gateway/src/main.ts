/** The daemon of a gateway. */

// A signal that comes before the modules are loaded would end the process; the
// settings that it tells of are read later anyhow.
process.on('SIGHUP', () => undefined);

const { parseDaemonFlags } = await import('@lycheetally/common');
const { runGateway } = await import('./runGateway.js');
await runGateway(parseDaemonFlags(process.argv));
