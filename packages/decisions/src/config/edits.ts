/** Differences between configurations. */
import type { RouterConfiguration } from '../types.js';
import type { ConfigEdits, SectionEdits } from './records.js';

interface Named {
  readonly name: string;
}

const noEdits = { put: [], remove: [] };

/** The configuration before the first change. */
export const emptyConfiguration: RouterConfiguration = {
  version: 0,
  ranks: [],
  accounts: [],
  services: [],
};

/** Computes the edits that turn one configuration into another. */
export const computeEdits = (
  from: RouterConfiguration,
  to: RouterConfiguration,
): ConfigEdits => ({
  ranks: computeSectionEdits(from.ranks, to.ranks),
  accounts: computeSectionEdits(from.accounts, to.accounts),
  services: computeSectionEdits(from.services, to.services),
  failureDomains: computeSectionEdits(
    from.failureDomains ?? [],
    to.failureDomains ?? [],
  ),
});

/** Applies edits; the result has the version after that of `from`. */
export const applyEdits = (
  from: RouterConfiguration,
  edits: ConfigEdits,
): RouterConfiguration => {
  const failureDomains = applySectionEdits(
    from.failureDomains ?? [],
    edits.failureDomains ?? noEdits,
  );
  return {
    version: from.version + 1,
    ranks: applySectionEdits(from.ranks, edits.ranks),
    accounts: applySectionEdits(from.accounts, edits.accounts),
    services: applySectionEdits(from.services, edits.services),
    // An empty section means the same as an absent one and is left out.
    ...(failureDomains.length === 0 ? {} : { failureDomains }),
  };
};

/** Counts the items that the edits add, change or remove. */
export const countEdits = (edits: ConfigEdits): number =>
  Object.values(edits as unknown as Record<string, SectionEdits<Named>>).reduce(
    (sum, section) => sum + section.put.length + section.remove.length,
    0,
  );

const computeSectionEdits = <T extends Named>(
  from: readonly T[],
  to: readonly T[],
): SectionEdits<T> => {
  const known = new Map(from.map(item => [item.name, JSON.stringify(item)]));
  const kept = new Set(to.map(item => item.name));
  return {
    put: to.filter(item => known.get(item.name) !== JSON.stringify(item)),
    remove: from.map(item => item.name).filter(name => !kept.has(name)),
  };
};

const applySectionEdits = <T extends Named>(
  from: readonly T[],
  edits: SectionEdits<T>,
): readonly T[] => {
  const items = new Map(from.map(item => [item.name, item]));
  edits.remove.forEach(name => items.delete(name));
  edits.put.forEach(item => items.set(item.name, item));
  return [...items.values()];
};
