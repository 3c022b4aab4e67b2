/** The gateways of a failure domain agree on the one that reads the store. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { RendezvousRelay } from '../src/index.js';

const policy = new RendezvousRelay();
const ids = fc.uniqueArray(fc.string({ minLength: 1, maxLength: 8 }), {
  minLength: 1,
  maxLength: 30,
});

const chooseAll = (
  gateways: readonly string[],
  suspected: ReadonlySet<string> = new Set(),
): (string | undefined)[] =>
  gateways.map(ownId =>
    policy.chooseRelay({ ownId, failureDomain: 'a', gateways, suspected }),
  );

describe('RendezvousRelay', () => {
  it('lets one gateway read the store and all others ask it', () => {
    fc.assert(
      fc.property(ids, gateways => {
        const choices = chooseAll(gateways);
        const readers = gateways.filter((_, at) => choices[at] === undefined);
        expect(readers).toHaveLength(1);
        expect(new Set(choices)).toEqual(
          new Set(gateways.length > 1 ? [undefined, readers[0]] : [undefined]),
        );
      }),
      { seed: 7, numRuns: 200 },
    );
  });

  it('asks no suspected gateway, and reads the store when several are suspected', () => {
    fc.assert(
      fc.property(ids, fc.func(fc.boolean()), (gateways, isSuspected) => {
        const suspected = new Set(gateways.filter(id => isSuspected(id)));
        for (const choice of chooseAll(gateways, suspected)) {
          expect(choice !== undefined && suspected.has(choice)).toBe(false);
        }
      }),
      { seed: 8, numRuns: 200 },
    );
    const many = Array.from({ length: 20 }, (_, at) => `gateway-${String(at)}`);
    expect(new Set(chooseAll(many, new Set(many)))).toEqual(
      new Set([undefined]),
    );
  });

  it('reads the store when it knows no other gateway', () => {
    expect(chooseAll(['gateway-1'])).toEqual([undefined]);
  });
});
