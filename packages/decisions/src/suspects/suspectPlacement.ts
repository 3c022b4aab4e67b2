/**
 * Chooses the server that runs a suspected call.
 *
 * All gateways choose the same one, so that calls that arrive at several of
 * them at once crash one server. The last living server gets none for a while:
 * the crashed ones are soon back, and other calls need it.
 */
import { sortByRendezvous, type Milliseconds } from '@lycheetally/common';

export interface SuspectChoice {
  readonly suspectId: string;
  /** Servers that may take the call now. */
  readonly servers: readonly string[];
  /** Servers of the service that live now. */
  readonly living: number;
  /** Servers that the service has in all. */
  readonly total: number;
  /** Time since the last crash of the suspect. */
  readonly sinceCrashMs: Milliseconds;
}

/** Time for which crashed servers are expected back; then the last one takes suspected calls too. */
export const maxRestartMs = 10_000;

/** Servers of a service that may have crashed with one call before all gateways know of the verdict. */
const maxUnknownCrashes = 3;

/** Whether one of the servers that seem to live may be the only one, to a gateway that does not know of crashes yet. */
export const mayBeLastServer = (usable: number, total: number): boolean =>
  total > 1 && usable <= maxUnknownCrashes + 1;

/** Returns the server for a suspected call; `undefined` if none is to take it now. */
export const chooseSuspectServer = ({
  suspectId,
  servers,
  living,
  total,
  sinceCrashMs,
}: SuspectChoice): string | undefined => {
  const isLast = living <= 1 && total > 1;
  return isLast && sinceCrashMs < maxRestartMs
    ? undefined
    : sortByRendezvous(suspectId, servers)[0];
};
