/** The calls that wait for a server, by service, so that the most urgent ones are sent first. */
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

  /** Lists the calls of the service that wait for silent servers, the most urgent first. */
  listForSilent(service: string): readonly GatewayCall[] {
    return [...(this.byService.get(service) ?? [])]
      .filter(({ isWaitingForSilent }) => isWaitingForSilent)
      .sort((a, b) => (a.admitted?.urgency ?? 0) - (b.admitted?.urgency ?? 0));
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
