/** Starts servers; a failure to listen becomes a typed error. */
import type { Server } from 'node:net';
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  formatAddress,
  toMessage,
  type Address,
  type Result,
} from '@lycheetally/common';

/** Starts listening; returns the address with the assigned port. Fails with `BadAddress`. */
export const startListening = async (
  server: Server,
  address: Address,
): Promise<Result<Address>> => {
  try {
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(address.port, address.host, () => {
        server.off('error', reject);
        resolve();
      });
    });
  } catch (thrown) {
    return Err(
      new TypedError(
        ErrorKind.BadAddress,
        `cannot listen on ${formatAddress(address)} (${toMessage(thrown)})`,
        'choose a free port of this VM in the settings',
      ),
    );
  }
  const bound = server.address();
  const port = typeof bound === 'object' && bound ? bound.port : address.port;
  return Ok({ host: address.host, port });
};
