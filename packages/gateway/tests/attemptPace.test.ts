/** Pauses of streams that tell of the pace of servers. */
import { expect, it, vi } from 'vitest';
import { AttemptPace } from '../src/attempt/attemptPace.js';
import type { GatewayAttempt } from '../src/attempt/gatewayAttempt.js';

// Guards against servers that count as slow because a caller reads slowly.
it('counts no pause before the first event, nor one behind a slow caller', () => {
  const notePause = vi.fn();
  const attempt = {
    call: {
      services: { balance: { notePause } },
      received: { fields: { promptTokens: 800 } },
    },
    admitted: { service: { model: {} }, route: { targetMs: 500 } },
    chosen: { chain: [], stageMs: [] },
  } as unknown as GatewayAttempt;
  const pace = new AttemptPace(attempt);
  pace.noteEvents(1, 1_000);
  expect(notePause).not.toHaveBeenCalled();
  pace.noteEvents(2, 1_100);
  expect(notePause.mock.lastCall?.[2]).toBe(50);
  pace.noteHeld();
  pace.noteEvents(1, 9_000);
  expect(notePause).toHaveBeenCalledTimes(1);
  pace.noteEvents(1, 9_040);
  expect(notePause.mock.lastCall?.[2]).toBe(40);
});
