/** Checks that gateways refuse no call for planned work at other places, or since sound servers pause. */
import { listViolations } from './violations.js';
import type { GuaranteeViolation, SoakCall, SoakHistory } from './types.js';

/** Time in which a gateway process starts, in milliseconds. */
const startingMs = 3_000;

export const checkRefusal = (
  call: SoakCall,
  { stops }: SoakHistory,
): GuaranteeViolation[] => {
  const { port, sentAt, endedAt, status } = call;
  const isExcused = stops.some(
    stop =>
      stop.port === port &&
      endedAt >= stop.at &&
      sentAt <= stop.exitAt + startingMs,
  );
  return listViolations(call.requestId, {
    'a gateway that neither stops nor starts refuses no call':
      status !== 503 || isExcused,
  });
};
