/** Connects the chart `callerConnection` to the methods of `CallerConnection`. */
import { ChartName, bindChart, type ChartMachine } from '@lycheetally/charts';
import type { Result } from '@lycheetally/common';
import type { CallerConnection } from './callerConnection.js';
import { lingerTimeoutMs } from '../constants.js';

export interface ConnectionEvent {
  readonly type:
    | 'REQUEST'
    | 'ENDED'
    | 'DRAIN'
    | 'READ'
    | 'HEAD_OVERDUE'
    | 'MALFORMED'
    | 'CLOSE'
    | 'LOST';
  /** Response to what is malformed. */
  readonly refusal?: string;
}

export type ConnectionMachine = ChartMachine<CallerConnection, ConnectionEvent>;

/** Binds the chart `callerConnection`. Fails with `BadChart`. */
export const bindConnectionChart = (): Result<ConnectionMachine> =>
  bindChart<CallerConnection, ConnectionEvent>(ChartName.CallerConnection, {
    actions: {
      noteQuiet: (connection, _, now) => {
        connection.chartActions.noteQuiet(now);
      },
      awaitRead: connection => {
        connection.chartActions.awaitRead();
      },
      keepRefusal: (connection, event) => {
        connection.chartActions.keepRefusal(event);
      },
      keepTimeoutRefusal: connection => {
        connection.chartActions.keepTimeoutRefusal();
      },
      sendRefusal: connection => {
        connection.chartActions.sendRefusal();
      },
      noteIdleClose: connection => {
        connection.chartActions.noteIdleClose();
      },
      noteDrainClose: connection => {
        connection.chartActions.noteDrainClose();
      },
      halfClose: connection => {
        connection.chartActions.halfClose();
      },
      destroySocket: connection => {
        connection.chartActions.destroySocket();
      },
    },
    guards: {
      hasNewBytes: connection => connection.chartActions.hasNewBytes(),
      hasIdleTime: (connection, _, now) =>
        connection.chartActions.computeIdleTime(now) > 0,
      hasRefusal: connection => connection.chartActions.hasRefusal(),
      hasCallerLeft: connection => connection.hasCallerLeft,
      isDraining: connection => connection.chartActions.isDraining(),
    },
    delays: {
      IDLE_TIMEOUT: (connection, now) =>
        connection.chartActions.computeIdleTime(now),
      HEAD_TIMEOUT: connection => connection.chartActions.computeHeadTimeout(),
      LINGER_TIMEOUT: () => lingerTimeoutMs,
    },
  });
