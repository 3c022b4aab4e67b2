/** What a check finds in a gateway's configuration, and where. */
import type { ValueOf } from '@lycheetally/common';
import type {
  DeclaredAccount,
  DeclaredConfiguration,
} from '../../gateway/declaredConfiguration.js';
import type { RouteRule } from '../../gateway/routeTable.js';
import type { BackendService, CallLimits } from '../../gateway/types.js';

export const FindingSeverity = {
  /** Calls are refused or treated in a way that the configuration does not say. */
  Error: 'error',
  /** An entry has no effect, or limits cannot all be kept. */
  Warning: 'warning',
} as const;
export type FindingSeverity = ValueOf<typeof FindingSeverity>;

export const FindingKind = {
  MissingField: 'missing-field',
  IllTypedField: 'ill-typed-field',
  UnknownKind: 'unknown-kind',
  DuplicateName: 'duplicate-name',
  HiddenRoute: 'hidden-route',
  UnmatchableRoute: 'unmatchable-route',
  UnknownService: 'unknown-service',
  UnusedService: 'unused-service',
  NoTraffic: 'no-traffic',
  UnusedShare: 'unused-share',
  AccountWithoutKey: 'account-without-key',
  KeyHeldTwice: 'key-held-twice',
  TargetOverTimeLimit: 'target-over-time-limit',
  PauseOverTimeLimit: 'pause-over-time-limit',
  AttemptsOverTimeLimit: 'attempts-over-time-limit',
  LimitNotPositive: 'limit-not-positive',
  IdleUnderHeadLimit: 'idle-under-head-limit',
  IdleUnderSecond: 'idle-under-second',
  BodyOverMemory: 'body-over-memory',
  VersionNotAbove: 'version-not-above',
} as const;
export type FindingKind = ValueOf<typeof FindingKind>;

export type ConfigurationSection = keyof DeclaredConfiguration;

/** A field of an entry, by its name in the decoded types. */
export type ConfigurationField =
  | keyof RouteRule
  | keyof BackendService
  | keyof DeclaredAccount
  | keyof CallLimits;

/** Where a finding is; the entry is absent for sections that are no lists. */
export interface ConfigurationPlace {
  readonly section: ConfigurationSection;
  /** Place in the list of the section, from 0. */
  readonly index?: number | undefined;
  readonly name?: string | undefined;
  readonly field?: ConfigurationField | undefined;
  /** Place in the list of the field, from 0. */
  readonly item?: number | undefined;
}

export interface ConfigurationFinding {
  readonly kind: FindingKind;
  readonly severity: FindingSeverity;
  readonly place: ConfigurationPlace;
  readonly fault: string;
  /** What it means for callers. */
  readonly effect: string;
  readonly remedy: string;
}

/** Names of sections and fields in the form of the configuration that the operator writes. */
export interface PlaceNames {
  readonly sections: Readonly<Record<ConfigurationSection, string>>;
  readonly fields: Readonly<Record<ConfigurationField, string>>;
}

/** Longest name that a finding shows, in characters; it keeps log lines short. */
const maxNameLength = 64;

/** Formats a name that an operator wrote, without control characters and of bounded length. */
export const formatName = (name: string): string =>
  JSON.stringify(
    name.length > maxNameLength ? `${name.slice(0, maxNameLength)}...` : name,
  );

/** Formats a place such as `routes[3] "look" timeoutMs`, or with the names of another form. */
export const formatPlace = (
  { section, index, name, field, item }: ConfigurationPlace,
  names?: PlaceNames,
): string => {
  const title = names?.sections[section] ?? section;
  const parts = [
    index === undefined ? title : `${title}[${String(index)}]`,
    name === undefined ? undefined : formatName(name),
    field &&
      (names?.fields[field] ?? field) +
        (item === undefined ? '' : `[${String(item)}]`),
  ];
  return parts.filter(part => part !== undefined).join(' ');
};

/** Formats another entry of the list in which a finding is. */
export const formatEntry = (index: number, name = ''): string =>
  `entry [${String(index)}] ${formatName(name)}`;

/** A finding with its place as text. */
export interface DescribedFinding extends Omit<ConfigurationFinding, 'place'> {
  readonly place: string;
}

export const describeFinding = (
  finding: ConfigurationFinding,
  names?: PlaceNames,
): DescribedFinding => ({
  ...finding,
  place: formatPlace(finding.place, names),
});
