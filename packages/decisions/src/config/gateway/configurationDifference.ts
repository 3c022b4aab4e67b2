/** Differences between two gateway configurations, with what each changes for callers. */
import type { ValueOf } from '@lycheetally/common';
import type {
  DeclaredAccount,
  DeclaredConfiguration,
} from '../../gateway/declaredConfiguration.js';
import { RouteTable, type RouteRule } from '../../gateway/routeTable.js';
import type { BackendService, CallLimits } from '../../gateway/types.js';
import {
  FindingKind,
  FindingSeverity,
  formatName,
  type ConfigurationField,
  type ConfigurationFinding,
  type ConfigurationPlace,
} from './configurationFinding.js';

export const ChangeKind = {
  Added: 'added',
  Removed: 'removed',
  Changed: 'changed',
} as const;
export type ChangeKind = ValueOf<typeof ChangeKind>;

export interface ConfigurationDifference {
  readonly change: ChangeKind;
  /** Of a removed entry in the earlier configuration, otherwise in the later one. */
  readonly place: ConfigurationPlace;
  /** Empty for entries that are added. */
  readonly before: string;
  /** Empty for entries that are removed. */
  readonly after: string;
  /** What it changes for callers. */
  readonly effect: string;
}

/** Lists the differences from the earlier to the later configuration, section by section. */
export const listDifferences = (
  before: DeclaredConfiguration,
  after: DeclaredConfiguration,
): readonly ConfigurationDifference[] => [
  ...new RouteComparison(before, after).list(before.routes, after.routes),
  ...new ServiceComparison().list(before.services, after.services),
  ...compareKeyUse(before, after),
  ...new AccountComparison(before, after).list(
    before.accounts ?? [],
    after.accounts ?? [],
  ),
  ...compareLimits(before.limits, after.limits),
];

/** Gateways ignore a configuration whose version is not above the one in force. */
export const checkVersionOrder = (
  before: DeclaredConfiguration,
  after: DeclaredConfiguration,
): readonly ConfigurationFinding[] =>
  after.version > before.version
    ? []
    : [
        {
          kind: FindingKind.VersionNotAbove,
          severity: FindingSeverity.Error,
          place: { section: 'version' },
          fault: `the version ${String(after.version)} is not above ${String(before.version)}, the one compared with`,
          effect: 'gateways ignore it, and calls are served as before',
          remedy: `write a version above ${String(before.version)}`,
        },
      ];

interface Named {
  readonly name: string;
}

interface FieldText<T> {
  readonly field: ConfigurationField & keyof T;
  readonly effect: string;
  /** Formats the value of an entry; absent if the value is shown as it is. */
  readonly format?: (entry: T) => string;
}

/** Compares the entries of one section by name; of entries with the same name the last one counts. */
abstract class SectionComparison<T extends Named> {
  protected abstract readonly section: 'routes' | 'services' | 'accounts';
  /** Fields that are shown as they are, with what a change means for callers. */
  protected abstract readonly fields: readonly FieldText<T>[];

  protected abstract describe(entry: T): string;
  protected abstract describeAdded(entry: T): string;
  protected abstract describeRemoved(entry: T): string;

  *list(
    before: readonly T[],
    after: readonly T[],
  ): Iterable<ConfigurationDifference> {
    const earlier = indexEntries(before);
    const later = indexEntries(after);
    for (const [name, { entry, index }] of earlier) {
      if (!later.has(name)) {
        yield {
          change: ChangeKind.Removed,
          place: this.createPlace(index, name),
          before: this.describe(entry),
          after: '',
          effect: this.describeRemoved(entry),
        };
      }
    }
    for (const [name, { entry, index }] of later) {
      const place = this.createPlace(index, name);
      const known = earlier.get(name);
      if (known) {
        yield* this.compare(known.entry, entry, place);
      } else {
        yield {
          change: ChangeKind.Added,
          place,
          before: '',
          after: this.describe(entry),
          effect: this.describeAdded(entry),
        };
      }
    }
  }

  protected *compare(
    before: T,
    after: T,
    place: ConfigurationPlace,
  ): Iterable<ConfigurationDifference> {
    for (const { field, effect, format } of this.fields) {
      const show = (entry: T): string =>
        format ? format(entry) : formatValue(entry[field]);
      const from = show(before);
      const to = show(after);
      if (from !== to) {
        yield {
          change: ChangeKind.Changed,
          place: { ...place, field },
          before: from,
          after: to,
          effect,
        };
      }
    }
  }

