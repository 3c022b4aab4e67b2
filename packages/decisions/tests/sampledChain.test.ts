/** The choice among sampled chains in fleets and with configurations at the limits of what may occur. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  CheapestChain,
  SampledChain,
  type ChainRequest,
  type LayeredModel,
  type StageServer,
} from '../src/index.js';

const layers = 12;

const models: fc.Arbitrary<LayeredModel> = fc.record({
  layers: fc.constant(layers),
  layerMegabytes: fc.constantFrom(10, 1_000),
  cacheBytesPerToken: fc.constant(1_000),
  stepMs: fc.constantFrom(0.001, 10),
  stepMsPerRequest: fc.constantFrom(0, 1),
  stepMsPerContextK: fc.constantFrom(0, 1),
  kinds: fc.constantFrom(
    [],
    [{ name: 'large', memoryMegabytes: 8_000, stepFactor: 1 }],
  ),
  tokensPerEvent: fc.constantFrom(undefined, 4),
  readTokensPerSecond: fc.constantFrom(undefined, 1_000),
  link: fc.constantFrom(undefined, {
    activationBytes: 1e6,
    megabitsPerSecond: 1e-3,
  }),
  usual: fc.constantFrom(undefined, { prompt: 0, answer: 0.5 }),
});

const servers: fc.Arbitrary<StageServer[]> = fc
  .array(
    fc.record({
      failureDomain: fc.constantFrom('a', 'b', 'c'),
      kind: fc.constantFrom('large', 'unknown'),
      slots: fc.constantFrom(0, 1, 20),
      from: fc.nat(layers - 1),
      size: fc.integer({ min: 0, max: layers }),
    }),
    { maxLength: 24 },
  )
  .map(list =>
    list.map(({ from, size, ...rest }, at) => ({
      ...rest,
      serverId: `i-${String(at)}`,
      address: 'x:1',
      isBusy: false,
      range: { from, to: Math.min(layers, from + size) },
    })),
  );

const requests = fc.record({
  model: models,
  servers,
  tokens: fc.constantFrom(0, 500, 1e7),
  promptTokens: fc.constantFrom(undefined, 0, 700),
  from: fc.constantFrom<number[]>(0, 0, 0, 5),
  used: fc.constantFrom(0, 1e4, 1e12),
  ratio: fc.constantFrom(0.5, 1, 16),
  linkUse: fc.constantFrom(0, 0.5, 7),
  excluded: fc.constantFrom<string[]>([], ['i-0', 'i-3']),
  notFirst: fc.constantFrom<string[]>([], ['i-1', 'i-2']),
});

describe('SampledChain', () => {
  // Guards against a refusal though a chain exists, a server that runs two stages, and figures that are no numbers.
  it('finds a whole chain of different servers whenever there is one', () => {
    fc.assert(
      fc.property(requests, fc.integer(), (drawn, seed) => {
        const { used, ratio, linkUse, from, promptTokens } = drawn;
        const request: ChainRequest = {
          model: drawn.model,
          servers: drawn.servers,
          homeDomain: 'a',
          tokens: drawn.tokens,
          excluded: new Set(drawn.excluded),
          notFirst: new Set(drawn.notFirst),
          layers: { from, to: layers },
          getLoad: () => ({
            layerTokens: used,
            firstStageRequests: 1,
            stepTimeRatio: ratio,
          }),
          getLinkUse: () => linkUse,
          ...(promptTokens === undefined ? {} : { promptTokens }),
        };
        const cheapest = new CheapestChain().chooseChain(request);
        const chosen = new SampledChain(seed).chooseChain(request);
        expect(chosen !== undefined).toBe(cheapest !== undefined);
        if (!chosen) {
          return;
        }
        let next = from;
        for (const { range, server } of chosen.stages) {
          expect(range.from).toBe(next);
          expect(range.to).toBeGreaterThan(range.from);
          expect(server.range?.from).toBeLessThanOrEqual(range.from);
          expect(server.range?.to).toBeGreaterThanOrEqual(range.to);
          expect(request.excluded.has(server.serverId)).toBe(false);
          next = range.to;
        }
        expect(next).toBe(layers);
        const ids = chosen.stages.map(({ server }) => server.serverId);
        expect(new Set(ids).size).toBe(ids.length);
        const [first] = ids;
        expect(from === 0 && request.notFirst?.has(first ?? '')).toBe(false);
        expect(Number.isFinite(chosen.tokenMs)).toBe(true);
        expect(chosen.stageMs?.every(Number.isFinite)).toBe(true);
      }),
      { seed: 5, numRuns: 3_000 },
    );
  });

  // Guards against draws that miss the few servers with room, so that calls wait or displace others although there is room.
  it('finds the chain with room among 200 servers of which 190 are full', () => {
    const stages = 10;
    const model: LayeredModel = {
      layers: 4 * stages,
      layerMegabytes: 100,
      cacheBytesPerToken: 1_000,
      stepMs: 10,
      stepMsPerRequest: 0.1,
      stepMsPerContextK: 0.1,
      kinds: [{ name: 'large', memoryMegabytes: 8_000, stepFactor: 1 }],
    };
    const fleet = Array.from({ length: 20 * stages }, (_, at): StageServer => {
      const from = 4 * (at % stages);
      return {
        serverId: `i-${String(at)}`,
        address: 'x:1',
        failureDomain: 'a',
        kind: 'large',
        slots: 20,
        isBusy: false,
        range: { from, to: from + 4 },
      };
    });
    const free = new Set(
      fleet.slice(0, stages).map(({ serverId }) => serverId),
    );
    const policy = new SampledChain(1);
    for (let calls = 0; calls < 20; calls += 1) {
      const chosen = policy.chooseChain({
        model,
        servers: fleet,
        homeDomain: 'a',
        tokens: 900,
        excluded: new Set(),
        getLoad: id => ({
          layerTokens: free.has(id) ? 0 : 1e9,
          firstStageRequests: 0,
          stepTimeRatio: 1,
        }),
      });
      expect(chosen?.hasRoom).toBe(true);
    }
  });
});
