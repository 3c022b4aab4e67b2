/** Counts the calls that were open at a stopping gateway and the ones that it cut. */
import { countBy } from '../load/reconcile.js';
import { listViolations } from './violations.js';
import {
  SoakKind,
  type GuaranteeViolation,
  type SoakCall,
  type SoakHistory,
  type SoakRun,
  type SoakStop,
} from './types.js';

/** Calls of a soak that ran and were cut by a stop, by kind. */
export interface StopCuts {
  /** Calls that were sent after a stop signal and ran. */
  readonly takenAfterStop: number;
  readonly cutBegunBefore: Readonly<Record<string, number>>;
  readonly cutBegunAfter: Readonly<Record<string, number>>;
}

export const noCuts: StopCuts = {
  takenAfterStop: 0,
  cutBegunBefore: {},
  cutBegunAfter: {},
};

/** Largest share of the calls taken after a stop signal that may be streams which the stop cuts. */
export const maxCutShare = 0.1;

/** The guarantee that a stop cuts no larger share. */
export const fewCutsPromise =
  'a stop cuts few of the streams that are taken after its signal';

/** So few cut streams do not show a share. */
const minCountedCuts = 2;

/** A call that ran at a gateway while that was stopping. */
interface StoppedCall {
  readonly call: SoakCall;
  readonly isBegunAfter: boolean;
  readonly isCut: boolean;
}

export const countCuts = (history: SoakHistory): StopCuts => {
  const stopped = listStopped(history);
  const cut = stopped.filter(({ isCut }) => isCut);
  const countKinds = (isAfter: boolean): Record<string, number> =>
    countBy(
      cut
        .filter(({ isBegunAfter }) => isBegunAfter === isAfter)
        .map(({ call }) => call.kind),
    );
  return {
    takenAfterStop: stopped.filter(({ isBegunAfter }) => isBegunAfter).length,
    cutBegunBefore: countKinds(false),
    cutBegunAfter: countKinds(true),
  };
};

/** Checks what a stop cuts in a soak that nothing but planned work disturbed. */
export const checkCuts = (history: SoakHistory): GuaranteeViolation[] => {
  const stopped = listStopped(history);
  const after = stopped.filter(({ isBegunAfter }) => isBegunAfter);
  const cutAfter = after.filter(
    ({ call, isCut }) => isCut && call.kind === SoakKind.Stream,
  );
  const areFew =
    cutAfter.length < minCountedCuts ||
    cutAfter.length <= maxCutShare * after.length;
  return stopped.flatMap(stoppedCall =>
    listViolations(stoppedCall.call.requestId, {
      'a stop cuts no call that may not be repeated':
        !stoppedCall.isCut || stoppedCall.call.kind !== SoakKind.Booking,
      [fewCutsPromise]: areFew || !cutAfter.includes(stoppedCall),
    }),
  );
};

const listStopped = ({ calls, runs, stops }: SoakHistory): StoppedCall[] => {
  const ran = new Set(runs.map(({ requestId }: SoakRun) => requestId));
  return calls
    .filter(({ requestId }) => ran.has(requestId))
    .flatMap(call => {
      const stop = findStop(call, stops);
      return stop
        ? [{ call, isBegunAfter: call.sentAt >= stop.at, isCut: isCut(call) }]
        : [];
    });
};

/** Finds the stop during which the call was open. */
const findStop = (
  { port, sentAt, endedAt }: SoakCall,
  stops: readonly SoakStop[],
): SoakStop | undefined =>
  stops.find(
    stop => stop.port === port && sentAt < stop.exitAt && endedAt >= stop.at,
  );

const isCut = ({ status, isComplete }: SoakCall): boolean =>
  status < 200 || status >= 300 || !isComplete;
