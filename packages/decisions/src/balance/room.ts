/**
 * Room for further calls at a backend server, as somebody told it at some time.
 *
 * Several gateways tell of the same server, each what it knows. A decision weighs what it is
 * told by its age; nothing that a rule depends on rests on it alone.
 */
import type { Milliseconds } from '@lycheetally/common';

export interface Room {
  readonly service: string;
  readonly serverId: string;
  /** Calls that the server can begin beside those that run, as their first server. */
  readonly places: number;
  /** Free KV cache, in tokens times layers; absent for a plain service. */
  readonly layerTokens: number | undefined;
  /** Id of the gateway that told it, or of the server itself. */
  readonly toldBy: string;
  /** As of when it holds, on the clock of the process that decides. */
  readonly asOf: Milliseconds;
}
