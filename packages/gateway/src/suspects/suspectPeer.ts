/** Another gateway that gets records of suspects; context of the chart `suspectPeer`. */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import type { Address, Milliseconds, Result } from '@lycheetally/common';
import { suspectFirstPauseMs, suspectMaxPauseMs } from './exchangeConstants.js';

interface PeerEvent {
  readonly type: 'ANSWERED' | 'FAILED';
}

export type SuspectPeerMachine = ChartMachine<SuspectPeer, PeerEvent>;

export class SuspectPeer {
  /** Whether it may have missed records, so that it gets all of them next. */
  hasMissed = true;
  private failures = 0;
  private readonly chart: ChartInstance<SuspectPeer, PeerEvent>;

  constructor(
    machine: SuspectPeerMachine,
    timers: ChartTimers,
    readonly address: Address,
    now: Milliseconds,
  ) {
    this.chart = machine.createInstance(this, timers);
    this.chart.start(now);
  }

  get isReachable(): boolean {
    return this.chart.matches('reachable');
  }

  get pauseMs(): Milliseconds {
    return Math.min(
      suspectMaxPauseMs,
      suspectFirstPauseMs * 2 ** Math.max(0, this.failures - 1),
    );
  }

  noteResult(isAnswered: boolean, now: Milliseconds): void {
    this.chart.send({ type: isAnswered ? 'ANSWERED' : 'FAILED' }, now);
  }

  /** Actions of the chart. */
  readonly chartActions = {
    noteAnswered: (): void => {
      this.failures = 0;
    },
    noteFailed: (): void => {
      this.failures += 1;
      this.hasMissed = true;
    },
  };

  dispose(): void {
    this.chart.dispose();
  }
}

/** Binds the chart `suspectPeer`. Fails with `BadChart`. */
export const bindSuspectPeerChart = (): Result<SuspectPeerMachine> =>
  bindChart<SuspectPeer, PeerEvent>(ChartName.SuspectPeer, {
    actions: {
      noteAnswered: peer => {
        peer.chartActions.noteAnswered();
      },
      noteFailed: peer => {
        peer.chartActions.noteFailed();
      },
    },
    guards: {},
    delays: { PAUSE: peer => peer.pauseMs },
  });
