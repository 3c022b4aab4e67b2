/** A backend server of a soak in a process of its own, which reports its runs to the process that started it. */
import { SoakServer } from './soakServers.js';
import type { SoakRun } from './types.js';

class ReportingServer extends SoakServer {
  protected override keepRun(run: SoakRun): void {
    process.send?.(run);
  }
}

const [serverId = '', port] = process.argv.slice(2);
const server = new ReportingServer(serverId, 0);
server.isFaultFree = true;
process.on('disconnect', () => {
  process.exit();
});
await server.backend.listen(Number(port));
process.send?.(null);
