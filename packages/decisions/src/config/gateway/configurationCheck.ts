/** One rule that a gateway's configuration should keep. */
import type { DeclaredConfiguration } from '../../gateway/declaredConfiguration.js';
import type {
  ConfigurationFinding,
  ConfigurationPlace,
  FindingKind,
  FindingSeverity,
} from './configurationFinding.js';

/** What a check may look at. */
export interface CheckSubject {
  readonly configuration: DeclaredConfiguration;
  /** Memory of the smallest VM that runs a gateway; absent if it is not known. */
  readonly memoryBytes: number | undefined;
}

/** What is wrong, what it means for callers and what to do. */
export type FindingText = Pick<
  ConfigurationFinding,
  'fault' | 'effect' | 'remedy'
>;

/** A check looks at each entry a fixed number of times, since gateways run all checks on large configurations. */
export abstract class ConfigurationCheck {
  protected abstract readonly kind: FindingKind;
  protected abstract readonly severity: FindingSeverity;

  abstract listFindings(subject: CheckSubject): Iterable<ConfigurationFinding>;

  protected createFinding(
    place: ConfigurationPlace,
    text: FindingText,
  ): ConfigurationFinding {
    return { kind: this.kind, severity: this.severity, place, ...text };
  }
}
