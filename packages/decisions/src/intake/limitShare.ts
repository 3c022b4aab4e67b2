/**
 * Divides the limit of a backend server among the gateways that send to it.
 *
 * Load pattern: a server in need takes a few requests a second from all gateways
 * together, fewer than there are gateways in a large fleet. No gateway knows how much
 * the others send, and their views of each other differ for seconds, so shares that are
 * computed from different views must add up to hardly more than the limit.
 */
import { isFirstByRendezvous, type Milliseconds } from '@lycheetally/common';

/** What a gateway knows when it computes its share. */
export interface LimitView {
  readonly serverId: string;
  /** Requests per second that the server takes from all gateways. */
  readonly limitPerSecond: number;
  readonly ownId: string;
  /** Ids of the known gateways, the own one and some that are gone among them; another array after each change. */
  readonly gateways: readonly string[];
  /** This gateway's share of all live gateways, from 0 to 1; 0 while it is unknown. */
  readonly groupShare: number;
  /** Time of day, in Unix milliseconds. */
  readonly wallClock: Milliseconds;
}

/** Strategy that divides a limit. */
export abstract class LimitShare {
  /** Returns this gateway's part of the limit, from 0 to 1. */
  abstract computeShare(view: LimitView): number;
}

/** Baseline: each known gateway has the same part. */
export class EqualLimitShare extends LimitShare {
  override computeShare({ gateways }: LimitView): number {
    return 1 / Math.max(1, gateways.length);
  }
}

/** Requests per second below which a part is not worth having: calls would wait too long for their turn. */
const minRatePerSecond = 1;

/** How long the same gateways have a part of a limit that is too low for all. */
const turnMs = 20_000;

/**
 * Each gateway has the same part of a limit that is high enough; of a lower one, a few
 * gateways have parts by turns. Rendezvous hashing chooses them without any agreement,
 * and others for each server.
 */
export class RotatingLimitShare extends LimitShare {
  /** Whether this gateway has a part, by server; computed once a turn. */
  private readonly chosen = new Map<string, ChosenPart>();
  private turn = 0;

  override computeShare(view: LimitView): number {
    const count = Math.max(
      1,
      Math.floor(view.limitPerSecond / minRatePerSecond),
    );
    const gatewayCount = view.gateways.length;
    if (count >= gatewayCount) {
      return view.groupShare > 0
        ? view.groupShare
        : 1 / Math.max(1, gatewayCount);
    }
    return this.hasPart(view, count) ? 1 / count : 0;
  }

  private hasPart(view: LimitView, count: number): boolean {
    const { serverId, ownId, gateways } = view;
    const turn = Math.floor(view.wallClock / turnMs);
    if (turn !== this.turn) {
      this.chosen.clear();
      this.turn = turn;
    }
    const known = this.chosen.get(serverId);
    if (known?.gateways === gateways && known.count === count) {
      return known.isChosen;
    }
    const key = `${serverId} ${String(turn)}`;
    const isChosen = isFirstByRendezvous(key, ownId, gateways, count);
    this.chosen.set(serverId, { gateways, count, isChosen });
    return isChosen;
  }
}

interface ChosenPart {
  readonly gateways: readonly string[];
  readonly count: number;
  readonly isChosen: boolean;
}
