/** Checks of names, and of references from one entry to another. */
import { ConfigurationCheck, type CheckSubject } from './configurationCheck.js';
import {
  FindingKind,
  FindingSeverity,
  formatEntry,
  formatName,
  type ConfigurationFinding,
  type ConfigurationPlace,
} from './configurationFinding.js';

const namedSections = ['routes', 'services', 'accounts'] as const;

export class DuplicateNameCheck extends ConfigurationCheck {
  protected override readonly kind = FindingKind.DuplicateName;
  protected override readonly severity = FindingSeverity.Error;

  override *listFindings({
    configuration,
  }: CheckSubject): Iterable<ConfigurationFinding> {
    for (const section of namedSections) {
      const first = new Map<string, number>();
      for (const [index, { name }] of (
        configuration[section] ?? []
      ).entries()) {
        const known = first.get(name);
        if (known === undefined) {
          first.set(name, index);
          continue;
        }
        const other = formatEntry(known, name);
        yield this.createFinding(
          { section, index, name, field: 'name' },
          {
            fault: `${other} has the same name`,
            effect: duplicateEffects[section],
            remedy: 'give one of them another name, or remove it',
          },
        );
      }
    }
  }
}

const duplicateEffects = {
  routes: 'log lines and metrics of the two cannot be told apart',
  services: 'calls use the health check and the model of the last one only',
  accounts:
    'the two share one part of the capacity, and log lines cannot be told apart',
};

export class UnknownServiceCheck extends ConfigurationCheck {
  protected override readonly kind = FindingKind.UnknownService;
  protected override readonly severity = FindingSeverity.Error;

  override *listFindings({
    configuration: { routes, services },
  }: CheckSubject): Iterable<ConfigurationFinding> {
    const known = new Set(services.map(({ name }) => name));
    for (const [index, { name, shares }] of routes.entries()) {
      for (const [item, { service, weight }] of shares.entries()) {
        if (known.has(service)) {
          continue;
        }
        const route = { section: 'routes', index, name } as const;
        // The operator's form has no split for a single service.
        const place: ConfigurationPlace =
          shares.length > 1 ? { ...route, field: 'shares', item } : route;
        yield this.createFinding(place, {
          fault:
            service === ''
              ? 'the route names no service'
              : `the service ${formatName(service)} does not exist`,
          effect:
            weight > 0
              ? 'calls that are sent there are refused with 503'
              : 'none while its weight is 0; with a weight, its calls are refused with 503',
          remedy: 'name an existing service, or add this one',
        });
      }
    }
  }
}

export class UnusedServiceCheck extends ConfigurationCheck {
  protected override readonly kind = FindingKind.UnusedService;
  protected override readonly severity = FindingSeverity.Warning;

  override *listFindings({
    configuration: { routes, services },
  }: CheckSubject): Iterable<ConfigurationFinding> {
    const used = new Set(
      routes.flatMap(({ shares }) => shares.map(({ service }) => service)),
    );
    for (const [index, { name }] of services.entries()) {
      if (!used.has(name)) {
        yield this.createFinding(
          { section: 'services', index, name },
          {
            fault: 'no route names this service',
            effect: 'its servers get no calls',
            remedy: 'name it in a route, or remove it',
          },
        );
      }
    }
  }
}

export class AccountWithoutKeyCheck extends ConfigurationCheck {
  protected override readonly kind = FindingKind.AccountWithoutKey;
  protected override readonly severity = FindingSeverity.Warning;

  override *listFindings({
    configuration: { accounts = [] },
  }: CheckSubject): Iterable<ConfigurationFinding> {
    for (const [index, { name, keys }] of accounts.entries()) {
      if (keys.length === 0) {
        yield this.createFinding(
          { section: 'accounts', index, name, field: 'keys' },
          {
            fault: 'the client account has no key',
            effect: 'its callers are refused with 401, but for public routes',
            remedy: 'give it a key, or remove the account',
          },
        );
      }
    }
  }
}

/** Never shows a key: findings go to logs. */
export class KeyHeldTwiceCheck extends ConfigurationCheck {
  protected override readonly kind = FindingKind.KeyHeldTwice;
  protected override readonly severity = FindingSeverity.Error;

  override *listFindings({
    configuration: { accounts = [] },
  }: CheckSubject): Iterable<ConfigurationFinding> {
    const holders = new Map<string, number>();
    for (const [index, { name, keys }] of accounts.entries()) {
      for (const [item, key] of keys.entries()) {
        const holder = holders.get(key);
        if (holder !== undefined && holder !== index) {
          const other = formatEntry(holder, accounts[holder]?.name);
          yield this.createFinding(
            { section: 'accounts', index, name, field: 'keys', item },
            {
              fault: `${other} holds the same key`,
              effect: `calls with it count as calls of ${formatName(name)} and have its urgency`,
              remedy: 'give each of the two a key of its own',
            },
          );
        }
        holders.set(key, index);
      }
    }
  }
}
