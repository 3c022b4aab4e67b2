/** What the beginning of a streamed answer takes of the gateway's memory, and when its first byte counts as sent. */
import { expect, it, vi } from 'vitest';
import { AttemptAnswer } from '../src/attempt/attemptAnswer.js';
import { EventStream } from '../src/attempt/eventStream.js';
import type { BackendHead } from '../src/backendPort.js';
import type { GatewayAttempt } from '../src/attempt/gatewayAttempt.js';

const maxEventBytes = 100_000;

const head = {
  status: 200,
  fields: { requestId: 'r-1', isAuthentic: true, forwarded: [] },
} as unknown as BackendHead;

const createAnswer = (): {
  answer: AttemptAnswer;
  call: Record<string, unknown>;
  reserve: ReturnType<typeof vi.fn>;
} => {
  const reserve = vi.fn(() => []);
  const call: Record<string, unknown> = {
    requestId: 'r-1',
    services: {
      getMoment: () => ({ monotonic: 7 }),
      bufferMemory: { reserve },
    },
    caller: {
      startResponse: () => ({ err: false }),
      setDrainListener: () => undefined,
      write: () => true,
    },
    lastActivityAt: 3,
    noteEventsSent: () => undefined,
  };
  const attempt = {
    call,
    silence: {
      noteActivity: vi.fn(),
      noteByte: vi.fn(),
      noteEvent: vi.fn(),
    },
    chosen: { first: { record: { serverId: 'i-1' } } },
    admitted: { route: { isStream: true } },
    progress: { noteEvents: vi.fn() },
    pace: { noteEvents: vi.fn(), noteHeld: vi.fn() },
    noteIntake: vi.fn(),
  } as unknown as GatewayAttempt;
  const answer = new AttemptAnswer(attempt);
  call.attempt = attempt;
  answer.events = new EventStream(maxEventBytes);
  answer.handleHead(head);
  return { answer, call, reserve };
};

// Guards against bytes without end that no limit counts.
it('a first event that has not ended counts with the comments before it', () => {
  const { answer, reserve } = createAnswer();
  const event = 'x'.repeat(20_000);
  answer.handleBody(Buffer.from(`: comment\n\n${event}`));
  const [, bytes] = reserve.mock.lastCall as unknown as [unknown, number];
  expect(bytes).toBeGreaterThan(event.length);
});

// Guards against a time to the first byte that leaves out the wait for the first event.
it('the first byte counts as sent with the first event', () => {
  const { answer, call } = createAnswer();
  answer.handleBody(Buffer.from('id: 1\ndata: 1\n\n'));
  expect(call.firstByteAt).toBe(7);
});
