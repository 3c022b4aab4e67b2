/**
 * The maximum flow of tokens through a fleet of different accelerators.
 *
 * Servers that hold the same layers on the same type of accelerator in the same
 * failure domain form a group. A linear program maximizes the flow from group to
 * group, subject to the capacity of each group and of the links between failure
 * domains. Its size depends on the number of groups, not of servers.
 */
import { solve, type Constraint } from 'yalps';

/** Servers that the flow treats as one. */
export interface StageGroup {
  readonly key: string;
  readonly layerFrom: number;
  readonly layerTo: number;
  readonly failureDomain: string;
  /** Generated tokens per second that the whole group can serve. */
  readonly capacity: number;
}

/** Returns the capacity of the link from one failure domain to another, in tokens per second. */
export type LinkCapacity = (from: string, to: string) => number;

export interface MaxFlow {
  /** Tokens per second through the whole fleet. */
  readonly total: number;
  /** Tokens per second into each group that holds the first layer, by group key. */
  readonly first: ReadonlyMap<string, number>;
  /** Tokens per second from each group to each next group, by their keys. */
  readonly next: ReadonlyMap<string, ReadonlyMap<string, number>>;
}

type Coefficients = Record<string, number>;

const objective = 'served';

/** Computes the flow with the most tokens per second. */
export const computeMaxFlow = (
  groups: readonly StageGroup[],
  layers: number,
  linkCapacity: LinkCapacity,
): MaxFlow => {
  const constraints = new Map<string, Constraint>();
  const variables = new Map<string, Coefficients>();
  for (const group of groups) {
    constraints.set(`capacity ${group.key}`, { max: group.capacity });
    constraints.set(`balance ${group.key}`, { equal: 0 });
    addEndVariables(variables, group, layers);
  }
  for (const [from, to] of listPairs(groups)) {
    const link = formatLink(from, to);
    const capacity = linkCapacity(from.failureDomain, to.failureDomain);
    constraints.set(link, { max: capacity });
    variables.set(formatEdge(from, to), {
      [link]: 1,
      [`balance ${from.key}`]: -1,
      [`balance ${to.key}`]: 1,
      [`capacity ${to.key}`]: 1,
    });
  }
  const solution = solve({
    direction: 'maximize',
    objective,
    constraints,
    variables,
  });
  const flows = new Map<string, number>(solution.variables);
  return collectFlow(groups, flows);
};

const addEndVariables = (
  variables: Map<string, Coefficients>,
  group: StageGroup,
  layers: number,
): void => {
  if (group.layerFrom === 0) {
    variables.set(`in ${group.key}`, {
      [objective]: 1,
      [`balance ${group.key}`]: 1,
      [`capacity ${group.key}`]: 1,
    });
  }
  if (group.layerTo === layers) {
    variables.set(`out ${group.key}`, { [`balance ${group.key}`]: -1 });
  }
};

const listPairs = (
  groups: readonly StageGroup[],
): (readonly [StageGroup, StageGroup])[] =>
  groups.flatMap(from =>
    (from.layerFrom < from.layerTo ? groups : [])
      .filter(to => to.layerFrom === from.layerTo)
      .map(to => [from, to] as const),
  );

const formatEdge = (from: StageGroup, to: StageGroup): string =>
  `edge ${from.key} > ${to.key}`;

const formatLink = (from: StageGroup, to: StageGroup): string =>
  `link ${from.failureDomain} > ${to.failureDomain}`;

const collectFlow = (
  groups: readonly StageGroup[],
  flows: ReadonlyMap<string, number>,
): MaxFlow => {
  const first = new Map<string, number>();
  const next = new Map<string, Map<string, number>>();
  for (const group of groups) {
    const incoming = flows.get(`in ${group.key}`) ?? 0;
    if (incoming > 0) {
      first.set(group.key, incoming);
    }
  }
  for (const [from, to] of listPairs(groups)) {
    const flow = flows.get(formatEdge(from, to)) ?? 0;
    if (flow > 0) {
      const targets = next.get(from.key) ?? new Map<string, number>();
      next.set(from.key, targets.set(to.key, flow));
    }
  }
  const total = [...first.values()].reduce((sum, flow) => sum + flow, 0);
  return { total, first, next };
};
