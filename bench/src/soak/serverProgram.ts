/** A backend server of a soak in a process of its own, which reports its runs to the process that started it. */
import { BreakingServer } from './breakingServer.js';
import { SoakServer } from './soakServers.js';
import { ServerKind, type SoakRun } from './types.js';

const reportRun = (run: SoakRun): void => {
  process.send?.(run);
};

class ReportingServer extends SoakServer {
  protected override readonly keepRun = reportRun;
}

class ReportingBreakingServer extends BreakingServer {
  protected override readonly keepRun = reportRun;
}

const [serverId = '', port, kind, seed] = process.argv.slice(2);
const server =
  kind === ServerKind.Breaking
    ? new ReportingBreakingServer(serverId, Number(seed))
    : new ReportingServer(serverId, 0);
server.isFaultFree = kind === ServerKind.Sound;
// Any message ends the faults.
process.on('message', () => {
  server.isFaultFree = true;
});
process.on('disconnect', () => {
  process.exit();
});
await server.backend.listen(Number(port));
process.send?.(null);
