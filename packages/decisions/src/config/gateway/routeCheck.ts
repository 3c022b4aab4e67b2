/** A check that looks at one field of one route after the other. */
import type { RouteRule } from '../../gateway/routeTable.js';
import {
  ConfigurationCheck,
  type CheckSubject,
  type FindingText,
} from './configurationCheck.js';
import type {
  ConfigurationField,
  ConfigurationFinding,
} from './configurationFinding.js';

export abstract class RouteCheck extends ConfigurationCheck {
  protected abstract readonly field: ConfigurationField;

  /** Describes what is wrong with the route; `undefined` if nothing is. */
  protected abstract describe(route: RouteRule): FindingText | undefined;

  override *listFindings({
    configuration: { routes },
  }: CheckSubject): Iterable<ConfigurationFinding> {
    const { field } = this;
    for (const [index, route] of routes.entries()) {
      const text = this.describe(route);
      if (text) {
        const { name } = route;
        yield this.createFinding(
          { section: 'routes', index, name, field },
          text,
        );
      }
    }
  }
}
