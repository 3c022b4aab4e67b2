/**
 * Replicates the configuration between nodes over peer channels.
 *
 * When a channel opens, each side announces the version that it holds, and the
 * side with the older one requests the newer. Afterwards entries send the edits
 * of each new version to their agents. An entry that starts while the log is
 * unavailable can thus get the last accepted configuration from any agent.
 */
import type { Milliseconds } from '@lycheetally/common';
import {
  applyStep,
  computeEdits,
  emptyConfiguration,
  isAhead,
  toPosition,
  type ConfigState,
} from '@lycheetally/decisions';
import { MessageKind, type PeerMessage } from '@lycheetally/protocol';
import type { PeerChannel } from '../peers/peerChannel.js';
import type { ConfigStateChange } from './configFollower.js';
import { decodeEdits, decodeState, encodeState } from './recordCodec.js';

/** Access to the configuration that a node holds. */
export interface ConfigSyncOwner {
  getState(): ConfigState | undefined;
  /** Adopts a peer's state if it is newer than the node's own. */
  applyPeerState(state: ConfigState, now: Milliseconds): void;
}

export class ConfigSync {
  constructor(private readonly owner: ConfigSyncOwner) {}

  /** Announces to a peer the version that this node holds. */
  handleOpen(channel: PeerChannel): void {
    const value = toPosition(this.owner.getState());
    if (value.version > 0) {
      channel.send({ kind: MessageKind.ConfigNotice, value });
    }
  }

  /** Handles a configuration message; returns false for any other message. */
  receive(
    channel: PeerChannel,
    message: PeerMessage,
    now: Milliseconds,
  ): boolean {
    switch (message.kind) {
      case MessageKind.ConfigNotice:
        this.reconcileWith(channel, message.value);
        return true;
      case MessageKind.ConfigRequest:
        this.answerRequest(channel);
        return true;
      case MessageKind.ConfigHandover:
        this.receiveState(decodeState(message.value.state), now);
        return true;
      case MessageKind.ConfigStep:
        this.receiveStep(channel, message, now);
        return true;
      default:
        return false;
    }
  }

  /** Sends the edits between two states over the channels. */
  sendStateChange(
    change: ConfigStateChange,
    channels: Iterable<Pick<PeerChannel, 'send'>>,
  ): void {
    const message = createStepMessage(change);
    for (const channel of channels) {
      channel.send(message);
    }
  }

  private reconcileWith(
    channel: PeerChannel,
    remote: { lineage: string; through: number; version: number },
  ): void {
    const own = toPosition(this.owner.getState());
    if (isAhead(own, remote)) {
      channel.send({ kind: MessageKind.ConfigRequest, value: own });
    } else if (isAhead(remote, own)) {
      channel.send({ kind: MessageKind.ConfigNotice, value: own });
    }
  }

  private answerRequest(channel: PeerChannel): void {
    const state = this.owner.getState();
    if (state) {
      const value = { state: encodeState(state) };
      channel.send({ kind: MessageKind.ConfigHandover, value });
    }
  }

  private receiveStep(
    channel: PeerChannel,
    message: Extract<PeerMessage, { kind: 'configStep' }>,
    now: Milliseconds,
  ): void {
    const { value } = message;
    const edits = decodeEdits(value.edits);
    const own = this.owner.getState();
    const next = edits && applyStep(own, { ...value, edits });
    if (next) {
      this.owner.applyPeerState(next, now);
      return;
    }
    this.reconcileWith(channel, value);
  }

  private receiveState(
    state: ConfigState | undefined,
    now: Milliseconds,
  ): void {
    if (state) {
      this.owner.applyPeerState(state, now);
    }
  }
}

const createStepMessage = ({
  before,
  after,
}: ConfigStateChange): PeerMessage => {
  const from = before?.configuration ?? emptyConfiguration;
  return {
    kind: MessageKind.ConfigStep,
    value: {
      ...toPosition(after),
      baseVersion: from.version,
      throughHash: after.throughHash ?? 0,
      changeId: after.changeId,
      author: after.author,
      edits: JSON.stringify(computeEdits(from, after.configuration)),
    },
  };
};
