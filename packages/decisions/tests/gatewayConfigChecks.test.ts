/** Each check of a gateway's configuration finds its fault, names the place, and says nothing of sound entries. */
import { describe, expect, it } from 'vitest';
import { bytesPerMebibyte } from '@lycheetally/common';
import {
  FindingKind,
  checkGatewayConfiguration,
  formatPlace,
  indexConfiguration,
  type CallLimits,
  type DeclaredConfiguration,
  type RouteRule,
} from '../src/index.js';
import { createRoute } from './declaredRoute.js';

const createService = (
  name: string,
): DeclaredConfiguration['services'][number] => ({
  name,
  healthPath: '/health',
  model: undefined,
});

const limits: CallLimits = {
  maxHeaderBytes: 4_096,
  maxBodyBytes: 10_000,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

const createConfiguration = (
  overrides: Partial<DeclaredConfiguration> = {},
): DeclaredConfiguration => ({
  version: 1,
  routes: [createRoute('look'), createRoute('book')],
  services: [createService('desk')],
  accounts: [{ name: 'north', keys: ['k-north'], urgency: undefined }],
  limits,
  ...overrides,
});

const listFound = (
  overrides: Partial<DeclaredConfiguration>,
  memoryBytes?: number,
): string[] =>
  checkGatewayConfiguration(createConfiguration(overrides), memoryBytes).map(
    ({ kind, place }) => `${kind} ${formatPlace(place)}`,
  );

const replaceRoute = (
  overrides: Partial<RouteRule>,
): Partial<DeclaredConfiguration> => ({
  routes: [createRoute('book'), createRoute('look', overrides)],
});

const replaceLimits = (
  overrides: Partial<CallLimits>,
): Partial<DeclaredConfiguration> => ({ limits: { ...limits, ...overrides } });

describe('checkGatewayConfiguration', () => {
  it('finds nothing in a sound configuration', () => {
    expect(listFound({}, 256 * bytesPerMebibyte)).toEqual([]);
    expect(listFound({ accounts: undefined })).toEqual([]);
  });

  it.each<[string, Partial<DeclaredConfiguration>, string[]]>([
    [
      'two routes with the same name',
      {
        routes: [
          createRoute('look'),
          createRoute('look', { pathPrefix: '/other/' }),
        ],
      },
      ['duplicate-name routes[1] "look" name'],
    ],
    [
      'a route that another one hides',
      replaceRoute({ pathPrefix: '/book/' }),
      ['hidden-route routes[1] "look" pathPrefix'],
    ],
    [
      'a prefix that no path begins with',
      replaceRoute({ pathPrefix: 'look/' }),
      ['unmatchable-route routes[1] "look" pathPrefix'],
    ],
    [
      'a host with a port, which is cut off the host of a call',
      replaceRoute({ host: 'one.example:443' }),
      ['unmatchable-route routes[1] "look" host'],
    ],
    [
      'a service that does not exist',
      replaceRoute({
        shares: [
          { service: 'desk', weight: 9 },
          { service: 'dusk', weight: 1 },
        ],
      }),
      ['unknown-service routes[1] "look" shares[1]'],
    ],
    [
      'a service that no route names',
      { services: [createService('desk'), createService('shelf')] },
      ['unused-service services[1] "shelf"'],
    ],
    [
      'a service that is declared twice',
      { services: [createService('desk'), createService('desk')] },
      ['duplicate-name services[1] "desk" name'],
    ],
    [
      'weights that sum to nothing',
      replaceRoute({ shares: [{ service: 'desk', weight: 0 }] }),
      ['no-traffic routes[1] "look" shares'],
    ],
    [
      'a weight that sends no traffic',
      replaceRoute({
        shares: [
          { service: 'desk', weight: 1 },
          { service: 'desk', weight: -1 },
        ],
      }),
      ['unused-share routes[1] "look" shares[1]'],
    ],
    [
      'an account without a key',
      { accounts: [{ name: 'north', keys: [], urgency: 0 }] },
      ['account-without-key accounts[0] "north" keys'],
    ],
    [
      'a key that two accounts hold',
      {
        accounts: [
          { name: 'north', keys: ['secret-a', 'secret-b'], urgency: undefined },
          { name: 'south', keys: ['secret-c', 'secret-b'], urgency: undefined },
        ],
      },
      ['key-held-twice accounts[1] "south" keys[1]'],
    ],
    [
      'a latency target over the time limit',
      replaceRoute({ targetMs: 1_001 }),
      ['target-over-time-limit routes[1] "look" targetMs'],
    ],
    [
      'a pause limit over the time limit',
      replaceRoute({ maxPauseMs: 1_001 }),
      ['pause-over-time-limit routes[1] "look" maxPauseMs'],
    ],
    [
      'attempts that do not fit into the time limit',
      replaceRoute({ maxAttempts: 3 }),
      ['attempts-over-time-limit routes[1] "look" maxAttempts'],
    ],
    [
      'an idle limit below the head limit',
      replaceLimits({ idleTimeoutMs: 2_999 }),
      ['idle-under-head-limit limits idleTimeoutMs'],
    ],
    [
      'an idle limit that is told as 0 seconds',
      replaceLimits({ idleTimeoutMs: 999, headerTimeoutMs: 999 }),
      ['idle-under-second limits idleTimeoutMs'],
    ],
    [
      'a limit of 0',
      replaceLimits({ maxBodyBytes: 0 }),
      ['limit-not-positive limits maxBodyBytes'],
    ],
  ])('finds %s', (_, overrides, expected) => {
    expect(listFound(overrides)).toEqual(expected);
  });

  it('accepts limits that just fit', () => {
    const fitting = { targetMs: 500, maxPauseMs: 1_000, maxAttempts: 2 };
    expect(listFound(replaceRoute(fitting))).toEqual([]);
    expect(listFound(replaceLimits({ idleTimeoutMs: 3_000 }))).toEqual([]);
  });

  it('compares the body limit with an eighth of the memory', () => {
    const memoryBytes = 256 * bytesPerMebibyte;
    const eighth = memoryBytes / 8;
    expect(
      listFound(replaceLimits({ maxBodyBytes: eighth }), memoryBytes),
    ).toEqual([]);
    expect(
      listFound(replaceLimits({ maxBodyBytes: eighth + 1 }), memoryBytes),
    ).toEqual(['body-over-memory limits maxBodyBytes']);
    expect(listFound(replaceLimits({ maxBodyBytes: eighth + 1 }))).toEqual([]);
  });

  it('calls the route hidden that the table does not choose', () => {
    const declared = createConfiguration(
      replaceRoute({ pathPrefix: '/book/' }),
    );
    const { routes } = indexConfiguration(declared);
    expect(routes.findRoute('one.example', '/book/x')?.name).toBe('book');
  });

  // A key in a finding would be written to the logs of each gateway.
  it('never shows a key', () => {
    const findings = checkGatewayConfiguration(
      createConfiguration({
        accounts: ['north', 'south'].map(name => ({
          name,
          keys: ['secret-a'],
          urgency: undefined,
        })),
      }),
    );
    expect(findings).toHaveLength(1);
    expect(JSON.stringify(findings)).not.toContain('secret');
  });

  it('bounds the length of a finding', () => {
    const name = 'x\n'.repeat(50_000);
    const findings = checkGatewayConfiguration(
      createConfiguration({
        ...replaceRoute({ name, shares: [{ service: name, weight: 1 }] }),
      }),
    );
    expect(findings.map(({ kind }) => kind)).toEqual([
      FindingKind.UnknownService,
    ]);
    for (const { place, fault, effect, remedy } of findings) {
      const text = [formatPlace(place), fault, effect, remedy].join(' ');
      expect(text.length).toBeLessThan(600);
      expect(text).not.toContain('\n');
    }
  });

  // A check that compares each route with each other one would block the loop of a gateway.
  it('looks at each of 2,000 routes a fixed number of times', () => {
    const countReads = (count: number): number => {
      let reads = 0;
      const handler: ProxyHandler<RouteRule> = {
        get: (route, field): unknown => {
          reads += 1;
          return Reflect.get(route, field);
        },
      };
      const routes = Array.from(
        { length: count },
        (_, at) =>
          new Proxy(
            createRoute(`r${String(at)}`, { pathPrefix: '/same/' }),
            handler,
          ),
      );
      checkGatewayConfiguration(createConfiguration({ routes }));
      return reads / count;
    };
    const readsOfFew = countReads(20);
    expect(countReads(2_000)).toBeLessThan(readsOfFew + 2);
  });
});
