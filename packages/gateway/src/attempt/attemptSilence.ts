/**
 * What the silence of an attempt's servers tells: when to ask them, which of them holds the
 * attempt up, and since when another server must have shown that it lives.
 */
import type { Milliseconds } from '@lycheetally/common';
import { isSilenceShared } from '@lycheetally/decisions';
import {
  firstStallCheckMs,
  lossSilenceMs,
  maxPatienceMs,
  maxStallCheckMs,
  plainStreamCheckMs,
  streamStallCheckMs,
} from '../constants.js';
import type { ProofOfLife } from '../calls/chooseServers.js';
import type { GatewayAttempt } from './gatewayAttempt.js';
import type { Server } from '../servers/server.js';

export class AttemptSilence {
  /** Id of the server at which the chain has stalled, as its first server said since the last event. */
  stalledServer: string | undefined;
  /** When the attempt last made progress: an event of a stream, a byte of another answer. */
  private lastActivityAt: Milliseconds;
  private lastByteAt: Milliseconds;
  /** When the attempt was last found to be sound, or could only wait. */
  private checkedAt: Milliseconds = -Infinity;
  /** Checks since the last progress that changed nothing. */
  private checks = 0;

  constructor(
    private readonly attempt: GatewayAttempt,
    startedAt: Milliseconds,
  ) {
    this.lastActivityAt = startedAt;
    this.lastByteAt = startedAt;
  }

  noteActivity(now: Milliseconds): void {
    this.lastActivityAt = now;
    this.attempt.call.lastActivityAt = now;
    this.noteByte(now);
  }

  noteByte(now: Milliseconds): void {
    this.noteEnd(now);
    this.lastByteAt = now;
    this.noteAlive(this.attempt.chosen.first, now);
  }

  /** Notes an event of a stream, which has passed all servers of the chain. */
  noteEvent(now: Milliseconds): void {
    this.noteActivity(now);
    this.stalledServer = undefined;
    for (const server of this.attempt.servers.stages) {
      this.noteAlive(server, now);
    }
  }

  noteChecked(now: Milliseconds): void {
    this.checks += 1;
    this.checkedAt = now;
  }

  noteRepaired(now: Milliseconds): void {
    this.checks = 0;
    this.stalledServer = undefined;
    this.lastActivityAt = now;
  }

  /** Records how long the server has sent nothing, at the end of a silence or of the attempt. */
  noteEnd(now: Milliseconds): void {
    const { call } = this.attempt;
    call.longestSilenceMs = Math.max(call.longestSilenceMs, this.measure(now));
  }

  /** Measures the time since the last byte. */
  measure(now: Milliseconds): Milliseconds {
    return now - this.lastByteAt;
  }

  /** Whether the attempt made no progress in the given time. */
  isSilentFor(silenceMs: Milliseconds, now: Milliseconds): boolean {
    return now - this.lastActivityAt >= silenceMs;
  }

  isCheckDue(now: Milliseconds): boolean {
    return now >= this.nextCheckAt;
  }

  computeCheckDelay(now: Milliseconds): Milliseconds {
    return Math.max(1, this.nextCheckAt - now);
  }

  /** Whether a server that answers other questions has stalled the attempt. */
  hasStalled(now: Milliseconds): boolean {
    return now - this.stalledSince >= this.stallLimitMs;
  }

  /** Whether the call waits for a plain server's pause to end rather than run twice; the caller of a stream notices the wait. */
  isPatient(now: Milliseconds): boolean {
    const { chosen, admitted } = this.attempt;
    return (
      chosen.chain.length === 0 &&
      !admitted.route.isStream &&
      chosen.first.isSilent &&
      this.measure(now) < maxPatienceMs &&
      admitted.deadlineAt - now > maxPatienceMs
    );
  }

  /** Whether most servers are silent or slow at once, so that another run would only add to their load. */
  isShared(now: Milliseconds): boolean {
    const { call, admitted } = this.attempt;
    const { total, troubled } = call.services.serverRegistry.describeTrouble(
      admitted.service.name,
      now,
    );
    return isSilenceShared({ total, troubled: troubled.length });
  }

  /** Whether it is as long as that of a server that counts as lost. */
  isAsLongAsLoss(now: Milliseconds): boolean {
    return this.measure(now) >= lossSilenceMs;
  }

  /** Returns the id of the server that holds the attempt up: a plain one itself, the one where its chain stalled, or a silent one. */
  findSilentServer(): string | undefined {
    const { first, chain } = this.attempt.chosen;
    return chain.length === 0
      ? first.record.serverId
      : (this.stalledServer ?? this.listSilent()[0]?.record.serverId);
  }

  /** Which servers are known not to share the silence of this attempt's servers. */
  get proof(): ProofOfLife {
    return { since: this.proofSince, without: this.findSilentServer() };
  }

  /** A server that has shown since then that it lives does not share the silence of this attempt's servers. */
  get proofSince(): Milliseconds {
    const askedAt = this.listSilent().map(server => server.askedAt);
    return Math.max(this.lastByteAt, ...askedAt);
  }

  private listSilent(): readonly Server[] {
    const { chosen, servers } = this.attempt;
    return [chosen.first, ...servers.stages].filter(({ isSilent }) => isSilent);
  }

  private noteAlive(server: Server, now: Milliseconds): void {
    server.noteProof(now);
    if (server.isSilent) {
      this.attempt.call.services.postCompletion(readAt => {
        server.noteAlive(readAt);
      });
    }
  }

  private get nextCheckAt(): Milliseconds {
    return Math.max(this.quietSince, this.checkedAt) + this.checkAfterMs;
  }

  private get checkAfterMs(): Milliseconds {
    const { chosen, answer } = this.attempt;
    if (chosen.chain.length === 0) {
      return answer.isStreamed
        ? this.plainStreamCheckAfterMs
        : this.stallLimitMs;
    }
    if (chosen.first.isSilent) {
      return streamStallCheckMs;
    }
    const first = answer.isStreamed ? streamStallCheckMs : firstStallCheckMs;
    return Math.min(maxStallCheckMs, first * 2 ** this.checks);
  }

  /** The second check comes when the stream has been silent for `maxStallCheckMs`. */
  private get plainStreamCheckAfterMs(): Milliseconds {
    return this.checks === 0
      ? plainStreamCheckMs
      : maxStallCheckMs - plainStreamCheckMs;
  }

  /** Time without progress after which an attempt at a plain server that answers other questions has stalled. */
  private get stallLimitMs(): Milliseconds {
    const { admitted, answer } = this.attempt;
    return answer.isStreamed ? maxStallCheckMs : admitted.route.targetMs;
  }

  /** Since when a sound server would have had to say something; one that was silent needs time to go on. */
  private get quietSince(): Milliseconds {
    return Math.max(this.lastActivityAt, this.attempt.chosen.first.returnedAt);
  }

  /** Since when the server works and says nothing to this attempt; at the first check it may be just back from a pause. */
  private get stalledSince(): Milliseconds {
    const { first } = this.attempt.chosen;
    return this.checks === 0
      ? Math.max(this.quietSince, first.heardAgainAt)
      : this.quietSince;
  }
}
