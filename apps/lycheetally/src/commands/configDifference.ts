/** Formats the differences between two configurations as text. */
import {
  computeEdits,
  type ConfigEdits,
  type RouterConfiguration,
} from '@lycheetally/decisions';

interface Named {
  readonly name: string;
}

type Section = keyof ConfigEdits;

const sectionNames: Readonly<Record<Section, string>> = {
  ranks: 'rank',
  accounts: 'account',
  services: 'service',
  failureDomains: 'failureDomain',
};

/** Lists the differences, one per line: `+` added, `-` removed, `~` changed. */
export const formatDifference = (
  from: RouterConfiguration,
  to: RouterConfiguration,
): string[] => {
  const edits = computeEdits(from, to);
  return (Object.keys(sectionNames) as Section[]).flatMap(section => {
    const known = new Map(
      (from[section] ?? []).map(item => [item.name, item as Named]),
    );
    const title = sectionNames[section];
    return [
      ...(edits[section]?.remove ?? []).map(name => `- [${title}.${name}]`),
      ...(edits[section]?.put ?? []).flatMap(item =>
        formatPut(title, known.get(item.name), item),
      ),
    ];
  });
};

const formatPut = (
  title: string,
  before: Named | undefined,
  after: Named,
): string[] => {
  if (!before) {
    return [`+ [${title}.${after.name}]`];
  }
  const old = new Map(Object.entries(before));
  return Object.entries(after)
    .filter(([key, value]) => formatValue(old.get(key)) !== formatValue(value))
    .map(
      ([key, value]) =>
        `~ [${title}.${after.name}] ${key}: ${formatValue(old.get(key))} -> ${formatValue(value)}`,
    );
};

const formatValue = (value: unknown): string =>
  Array.isArray(value) ? value.join(',') : String(value);
