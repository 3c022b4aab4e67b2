/** Connects an entry's claims to its event loop, the log and the agents. */
import type { ChartTimers } from '@lycheetally/charts';
import type { Milliseconds, ComponentLogger } from '@lycheetally/common';
import type { AppendBatchPolicy } from '@lycheetally/decisions';
import type { Hello, PeerMessage } from '@lycheetally/protocol';
import type { EventLog } from '../eventLog.js';
import type { EventHandlers } from '@lycheetally/node';
import type { LogPort } from '../ports/platform.js';
import {
  defaultClaimSettings,
  type ClaimLogEvents,
  type ClaimSettings,
} from './claimLog.js';
import { SendResult } from './claimContext.js';
import { EntryClaims } from './entryClaims.js';

/** What claims use of the members of an entry. */
export interface ClaimMembers {
  findByServer(serverId: string):
    | {
        readonly channel: {
          readonly isOpen: boolean;
          send(message: PeerMessage): void;
        };
        readonly hello: Hello | undefined;
      }
    | undefined;
}

/** What claims use of an entry. */
export interface ClaimEnvironment {
  readonly loop: ChartTimers & {
    post<K extends keyof ClaimLogEvents>(
      kind: K,
      payload: ClaimLogEvents[K],
    ): void;
  };
  readonly logPort: LogPort;
  readonly appendBatching: AppendBatchPolicy;
  readonly events: EventLog;
  readonly log: ComponentLogger;
  readonly members: ClaimMembers;
}

/** Creates the claims of an entry. Throws `BadChart`. */
export const createEntryClaims = (
  environment: ClaimEnvironment,
  settings: ClaimSettings | undefined,
  now: Milliseconds,
): EntryClaims => {
  const { loop, logPort, appendBatching, events, log, members } = environment;
  return new EntryClaims(
    settings ?? defaultClaimSettings,
    {
      timers: loop,
      logPort,
      appendBatching,
      events,
      log,
      postClaimRead: (reader, read) => {
        loop.post('claimRead', { reader, read });
      },
      postClaimAppended: (writer, appended) => {
        loop.post('claimAppended', { writer, appended });
      },
      sendToAgent: (serverId, incarnation, message) =>
        sendToAgent(members, serverId, incarnation, message),
    },
    now,
  );
};

/** Creates the event-loop handlers of the claims streams. */
export const createClaimHandlers = (): EventHandlers<ClaimLogEvents> => ({
  claimRead: ({ reader, read }, now) => {
    reader.receiveRead(read, now);
  },
  claimAppended: ({ writer, appended }, now) => {
    writer.receiveAppended(appended, now);
  },
});

const sendToAgent = (
  members: ClaimMembers,
  serverId: string,
  incarnation: string,
  message: PeerMessage,
): SendResult => {
  const member = members.findByServer(serverId);
  if (!member?.channel.isOpen) {
    return SendResult.Unreachable;
  }
  if (member.hello?.incarnation !== incarnation) {
    return SendResult.Restarted;
  }
  member.channel.send(message);
  return SendResult.Sent;
};
