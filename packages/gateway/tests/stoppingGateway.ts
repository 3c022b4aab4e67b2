/** A gateway's admission during a stop, without its connections. */
import { BoundedRetry, type DurationForecast } from '@lycheetally/decisions';
import { mayEndBeforeStop, noteOpened } from '../src/calls/drainAdmission.js';
import { DrainPeriod } from '../src/calls/drainPeriod.js';
import type { AdmittedCall, GatewayCall } from '../src/calls/gatewayCall.js';

/** What a caller sends. */
export interface TestCall {
  readonly hintedOutputTokens?: number;
  readonly isRepeatable?: boolean;
  /** How long the caller waits. */
  readonly deadlineMs?: number;
}

const graceMs = 8_000;
const longDeadlineMs = 20_000;

export class StoppingGateway {
  private readonly drainPeriod = new DrainPeriod();

  constructor(private readonly durationForecast: DurationForecast) {}

  get timeoutAt(): number {
    return this.drainPeriod.timeoutAt;
  }

  stop(now: number): void {
    this.drainPeriod.begin(now, graceMs);
  }

  /** Requests a call. Returns what ends it, or nothing if it is refused. */
  request(sent: TestCall, now: number): ((now: number) => void) | undefined {
    const call = this.createCall(sent, now);
    const { admitted } = call;
    if (!admitted || !mayEndBeforeStop(call, admitted, now)) {
      return undefined;
    }
    noteOpened(call, admitted);
    return endedAt => call.noteEnd?.(true, endedAt);
  }

  createCall(
    {
      hintedOutputTokens,
      isRepeatable = true,
      deadlineMs = longDeadlineMs,
    }: TestCall,
    now: number,
  ): GatewayCall {
    const route = { name: 'route', isStream: true } as AdmittedCall['route'];
    const service = { name: 'service' } as AdmittedCall['service'];
    const { drainPeriod, durationForecast } = this;
    return {
      services: {
        drainPeriod,
        durationForecast,
        retryPolicy: new BoundedRetry(),
      },
      toRequestView: () => ({ attempts: 1, deadlineAt: Infinity }),
      received: {
        receivedAt: now,
        fields: { maxOutputTokens: 600, hintedOutputTokens },
      },
      firstByteAt: now,
      admitted: { route, service, isRepeatable, deadlineAt: now + deadlineMs },
    } as unknown as GatewayCall;
  }
}
