/** The comparison of two gateway configurations names each change and what it means for callers. */
import { describe, expect, it } from 'vitest';
import {
  checkVersionOrder,
  formatPlace,
  listDifferences,
  type DeclaredConfiguration,
} from '../src/index.js';
import { createRoute } from './declaredRoute.js';

const before: DeclaredConfiguration = {
  version: 3,
  routes: [
    createRoute('all', { pathPrefix: '/' }),
    createRoute('look', { pathPrefix: '/look/' }),
  ],
  services: [{ name: 'desk', healthPath: '/health', model: undefined }],
  accounts: [
    { name: 'north', keys: ['secret-a', 'secret-b'], urgency: undefined },
    { name: 'south', keys: ['secret-c'], urgency: 1 },
  ],
  limits: {
    maxHeaderBytes: 4_096,
    maxBodyBytes: 10_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};

const listLines = (
  overrides: Partial<DeclaredConfiguration>,
  from = before,
): string[] =>
  listDifferences(from, { ...from, ...overrides }).map(
    ({ change, place, before: old, after, effect }) =>
      `${change} ${formatPlace(place)}: ${old} -> ${after}: ${effect}`,
  );

describe('listDifferences', () => {
  it('finds none between equal configurations, whatever the order of their entries', () => {
    expect(listLines({})).toEqual([]);
    expect(listLines({ routes: [...before.routes].reverse() })).toEqual([]);
  });

  it('names the route that takes the calls of a removed one', () => {
    const [all] = before.routes;
    expect(listLines({ routes: all ? [all] : [] })).toEqual([
      expect.stringMatching(
        /^removed routes\[1\] "look": .*calls to it follow the route "all" instead$/,
      ),
    ]);
  });

  it('says that calls get 404 when no route is left for them', () => {
    const lines = listLines({ routes: [] });
    expect(lines).toHaveLength(2);
    lines.forEach(line => {
      expect(line).toMatch(/calls to it get 404$/);
    });
  });

  it('names the route whose calls an added one takes', () => {
    const routes = [
      ...before.routes,
      createRoute('find', { pathPrefix: '/find/' }),
    ];
    expect(listLines({ routes })).toEqual([
      expect.stringMatching(
        /^added routes\[2\] "find": .*follow this route instead of "all"$/,
      ),
    ]);
  });

  it('shows the earlier and the later value of a changed field', () => {
    const routes = before.routes.map(route => ({ ...route, timeoutMs: 900 }));
    expect(listLines({ routes })[0]).toBe(
      'changed routes[0] "all" timeoutMs: 1000 -> 900: calls are ended after the new time',
    );
    expect(
      listLines({ limits: { ...before.limits, maxBodyBytes: 9_000 } }),
    ).toEqual([
      'changed limits maxBodyBytes: 10000 -> 9000: calls with a larger body are refused with 413',
    ]);
  });

  it('shows kinds and splits in words', () => {
    const routes = before.routes.map(route => ({
      ...route,
      isStream: true,
      shares: ['desk', 'shelf'].map(service => ({ service, weight: 2 })),
    }));
    const lines = listLines({ routes });
    expect(lines).toHaveLength(4);
    expect(lines[0]).toContain('isStream: whole answer -> stream: ');
    expect(lines[1]).toContain('shares: desk -> desk 2, shelf 2: ');
  });

  it('counts keys that are refused and keys that changed hands, and shows none', () => {
    const lines = listLines({
      accounts: [
        { name: 'north', keys: ['secret-d'], urgency: undefined },
        { name: 'south', keys: ['secret-c', 'secret-b'], urgency: 1 },
      ],
    });
    expect(lines).toEqual([
      'removed accounts[0] "north" keys: 2 keys -> : calls with 1 key get 401; calls with 1 key count as another account\'s',
      'added accounts[0] "north" keys:  -> 1 key: calls with its new keys are accepted',
      'added accounts[1] "south" keys:  -> 1 key: calls with its new keys are accepted; 1 of them counted as another account\'s before',
    ]);
    expect(lines.join()).not.toContain('secret');
  });

  it('reports when calls begin to need a key', () => {
    const open = { ...before, accounts: undefined };
    expect(listLines({ accounts: [] }, open)).toEqual([
      'added accounts:  -> keys needed: calls without a key get 401, but for public routes',
    ]);
  });

  it('reports services', () => {
    expect(listLines({ services: [] })).toEqual([
      'removed services[0] "desk": /health -> : calls of routes that still name it get 503',
    ]);
  });
});

// A gateway ignores such a configuration without an error.
describe('checkVersionOrder', () => {
  it('finds a version that is not above the earlier one', () => {
    expect(checkVersionOrder(before, { ...before, version: 4 })).toEqual([]);
    expect(checkVersionOrder(before, before)).toHaveLength(1);
  });
});
