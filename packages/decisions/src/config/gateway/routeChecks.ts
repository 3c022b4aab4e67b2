/** Checks of routes that get no calls, and of weights that send none. */
import type { RouteRule } from '../../gateway/routeTable.js';
import {
  ConfigurationCheck,
  type CheckSubject,
  type FindingText,
} from './configurationCheck.js';
import {
  FindingKind,
  FindingSeverity,
  formatEntry,
  formatName,
  type ConfigurationFinding,
} from './configurationFinding.js';
import { RouteCheck } from './routeCheck.js';

/** The longest prefix wins, so that only a route with the same host and prefix hides another. */
export class HiddenRouteCheck extends ConfigurationCheck {
  protected override readonly kind = FindingKind.HiddenRoute;
  protected override readonly severity = FindingSeverity.Error;

  override *listFindings({
    configuration: { routes },
  }: CheckSubject): Iterable<ConfigurationFinding> {
    const first = new Map<string, number>();
    for (const [index, { name, host, pathPrefix }] of routes.entries()) {
      const match = JSON.stringify([host, pathPrefix]);
      const known = first.get(match);
      if (known === undefined) {
        first.set(match, index);
        continue;
      }
      const other = formatEntry(known, routes[known]?.name);
      yield this.createFinding(
        { section: 'routes', index, name, field: 'pathPrefix' },
        {
          fault: `${other} has the same host and path prefix and hides this route`,
          effect: `calls to ${formatName(host + pathPrefix)} all follow the rules of the other route`,
          remedy:
            'change the host or the path prefix, or remove one of the two',
        },
      );
    }
  }
}

export class UnmatchableRouteCheck extends ConfigurationCheck {
  protected override readonly kind = FindingKind.UnmatchableRoute;
  protected override readonly severity = FindingSeverity.Error;

  override *listFindings({
    configuration: { routes },
  }: CheckSubject): Iterable<ConfigurationFinding> {
    for (const [index, { name, host, pathPrefix }] of routes.entries()) {
      const place = { section: 'routes', index, name } as const;
      const effect = 'no call can match this route';
      if (!/^\/[^\s#]*$/.test(pathPrefix)) {
        yield this.createFinding(
          { ...place, field: 'pathPrefix' },
          {
            fault: `no path begins with ${formatName(pathPrefix)}`,
            effect,
            remedy:
              'begin the prefix with a slash; leave out white space and #',
          },
        );
      }
      if (/[\s/*]|:\d*$/.test(host)) {
        yield this.createFinding(
          { ...place, field: 'host' },
          {
            fault: `no host name of a call equals ${formatName(host)}`,
            effect,
            remedy: 'write a host name without a port, a path or a pattern',
          },
        );
      }
    }
  }
}

export class NoTrafficCheck extends RouteCheck {
  protected override readonly kind = FindingKind.NoTraffic;
  protected override readonly severity = FindingSeverity.Error;
  protected override readonly field = 'shares';

  protected override describe(route: RouteRule): FindingText | undefined {
    return hasTraffic(route)
      ? undefined
      : {
          fault: 'no weight is above 0',
          effect: 'each call of the route is refused with 503',
          remedy: 'give at least one service a weight above 0',
        };
  }
}

export class UnusedShareCheck extends ConfigurationCheck {
  protected override readonly kind = FindingKind.UnusedShare;
  protected override readonly severity = FindingSeverity.Warning;

  override *listFindings({
    configuration: { routes },
  }: CheckSubject): Iterable<ConfigurationFinding> {
    for (const [index, route] of routes.entries()) {
      if (!hasTraffic(route)) {
        continue;
      }
      for (const [item, { service, weight }] of route.shares.entries()) {
        if (weight <= 0) {
          const { name } = route;
          yield this.createFinding(
            { section: 'routes', index, name, field: 'shares', item },
            {
              fault: `the weight of ${formatName(service)} is ${String(weight)}`,
              effect: 'the service gets no calls of the route',
              remedy: 'give it a weight above 0, or remove it from the route',
            },
          );
        }
      }
    }
  }
}

const hasTraffic = ({ shares }: RouteRule): boolean =>
  shares.some(({ weight }) => weight > 0);
