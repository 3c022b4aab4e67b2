/**
 * How much of the links between failure domains is in use, as this gateway estimates it
 * from its own recent calls, assuming that each gateway sends as much over them.
 */
import type { Milliseconds } from '@lycheetally/common';
import { DecayingSum } from '../load/decayingSum.js';
import type { ChainStage } from '../placement/chainChoice.js';
import type { LayeredModel } from '../placement/types.js';
import { computeTransferMs } from './chainUse.js';
import { linkHalfLifeMs } from './constants.js';

export class LinkUse {
  /** Milliseconds of recent transfers by pair of failure domains; there are few pairs. */
  private readonly transfers = new Map<string, DecayingSum>();

  /** Records a call that was sent to the chain; `tokens` are those of its prompt and its expected answer. */
  noteSent(
    model: LayeredModel,
    stages: readonly ChainStage[],
    tokens: number,
    now: Milliseconds,
  ): void {
    let before: string | undefined;
    for (const { server } of stages) {
      const { failureDomain } = server;
      if (before !== undefined && before !== failureDomain) {
        const link = formatLink(before, failureDomain);
        const sum = this.transfers.get(link) ?? new DecayingSum(linkHalfLifeMs);
        this.transfers.set(link, sum);
        sum.add(computeTransferMs(model, tokens), now);
      }
      before = failureDomain;
    }
  }

  /** Estimates the share of the link that all gateways use, from 0 to 1 or more. */
  estimate(
    from: string,
    to: string,
    gateways: number,
    now: Milliseconds,
  ): number {
    const sum = this.transfers.get(formatLink(from, to));
    return (sum?.computeRate(now) ?? 0) * gateways;
  }
}

/** Both directions share the link. */
const formatLink = (from: string, to: string): string =>
  from < to ? `${from} ${to}` : `${to} ${from}`;
