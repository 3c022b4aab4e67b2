/** Guards against calls that stay in the queue, or are sent, after their caller has left or their time is over. */
import { QueueDecision, RunEnd } from '@lycheetally/decisions';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayMetrics } from '../src/gatewayMetrics.js';
import { AdaptivePlaces, type CallPlace } from '../src/waiting/index.js';
import { createRecord, service } from './emulatedServers.js';
import { RunEmulator } from './runEmulator.js';

const modelService = {
  ...service,
  model: {
    layers: 4,
    layerMegabytes: 1,
    cacheBytesPerToken: 1,
    stepMs: 1,
    stepMsPerRequest: 0,
    stepMsPerContextK: 0,
    kinds: [{ name: 'card', memoryMegabytes: 1_000, stepFactor: 1 }],
  },
};

/** Calls that take all places of a gateway that has just started. */
const placeCount = 32;

const createView = (id: string): Parameters<CallPlace['decide']>[0] => ({
  id,
  service: 'desk',
  urgency: 0,
  account: '',
  kind: 'talk',
  arrivedAt: 0,
  targetAt: 400,
  deadlineAt: 10_000,
  expectedTokens: 20,
  spentTokens: 0,
  isUnderWay: false,
  refusals: 0,
  toldAt: undefined,
  targets: { firstMs: 400, pauseMs: 300 },
  bytes: 0,
});

describe('a call beyond the limit', () => {
  let others: CallPlace[];
  let emulator: RunEmulator;

  const start = (timeoutMs = 10_000): void => {
    emulator = new RunEmulator({
      isStream: true,
      service: modelService,
      servers: [createRecord({ from: 0, to: 4 }, 1)],
      maxAttempts: 2,
      timeoutMs,
      createPlaces: (timers, postCompletion) => {
        const places = new AdaptivePlaces({
          timers,
          metrics: new GatewayMetrics(),
          getRandom: () => 0.5,
          postCompletion,
        });
        others = Array.from({ length: placeCount }, (_, at) => {
          const place = places.createPlace(modelService, () => String(at), {
            handleGranted: () => undefined,
            handleRefused: () => undefined,
          });
          if (!place) {
            throw new Error('a model service has places');
          }
          expect(place.decide(createView(place.id), 0)).toBe(QueueDecision.Run);
          return place;
        });
        return places;
      },
    });
  };

  beforeEach(() => {
    others = [];
  });

  afterEach(() => {
    emulator.dispose();
  });

  it('waits, and runs when another one ends', async () => {
    start();
    await emulator.advance(50);
    expect(emulator.call.instance?.state).toBe('open.queued');
    expect(emulator.backend.runs).toHaveLength(0);
    others[0]?.end(RunEnd.Complete, emulator.time.now);
    await emulator.runTurn();
    expect(emulator.backend.runs).toHaveLength(1);
  });

  it('is refused once its place would come too late', async () => {
    start();
    await emulator.advance(600);
    expect(emulator.hasEnded).toBe(true);
    expect(emulator.call.place?.refusal?.reason).toBe('late');
    expect(emulator.backend.runs).toHaveLength(0);
  });

  it('leaves the queue when its caller leaves', async () => {
    start();
    await emulator.advance(50);
    emulator.caller.hasLeft = true;
    emulator.call.instance?.send(
      { type: 'CALLER_DISCONNECTED' },
      emulator.time.now,
    );
    expect(emulator.hasEnded).toBe(true);
    others.forEach(place => {
      place.end(RunEnd.Complete, emulator.time.now);
    });
    await emulator.advance(2_000);
    expect(emulator.backend.runs).toHaveLength(0);
  });

  it('is not sent if its caller leaves between the grant and its turn', async () => {
    start();
    await emulator.advance(50);
    others[0]?.end(RunEnd.Complete, emulator.time.now);
    emulator.caller.hasLeft = true;
    await emulator.runTurn();
    expect(emulator.hasEnded).toBe(true);
    expect(emulator.backend.runs).toHaveLength(0);
  });

  it('ends at its deadline, and nothing is sent after it', async () => {
    start(100);
    await emulator.advance(150);
    expect(emulator.hasEnded).toBe(true);
    others.forEach(place => {
      place.end(RunEnd.Complete, emulator.time.now);
    });
    await emulator.advance(1_000);
    expect(emulator.backend.runs).toHaveLength(0);
  });
});
