/** Latency and throughput of the links between failure domains. */
import { millisecondsPerSecond, type Milliseconds } from '@lycheetally/common';

/** A link between two failure domains, the same in both directions. */
export interface LinkRule {
  readonly from: string;
  readonly to: string;
  readonly delayMs: Milliseconds;
  /** Milliseconds that the activations of one token occupy the link; 0 means unlimited throughput. */
  readonly tokenMs: Milliseconds;
}

const defaultLocalLink = { delayMs: 0.2, tokenMs: 0 };
const defaultRemoteLink = { delayMs: 1, tokenMs: 0 };

export class LinkTable {
  private readonly links = new Map<string, LinkRule>();

  constructor(rules: readonly LinkRule[] = []) {
    for (const rule of rules) {
      this.links.set(formatPair(rule.from, rule.to), rule);
    }
  }

  /** Returns the milliseconds to transfer the activations of the given number of tokens. */
  estimateDelay(from: string, to: string, tokens: number): Milliseconds {
    const link = this.find(from, to);
    return link.delayMs + link.tokenMs * tokens;
  }

  /** Returns the number of tokens per second whose activations the link can carry. */
  computeCapacity(from: string, to: string): number {
    const { tokenMs } = this.find(from, to);
    return tokenMs > 0 ? millisecondsPerSecond / tokenMs : Infinity;
  }

  private find(
    from: string,
    to: string,
  ): Pick<LinkRule, 'delayMs' | 'tokenMs'> {
    const known = this.links.get(formatPair(from, to));
    return known ?? (from === to ? defaultLocalLink : defaultRemoteLink);
  }
}

const formatPair = (from: string, to: string): string =>
  from < to ? `${from} ${to}` : `${to} ${from}`;
