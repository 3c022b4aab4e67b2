/**
 * Groups the servers of a service that hold the same layers on the same type of
 * accelerator in the same failure domain.
 *
 * The index is built once for a list of servers, so that the time to choose from
 * it does not depend on the number of servers.
 */
import type { ServerView } from '../types.js';

export interface ServerGroup {
  readonly key: string;
  /** Shared by groups with the same layers and accelerator type in any failure domain. */
  readonly siblingKey: string;
  readonly layerFrom: number;
  readonly layerTo: number;
  readonly failureDomain: string;
  readonly servers: readonly ServerView[];
}

export interface FleetIndex {
  readonly groups: readonly ServerGroup[];
  readonly byKey: ReadonlyMap<string, ServerGroup>;
}

/** Builds the index of one service; servers of other services are ignored. */
export const indexServers = (
  servers: readonly ServerView[],
  service: string,
): FleetIndex => {
  const members = new Map<string, ServerView[]>();
  for (const server of servers) {
    if (server.service !== service) {
      continue;
    }
    const key = `${formatSiblingKey(server)} ${server.failureDomain}`;
    const known = members.get(key);
    if (known) {
      known.push(server);
    } else {
      members.set(key, [server]);
    }
  }
  const groups = [...members].flatMap(([key, list]) => createGroup(key, list));
  return { groups, byKey: new Map(groups.map(group => [group.key, group])) };
};

const formatSiblingKey = (server: ServerView): string =>
  `${server.accelerator ?? ''} ${String(server.layerFrom)}-${String(server.layerTo)}`;

const createGroup = (
  key: string,
  servers: readonly ServerView[],
): ServerGroup[] => {
  const [first] = servers;
  if (!first) {
    return [];
  }
  const { layerFrom, layerTo, failureDomain } = first;
  const siblingKey = formatSiblingKey(first);
  return [{ key, siblingKey, layerFrom, layerTo, failureDomain, servers }];
};
