/** Logs what is wrong with a configuration that a gateway takes, in a bounded number of lines. */
import type { ComponentLogger } from '@lycheetally/common';
import {
  checkGatewayConfiguration,
  describeFinding,
  type DeclaredConfiguration,
} from '@lycheetally/decisions';
import { maxFindingLines } from './constants.js';

export const reportFindings = (
  log: ComponentLogger,
  configuration: DeclaredConfiguration,
  memoryBytes: number,
): void => {
  const findings = checkGatewayConfiguration(configuration, memoryBytes);
  const { version } = configuration;
  for (const finding of findings.slice(0, maxFindingLines)) {
    log.warn('A configuration has a fault.', {
      configuration: version,
      ...describeFinding(finding),
    });
  }
  if (findings.length > maxFindingLines) {
    log.warn('A configuration has more faults than are logged.', {
      configuration: version,
      faults: findings.length,
      logged: maxFindingLines,
    });
  }
};
