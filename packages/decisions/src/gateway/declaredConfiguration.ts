/**
 * A gateway's configuration as the operator declares it: lists in the order of the
 * file, before they are indexed for look-ups. Entries that an index would drop, such as
 * a second holder of a key, are still here.
 */
import { RouteTable, type RouteRule } from './routeTable.js';
import type {
  BackendService,
  CallLimits,
  GatewayConfiguration,
  KeyHolder,
} from './types.js';

/** A client account with its keys. */
export interface DeclaredAccount {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the route's urgency when set; 0 is the most urgent. */
  readonly urgency: number | undefined;
}

export interface DeclaredConfiguration {
  readonly version: number;
  readonly routes: readonly RouteRule[];
  readonly services: readonly BackendService[];
  /** Absent when calls need no key. */
  readonly accounts: readonly DeclaredAccount[] | undefined;
  readonly limits: CallLimits;
}

/** Indexes a configuration for look-ups; of entries with the same key the last one counts. */
export const indexConfiguration = (
  declared: DeclaredConfiguration,
): GatewayConfiguration => ({
  version: declared.version,
  routes: new RouteTable(declared.routes),
  services: new Map(declared.services.map(service => [service.name, service])),
  keys: declared.accounts && indexKeys(declared.accounts),
  limits: declared.limits,
  declared,
});

const indexKeys = (
  accounts: readonly DeclaredAccount[],
): Map<string, KeyHolder> =>
  new Map(
    accounts.flatMap(({ name, keys, urgency }) =>
      keys.map((key): [string, KeyHolder] => [key, { account: name, urgency }]),
    ),
  );
