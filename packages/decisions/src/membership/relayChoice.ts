/**
 * Chooses the gateway that reads the platform's store for others of its failure domain.
 *
 * Load pattern: every gateway needs the same news, and each call of the store costs.
 * Rendezvous hashing gives the same order everywhere without any agreement. When
 * views differ, two gateways read the store instead of one, which is harmless.
 */
import { sortByRendezvous } from '@lycheetally/common';

/** What a gateway knows of the gateways of its failure domain. */
export interface RelayView {
  readonly ownId: string;
  readonly failureDomain: string;
  /** Ids of the gateways of the domain, with or without the own one. */
  readonly gateways: readonly string[];
  /** Gateways that recently failed to pass news on. */
  readonly suspected: ReadonlySet<string>;
}

/** Strategy that chooses where a gateway reads news. */
export abstract class RelayPolicy {
  /** Returns the id of the gateway to ask, or `undefined` to read the store. */
  abstract chooseRelay(view: RelayView): string | undefined;
}

/** Candidates for a relay; with more, news would be late while many of them have failed. */
const maxCandidates = 3;

/** Asks the first gateway in rendezvous order that is not suspected; reads the store if it is the own one. */
export class RendezvousRelay extends RelayPolicy {
  override chooseRelay(view: RelayView): string | undefined {
    const { ownId, failureDomain, gateways, suspected } = view;
    const order = sortByRendezvous(failureDomain, [
      ...new Set([...gateways, ownId]),
    ]);
    const relay = order
      .slice(0, maxCandidates)
      .find(id => id === ownId || !suspected.has(id));
    return relay === ownId ? undefined : relay;
  }
}
