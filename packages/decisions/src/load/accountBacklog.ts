/**
 * The cost of the queued work of each account in a fair queue.
 *
 * In a queue that is fair between accounts, the wait of an account depends on
 * its own backlog and its share of the service rate, not on how much work other
 * accounts have queued.
 */

interface Backlog {
  cost: number;
  weight: number;
}

export class AccountBacklog {
  private readonly accounts = new Map<string, Backlog>();
  private totalCost = 0;
  private totalWeight = 0;

  add(account: string, cost: number, weight = 1): void {
    const known = this.accounts.get(account);
    this.totalCost += cost;
    if (known) {
      known.cost += cost;
      return;
    }
    this.accounts.set(account, { cost, weight });
    this.totalWeight += weight;
  }

  remove(account: string, cost: number): void {
    const known = this.accounts.get(account);
    if (!known) {
      return;
    }
    known.cost -= cost;
    this.totalCost -= cost;
    if (known.cost <= 0) {
      this.accounts.delete(account);
      this.totalWeight -= known.weight;
    }
  }

  /** Returns the wait of an account as a multiple of the wait of the whole queue. */
  computeWaitFactor(account: string): number {
    const known = this.accounts.get(account);
    if (!known || this.totalCost <= 0) {
      return 0;
    }
    const share = known.cost / this.totalCost;
    return (share * this.totalWeight) / known.weight;
  }
}
