/** Finds ports for the processes of benches and soaks. */
import { createServer } from 'node:net';

/**
 * Ports below the range for outgoing connections, so that none of these takes
 * the port of a gateway that restarts.
 */
const firstPort = 12_000;
const portCount = 18_000;
const portsPerProcess = 40;

let nextPort = firstPort + ((process.pid * portsPerProcess) % portCount);

/** Finds a port that nothing listens on. */
export const findFreePort = async (): Promise<number> => {
  for (;;) {
    const port = nextPort;
    nextPort = firstPort + ((port + 1 - firstPort) % portCount);
    if (await isFree(port)) {
      return port;
    }
  }
};

const isFree = (port: number): Promise<boolean> =>
  new Promise(resolve => {
    const probe = createServer();
    probe.on('error', () => {
      resolve(false);
    });
    probe.listen(port, '127.0.0.1', () => {
      probe.close(() => {
        resolve(true);
      });
    });
  });
