/**
 * When much of a service's fleet was in trouble at once.
 *
 * A server that is lost then says little about the calls that it had begun: what hit the others,
 * such as an overload or a failed link, explains its loss as well.
 */
import type { Milliseconds } from '@lycheetally/common';

/** The servers of a service as one gateway sees them. */
export interface FleetView {
  readonly total: number;
  /** Servers that are lost, silent, failing or slow. */
  readonly troubled: number;
}

/** Servers in trouble from which it may be that of a fleet; one call crashes fewer of them before all gateways know of it. */
const minTroubledServers = 5;

/** Share of the servers from which the trouble is that of the fleet; half a failure domain of three is less. */
const minTroubledShare = 1 / 3;

/** Time between a loss and the trouble around it; a silence is found within a second, and sound servers pause for about one. */
export const troubleMomentMs = 2_000;

/** Times of trouble that are remembered; older ones are forgotten. */
const maxSpans = 32;

export const isFleetWide = ({ total, troubled }: FleetView): boolean =>
  troubled >= minTroubledServers && troubled >= total * minTroubledShare;

interface TroubleSpan {
  readonly from: Milliseconds;
  readonly to: Milliseconds;
}

export class FleetTrouble {
  /** Oldest first. */
  private spans: readonly TroubleSpan[] = [];

  /** Records how the fleet looks now; returns whether trouble has begun. */
  note(view: FleetView, now: Milliseconds): boolean {
    if (!isFleetWide(view)) {
      return false;
    }
    const last = this.spans.at(-1);
    const goesOn = last !== undefined && now - last.to < troubleMomentMs;
    this.spans = goesOn
      ? [...this.spans.slice(0, -1), { from: last.from, to: now }]
      : [...this.spans, { from: now, to: now }].slice(-maxSpans);
    return !goesOn;
  }

  /** Whether the fleet was in trouble about that time. */
  matches(at: Milliseconds): boolean {
    return this.spans.some(
      ({ from, to }) =>
        at > from - troubleMomentMs && at < to + troubleMomentMs,
    );
  }
}