  private createPlace(index: number, name: string): ConfigurationPlace {
    return { section: this.section, index, name };
  }
}

class RouteComparison extends SectionComparison<RouteRule> {
  protected override readonly section = 'routes';
  protected override readonly fields = routeFields;
  private readonly earlier: RouteTable;
  private readonly later: RouteTable;

  constructor(before: DeclaredConfiguration, after: DeclaredConfiguration) {
    super();
    this.earlier = new RouteTable(before.routes);
    this.later = new RouteTable(after.routes);
  }

  protected override describe({ host, pathPrefix, shares }: RouteRule): string {
    return `${host}${pathPrefix} to ${formatShares(shares)}`;
  }

  protected override describeAdded(route: RouteRule): string {
    const other = this.earlier.findRoute(route.host, route.pathPrefix);
    return other
      ? `calls to it follow this route instead of ${formatName(other.name)}`
      : 'calls to it are served; before they got 404';
  }

  protected override describeRemoved(route: RouteRule): string {
    const other = this.later.findRoute(route.host, route.pathPrefix);
    return other
      ? `calls to it follow the route ${formatName(other.name)} instead`
      : 'calls to it get 404';
  }
}

class ServiceComparison extends SectionComparison<BackendService> {
  protected override readonly section = 'services';
  protected override readonly fields = serviceFields;

  protected override describe({ healthPath, model }: BackendService): string {
    return model ? `${healthPath}, ${String(model.layers)} layers` : healthPath;
  }

  protected override describeAdded(): string {
    return 'calls of routes that name it reach its servers';
  }

  protected override describeRemoved(): string {
    return 'calls of routes that still name it get 503';
  }
}

class AccountComparison extends SectionComparison<DeclaredAccount> {
  protected override readonly section = 'accounts';
  protected override readonly fields = accountFields;
  private readonly earlier: ReadonlyMap<string, string>;
  private readonly later: ReadonlyMap<string, string>;

  constructor(before: DeclaredConfiguration, after: DeclaredConfiguration) {
    super();
    this.earlier = indexHolders(before);
    this.later = indexHolders(after);
  }

  protected override describe({ keys }: DeclaredAccount): string {
    return formatCount(keys.length, 'key');
  }

  protected override describeAdded({ name, keys }: DeclaredAccount): string {
    return this.describeNewKeys(name, keys);
  }

  protected override describeRemoved({ name, keys }: DeclaredAccount): string {
    return this.describeLostKeys(name, keys);
  }

  /** Shows the number of keys only, since they are secrets. */
  protected override *compare(
    before: DeclaredAccount,
    after: DeclaredAccount,
    place: ConfigurationPlace,
  ): Iterable<ConfigurationDifference> {
    yield* super.compare(before, after, place);
    const { name } = after;
    const earlier = new Set(before.keys);
    const later = new Set(after.keys);
    const lost = [...earlier].filter(key => !later.has(key));
    const gained = [...later].filter(key => !earlier.has(key));
    if (lost.length > 0) {
      yield {
        change: ChangeKind.Removed,
        place: { ...place, field: 'keys' },
        before: formatCount(lost.length, 'key'),
        after: '',
        effect: this.describeLostKeys(name, lost),
      };
    }
    if (gained.length > 0) {
      yield {
        change: ChangeKind.Added,
        place: { ...place, field: 'keys' },
        before: '',
        after: formatCount(gained.length, 'key'),
        effect: this.describeNewKeys(name, gained),
      };
    }
  }

  private describeNewKeys(name: string, keys: readonly string[]): string {
    const moved = countOthers(keys, name, this.earlier);
    return moved === 0
      ? 'calls with its new keys are accepted'
      : `calls with its new keys are accepted; ${String(moved)} of them counted as another account's before`;
  }

  private describeLostKeys(name: string, keys: readonly string[]): string {
    const moved = countOthers(keys, name, this.later);
    const refused = keys.length - moved;
    const parts = [
      refused > 0 ? `calls with ${formatCount(refused, 'key')} get 401` : '',
      moved > 0
        ? `calls with ${formatCount(moved, 'key')} count as another account's`
        : '',
    ].filter(part => part !== '');
    return parts.join('; ') || 'none, since it had no key';
  }
}

