/** Moves a running attempt to a chain without the servers that it lost. */
import type { Milliseconds, Result } from '@lycheetally/common';
import { replaceStages, type ChainStage } from '@lycheetally/decisions';
import {
  describeChainServers,
  toBalancedCall,
} from '../calls/chooseServers.js';
import { findEndOfCall } from '../calls/repeatRules.js';
import { maxChainRepairs } from '../constants.js';
import type { AttemptEvent, GatewayAttempt } from './gatewayAttempt.js';
import type { ChainUpdateAnswer } from '../ports.js';

export class AttemptRepair {
  /** Ids of the servers that the attempt lost. */
  readonly lostServers = new Set<string>();
  /** Ids of those that are known to be gone and are not replaced yet. */
  private readonly goneServers = new Set<string>();
  private repairs = 0;

  constructor(private readonly attempt: GatewayAttempt) {}

  /** Whether the event names a server that others can replace; the first server of a chain holds the connection. */
  mayRepair(event: AttemptEvent | undefined): boolean {
    const { first, chain } = this.attempt.chosen;
    return (
      this.repairs < maxChainRepairs &&
      event?.lost !== undefined &&
      event.lost !== first.record.serverId &&
      chain.some(({ server }) => server.serverId === event.lost)
    );
  }

  /** Whether the event names a server that the first server was told to replace. */
  isReplacing(event: AttemptEvent | undefined): boolean {
    return event?.lost !== undefined && this.lostServers.has(event.lost);
  }

  /** Whether other servers, known to live, can replace the one that the event names; a silent first server can't be told. */
  mayReplace(event: AttemptEvent | undefined, now: Milliseconds): boolean {
    const { chosen, silence } = this.attempt;
    return (
      event?.lost !== undefined &&
      this.mayRepair(event) &&
      !chosen.first.isSilent &&
      this.chooseChain(
        new Set([...this.lostServers, event.lost]),
        silence.proofSince,
        now,
      ) !== undefined
    );
  }

  /** Whether one of the servers to replace is known to be gone, and was not only silent. */
  get hasGoneServer(): boolean {
    return this.goneServers.size > 0;
  }

  noteLost(event: AttemptEvent | undefined): void {
    if (event?.lost !== undefined) {
      this.attempt.call.place?.noteServerLost();
      this.lostServers.add(event.lost);
      if (event.type === 'SERVER_LOST') {
        this.goneServers.add(event.lost);
      }
    }
  }

  /** The chain goes on without the servers that are gone. */
  noteRepaired(): void {
    this.goneServers.clear();
  }

  /** Sends the new chain to the first server; the attempt receives `REPAIRED` or `REPAIR_FAILED`. */
  request(now: Milliseconds): void {
    this.repairs += 1;
    if (findEndOfCall(this.attempt.call, now)) {
      this.finish('the call is over', 'REPAIR_FAILED');
      return;
    }
    const { lostServers } = this;
    const chain =
      this.chooseChain(lostServers, this.attempt.silence.proofSince, now) ??
      this.chooseChain(lostServers, -Infinity, now);
    if (!chain) {
      this.finish('no servers hold the lost layers', 'REPAIR_FAILED');
      return;
    }
    const { attempt, repairs } = this;
    attempt.servers.replaceChain(chain);
    const { services, requestId } = attempt.call;
    const { address } = attempt.chosen.first.record;
    void services.control
      .updateChain({ address, requestId, chain })
      .then(result => {
        if (repairs === this.repairs && !attempt.instance.isFinal) {
          this.receive(result);
        }
      });
  }

  private chooseChain(
    lost: ReadonlySet<string>,
    aliveSince: Milliseconds,
    now: Milliseconds,
  ): readonly ChainStage[] | undefined {
    const { call, admitted, chosen } = this.attempt;
    const balanced = toBalancedCall(call, admitted);
    if (!balanced) {
      return undefined;
    }
    const { serverRegistry, balance, homeDomain } = call.services;
    const usable = serverRegistry
      .listUsable(admitted.service.name)
      .filter(({ lastAliveAt }) => lastAliveAt >= aliveSince)
      .filter(server => !server.hasRefusedRecently(now));
    return replaceStages(balance.chainPolicy, {
      ...describeChainServers(usable, balance, now),
      ...balance.describeNeeds(balanced, now),
      model: balanced.model,
      homeDomain,
      tokens: admitted.tokens,
      excluded: call.avoided,
      chain: chosen.chain,
      lost,
    });
  }

  private receive(result: Result<ChainUpdateAnswer>): void {
    if (result.err) {
      this.finish(result.val.message, 'REPAIR_FAILED');
      return;
    }
    const { isAccepted, refusedBy } = result.val;
    if (isAccepted) {
      this.finish('', 'REPAIRED');
      return;
    }
    const { serverRegistry } = this.attempt.call.services;
    const refusing = serverRegistry.findByAddress(refusedBy ?? '');
    const reason = `the first server refused the chain ${refusedBy ?? ''}`;
    this.finish(reason, 'REPAIR_FAILED', refusing?.record.serverId);
  }

  private finish(
    reason: string,
    type: 'REPAIRED' | 'REPAIR_FAILED',
    refusedBy?: string,
  ): void {
    const { call, chosen } = this.attempt;
    const { services, requestId } = call;
    services.metrics.countRepair(type);
    services.log.info('A running call was moved to another chain.', {
      request: requestId,
      lost: [...this.lostServers].join(','),
      outcome: type,
      reason,
      stages: chosen.chain.length,
      lastEvent: call.events?.lastEventId ?? '',
    });
    this.attempt.send({ type, lost: refusedBy });
  }
}
