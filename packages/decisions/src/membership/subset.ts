/** Chooses the backend servers that an entry keeps connections to. */
import { hashText } from '@lycheetally/common';

/** The properties of a server's VM that the choice depends on. */
export interface SubsetCandidate {
  readonly vmId: string;
  readonly failureDomain: string;
}

/** Strategy that chooses a subset of the servers. */
export abstract class SubsetPolicy {
  abstract chooseServers<T extends SubsetCandidate>(
    entryId: string,
    candidates: readonly T[],
  ): readonly T[];
}

/** Keeps a connection to every server (full mesh); a baseline for comparison. */
export class FullMesh extends SubsetPolicy {
  override chooseServers<T extends SubsetCandidate>(
    _: string,
    candidates: readonly T[],
  ): readonly T[] {
    return candidates;
  }
}

/**
 * Keeps a bounded number of connections, equally many to each failure domain,
 * chosen by rendezvous hashing.
 *
 * A server that joins or leaves changes the subsets of few entries, each by one
 * server.
 */
export class RendezvousSubset extends SubsetPolicy {
  constructor(private readonly maxServers: number) {
    super();
  }

  override chooseServers<T extends SubsetCandidate>(
    entryId: string,
    candidates: readonly T[],
  ): readonly T[] {
    if (candidates.length <= this.maxServers) {
      return candidates;
    }
    const domains = new Map<string, T[]>();
    for (const candidate of candidates) {
      const domain = domains.get(candidate.failureDomain) ?? [];
      domain.push(candidate);
      domains.set(candidate.failureDomain, domain);
    }
    const perDomain = Math.max(1, Math.floor(this.maxServers / domains.size));
    return [...domains.values()].flatMap(domain =>
      sortByHash(entryId, domain).slice(0, perDomain),
    );
  }
}

const sortByHash = <T extends SubsetCandidate>(
  entryId: string,
  candidates: readonly T[],
): readonly T[] =>
  candidates
    .map(candidate => ({
      candidate,
      weight: hashText(`${entryId}\u0000${candidate.vmId}`),
    }))
    .sort((a, b) => b.weight - a.weight)
    .map(({ candidate }) => candidate);
