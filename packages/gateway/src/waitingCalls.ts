/** The calls that wait for a server, by service, so that the most urgent ones are sent first. */
import type { Milliseconds } from '@lycheetally/common';
import type { GatewayCall } from './gatewayCall.js';

export class WaitingCalls {
  private readonly byService = new Map<string, Set<GatewayCall>>();

  add(call: GatewayCall): void {
    const service = call.admitted?.service.name ?? '';
    const waiting = this.byService.get(service) ?? new Set();
    this.byService.set(service, waiting.add(call));
  }

  remove(call: GatewayCall): void {
    const service = call.admitted?.service.name ?? '';
    const waiting = this.byService.get(service);
    if (waiting?.delete(call) && waiting.size === 0) {
      this.byService.delete(service);
    }
  }

  /** Routes the calls of the service that wait for silent servers, the most urgent first. */
  handleReturn(service: string, now: Milliseconds): void {
    const waiting = [...(this.byService.get(service) ?? [])]
      .filter(({ isWaitingForSilent }) => isWaitingForSilent)
      .sort((a, b) => (a.admitted?.urgency ?? 0) - (b.admitted?.urgency ?? 0));
    for (const call of waiting) {
      call.instance?.send({ type: 'SERVER_RETURNED' }, now);
    }
  }

  /** Whether a call of the service waits for a turn that is more urgent; 0 is the most urgent. */
  hasMoreUrgent(service: string, urgency: number): boolean {
    return [...(this.byService.get(service) ?? [])].some(
      ({ admitted, isWaitingForSilent }) =>
        admitted !== undefined &&
        admitted.urgency < urgency &&
        !isWaitingForSilent,
    );
  }
}
