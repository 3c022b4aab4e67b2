/** Checks of limits that contradict each other. */
import { millisecondsPerSecond } from '@lycheetally/common';
import { maxCallShare } from '../../gateway/bufferMemory.js';
import { computeBufferBytes } from '../../gateway/memoryShares.js';
import type { RouteRule } from '../../gateway/routeTable.js';
import {
  ConfigurationCheck,
  type CheckSubject,
  type FindingText,
} from './configurationCheck.js';
import { RouteCheck } from './routeCheck.js';
import {
  FindingKind,
  FindingSeverity,
  type ConfigurationField,
  type ConfigurationFinding,
} from './configurationFinding.js';

/** Limits of a route that contradict each other; it serves calls all the same. */
abstract class RouteLimitCheck extends RouteCheck {
  protected override readonly severity = FindingSeverity.Warning;
}

/** A check of one field of the limits. */
abstract class LimitCheck extends ConfigurationCheck {
  protected override readonly severity = FindingSeverity.Warning;
  protected abstract readonly field: ConfigurationField;

  protected abstract describe(subject: CheckSubject): FindingText | undefined;

  override *listFindings(
    subject: CheckSubject,
  ): Iterable<ConfigurationFinding> {
    const text = this.describe(subject);
    if (text) {
      yield this.createFinding({ section: 'limits', field: this.field }, text);
    }
  }
}

export class TargetOverTimeLimitCheck extends RouteLimitCheck {
  protected override readonly kind = FindingKind.TargetOverTimeLimit;
  protected override readonly field = 'targetMs';

  protected override describe({
    targetMs,
    timeoutMs,
  }: RouteRule): FindingText | undefined {
    return targetMs <= timeoutMs
      ? undefined
      : {
          fault: `the latency target of ${String(targetMs)} ms is over the time limit of ${String(timeoutMs)} ms`,
          effect: 'calls are ended before they are late',
          remedy: 'lower the target or raise the time limit',
        };
  }
}

export class PauseOverTimeLimitCheck extends RouteLimitCheck {
  protected override readonly kind = FindingKind.PauseOverTimeLimit;
  protected override readonly field = 'maxPauseMs';

  protected override describe({
    maxPauseMs = 0,
    timeoutMs,
  }: RouteRule): FindingText | undefined {
    return maxPauseMs <= timeoutMs
      ? undefined
      : {
          fault: `the pause limit of ${String(maxPauseMs)} ms is over the time limit of ${String(timeoutMs)} ms`,
          effect: 'no pause is too long before the stream is ended',
          remedy: 'lower the pause limit or raise the time limit',
        };
  }
}

/** A target over the time limit has a finding of its own. */
export class AttemptsOverTimeLimitCheck extends RouteLimitCheck {
  protected override readonly kind = FindingKind.AttemptsOverTimeLimit;
  protected override readonly field = 'maxAttempts';

  protected override describe({
    targetMs,
    timeoutMs,
    maxAttempts,
  }: RouteRule): FindingText | undefined {
    const neededMs = maxAttempts * targetMs;
    return neededMs <= timeoutMs || targetMs > timeoutMs
      ? undefined
      : {
          fault: `${String(maxAttempts)} attempts of ${String(targetMs)} ms, the latency target, take ${String(neededMs)} ms; the time limit is ${String(timeoutMs)} ms`,
          effect: 'the last attempts of a call are cut or not made',
          remedy: `raise the time limit to ${String(neededMs)} ms, or lower the attempts to ${String(Math.floor(timeoutMs / targetMs))}`,
        };
  }
}

const limitFields = [
  'maxHeaderBytes',
  'maxBodyBytes',
  'headerTimeoutMs',
  'idleTimeoutMs',
] as const;

export class LimitNotPositiveCheck extends ConfigurationCheck {
  protected override readonly kind = FindingKind.LimitNotPositive;
  protected override readonly severity = FindingSeverity.Error;

  override *listFindings({
    configuration: { limits },
  }: CheckSubject): Iterable<ConfigurationFinding> {
    for (const field of limitFields) {
      if (limits[field] <= 0) {
        yield this.createFinding(
          { section: 'limits', field },
          {
            fault: `the limit is ${String(limits[field])}`,
            effect: 'calls are refused, or this limit is not kept at all',
            remedy: 'write a number above 0',
          },
        );
      }
    }
  }
}

export class IdleUnderHeadLimitCheck extends LimitCheck {
  protected override readonly kind = FindingKind.IdleUnderHeadLimit;
  protected override readonly field = 'idleTimeoutMs';

  protected override describe({
    configuration: { limits },
  }: CheckSubject): FindingText | undefined {
    const { idleTimeoutMs, headerTimeoutMs } = limits;
    return idleTimeoutMs >= headerTimeoutMs
      ? undefined
      : {
          fault: `the idle limit of ${String(idleTimeoutMs)} ms is below the limit of ${String(headerTimeoutMs)} ms for the head of a call`,
          effect:
            'a connection is closed while its next call could still be within the limit for its head',
          remedy: `raise the idle limit to ${String(headerTimeoutMs)} ms or more`,
        };
  }
}

export class IdleUnderSecondCheck extends LimitCheck {
  protected override readonly kind = FindingKind.IdleUnderSecond;
  protected override readonly field = 'idleTimeoutMs';

  protected override describe({
    configuration: { limits },
  }: CheckSubject): FindingText | undefined {
    const { idleTimeoutMs } = limits;
    return idleTimeoutMs <= 0 || idleTimeoutMs >= millisecondsPerSecond
      ? undefined
      : {
          fault: `the idle limit of ${String(idleTimeoutMs)} ms is told in whole seconds, as Keep-Alive: timeout=0`,
          effect: 'callers open a new connection for each call',
          remedy: `raise the idle limit to ${String(millisecondsPerSecond)} ms or more`,
        };
  }
}

export class BodyOverMemoryCheck extends LimitCheck {
  protected override readonly kind = FindingKind.BodyOverMemory;
  protected override readonly field = 'maxBodyBytes';

  protected override describe({
    configuration: { limits },
    memoryBytes = Infinity,
  }: CheckSubject): FindingText | undefined {
    const maxBytes = Math.floor(computeBufferBytes(memoryBytes) * maxCallShare);
    return limits.maxBodyBytes <= maxBytes
      ? undefined
      : {
          fault: `the body limit of ${String(limits.maxBodyBytes)} bytes is over the ${String(maxBytes)} bytes that a VM may buffer of calls`,
          effect:
            'calls within the body limit are refused with 503 at each try',
          remedy: `lower the body limit to ${String(maxBytes)} bytes, or give the VMs more memory`,
        };
  }
}