const routeFields: readonly FieldText<RouteRule>[] = [
  { field: 'host', effect: 'calls to the earlier host no longer match it' },
  {
    field: 'pathPrefix',
    effect: 'calls under the earlier prefix no longer match it',
  },
  {
    field: 'isRepeatable',
    effect: 'says whether a call that failed may run again at another server',
    format: ({ isRepeatable }) => (isRepeatable ? 'repeatable' : 'runs once'),
  },
  {
    field: 'isStream',
    effect: 'says whether answers come as events',
    format: ({ isStream }) => (isStream ? 'stream' : 'whole answer'),
  },
  {
    field: 'isResumable',
    effect: 'says whether a broken stream goes on at another server',
  },
  {
    field: 'isPublic',
    effect: 'says whether calls without a key are accepted',
  },
  { field: 'timeoutMs', effect: 'calls are ended after the new time' },
  { field: 'targetMs', effect: 'calls count as late after the new time' },
  {
    field: 'maxPauseMs',
    effect: 'pauses of streams count as long after the new time',
  },
  {
    field: 'urgency',
    effect: 'under overload a lower number is served before a higher one',
  },
  {
    field: 'maxAttempts',
    effect: 'calls are sent to that many servers at most',
  },
  {
    field: 'shares',
    effect: 'calls go to these services, by weight',
    format: ({ shares }) => formatShares(shares),
  },
];

const serviceFields: readonly FieldText<BackendService>[] = [
  {
    field: 'healthPath',
    effect: 'servers that do not answer at the new path get no calls',
  },
  {
    field: 'model',
    effect: 'layers are placed again, and waits are forecast anew',
  },
];

const accountFields: readonly FieldText<DeclaredAccount>[] = [
  {
    field: 'urgency',
    effect: 'its calls have the new urgency; without one, that of their route',
  },
];

const limitEffects: Readonly<Record<keyof CallLimits, string>> = {
  maxHeaderBytes: 'calls with a larger head are refused',
  maxBodyBytes: 'calls with a larger body are refused with 413',
  headerTimeoutMs: 'connections whose head takes longer are closed',
  idleTimeoutMs:
    'connections that are idle for longer are closed; one whose caller was told more keeps that',
};

function* compareLimits(
  before: CallLimits,
  after: CallLimits,
): Iterable<ConfigurationDifference> {
  for (const field of Object.keys(limitEffects) as (keyof CallLimits)[]) {
    if (before[field] !== after[field]) {
      yield {
        change: ChangeKind.Changed,
        place: { section: 'limits', field },
        before: String(before[field]),
        after: String(after[field]),
        effect: limitEffects[field],
      };
    }
  }
}

function* compareKeyUse(
  before: DeclaredConfiguration,
  after: DeclaredConfiguration,
): Iterable<ConfigurationDifference> {
  const needed = before.accounts !== undefined;
  const needs = after.accounts !== undefined;
  if (needed !== needs) {
    yield {
      change: needs ? ChangeKind.Added : ChangeKind.Removed,
      place: { section: 'accounts' },
      before: needed ? 'keys needed' : '',
      after: needs ? 'keys needed' : '',
      effect: needs
        ? 'calls without a key get 401, but for public routes'
        : 'calls need no key and belong to no account',
    };
  }
}

const indexEntries = <T extends Named>(
  entries: readonly T[],
): Map<string, { readonly entry: T; readonly index: number }> =>
  new Map(entries.map((entry, index) => [entry.name, { entry, index }]));

const indexHolders = ({
  accounts = [],
}: DeclaredConfiguration): Map<string, string> =>
  new Map(
    accounts.flatMap(({ name, keys }) =>
      keys.map((key): [string, string] => [key, name]),
    ),
  );

/** Counts the keys that another account holds. */
const countOthers = (
  keys: readonly string[],
  name: string,
  holders: ReadonlyMap<string, string>,
): number => keys.filter(key => (holders.get(key) ?? name) !== name).length;

const formatCount = (count: number, noun: string): string =>
  `${String(count)} ${noun}${count === 1 ? '' : 's'}`;

const formatValue = (value: unknown): string => {
  if (value === undefined) {
    return 'none';
  }
  return typeof value === 'string' ? value : JSON.stringify(value);
};

/** Formats a split as `desk 9, shelf 1`, and one service by its name alone. */
const formatShares = (shares: RouteRule['shares']): string =>
  shares.length === 1 && shares[0]
    ? shares[0].service
    : shares
        .map(({ service, weight }) => `${service} ${String(weight)}`)
        .join(', ');
