/** Checks of a whole configuration, beyond the schema of its fields. */
import { ServiceKind, type RouterConfiguration } from '../types.js';

/** A fault of a configuration, with its location and remedy for the author. */
export interface ConfigFault {
  /** Section, such as `service.pickup-assistant`. */
  readonly section: string;
  readonly key: string;
  readonly fault: string;
  readonly remedy: string;
}

/** The largest configuration, as JSON, in bytes. */
export const maxConfigurationBytes = 4 * 1_024 * 1_024;

/** Lists every fault of a configuration. */
export const checkConfiguration = (
  configuration: RouterConfiguration,
): readonly ConfigFault[] => [
  ...checkRankPresence(configuration),
  ...checkUniqueNames('rank', configuration.ranks),
  ...checkUniqueNames('account', configuration.accounts),
  ...checkUniqueNames('service', configuration.services),
  ...checkUniqueNames('failureDomain', configuration.failureDomains ?? []),
  ...checkRanks(configuration),
  ...checkServices(configuration),
  ...checkSize(configuration),
];

const checkRankPresence = ({ ranks }: RouterConfiguration): ConfigFault[] =>
  ranks.length > 0
    ? []
    : [
        {
          section: 'rank',
          key: 'name',
          fault: 'there is no rank',
          remedy: 'add a section such as [rank.urgent]',
        },
      ];

const checkUniqueNames = (
  kind: string,
  items: readonly { readonly name: string }[],
): ConfigFault[] =>
  findDuplicates(items.map(item => item.name)).map(name => ({
    section: `${kind}.${name}`,
    key: 'name',
    fault: `the ${kind} "${name}" is defined twice`,
    remedy: 'remove one of the two sections',
  }));

const checkRanks = ({ ranks }: RouterConfiguration): ConfigFault[] => {
  const faults = findDuplicates(ranks.map(rank => String(rank.urgency))).map(
    urgency => ({
      section: 'rank',
      key: 'urgency',
      fault: `two ranks have the urgency ${urgency}`,
      remedy: 'give each rank an urgency of its own',
    }),
  );
  const floors = ranks.reduce((sum, rank) => sum + rank.floor, 0);
  if (floors > 1) {
    faults.push({
      section: 'rank',
      key: 'floor',
      fault: `the floors add up to ${floors.toFixed(2)}`,
      remedy: 'lower them until they add up to 1 or less',
    });
  }
  return faults;
};

const checkServices = (configuration: RouterConfiguration): ConfigFault[] => {
  const accounts = new Set(configuration.accounts.map(each => each.name));
  return configuration.services.flatMap(service => {
    const section = `service.${service.name}`;
    const faults = service.accounts
      .filter(name => !accounts.has(name))
      .map(name => ({
        section,
        key: 'accounts',
        fault: `the client account "${name}" does not exist`,
        remedy: `add a section [account.${name}] or remove the name`,
      }));
    if ((service.kind === ServiceKind.Model) !== service.layers > 0) {
      faults.push({
        section,
        key: 'layers',
        fault: `a ${service.kind} service cannot have ${String(service.layers)} layers`,
        remedy: 'give a model its number of layers and a plain service 0',
      });
    }
    return faults;
  });
};

const checkSize = (configuration: RouterConfiguration): ConfigFault[] => {
  const size = JSON.stringify(configuration).length;
  return size <= maxConfigurationBytes
    ? []
    : [
        {
          section: '(file)',
          key: '(size)',
          fault: `the configuration has ${String(size)} bytes`,
          remedy: `keep it under ${String(maxConfigurationBytes)} bytes`,
        },
      ];
};

const findDuplicates = (names: readonly string[]): readonly string[] => [
  ...new Set(names.filter((name, index) => names.indexOf(name) !== index)),
];
