/**
 * Draws a chart file as a Mermaid state diagram.
 *
 * Each leaf state is a box that also shows the transitions inherited from its
 * ancestors, so the diagram needs no nesting.
 */
import type {
  ChartDefinition,
  StateDefinition,
  TransitionDefinition,
} from './chartDefinition.js';

/** A leaf state and its ancestors. */
interface DrawnLeaf {
  readonly path: string;
  /** The leaf state and its ancestors, innermost first. */
  readonly ancestry: readonly StateDefinition[];
  /** Path of the parent of each of these states. */
  readonly parents: readonly string[];
}

/** Draws a chart; the text goes into a `mermaid` block of Markdown. */
export const drawChart = (chart: ChartDefinition): string => {
  const leaves = listLeaves(chart);
  const lines = [
    `[*] --> ${formatId(findLeaf(leaves, `${chart.id}.${chart.initial}`))}`,
    ...leaves.map(leaf => drawState(leaf)),
    ...leaves.flatMap(leaf => drawTransitions(leaf, leaves)),
  ];
  return ['stateDiagram-v2', ...lines.map(line => `  ${line}`)].join('\n');
};

const listLeaves = (chart: ChartDefinition): DrawnLeaf[] => {
  const root: StateDefinition = { on: chart.on, after: chart.after };
  return Object.entries(chart.states).flatMap(([name, state]) =>
    walkState(chart.id, name, state, { ancestry: [root], parents: [chart.id] }),
  );
};

const walkState = (
  parent: string,
  name: string,
  state: StateDefinition,
  enclosing: Pick<DrawnLeaf, 'ancestry' | 'parents'>,
): DrawnLeaf[] => {
  const path = `${parent}.${name}`;
  const ancestry = [state, ...enclosing.ancestry];
  const parents = [parent, ...enclosing.parents];
  if (!state.states) {
    return [{ path, ancestry, parents }];
  }
  // The initial state comes first, so that findLeaf finds it by the path of its parent.
  const inner = Object.entries(state.states).sort(
    ([a], [b]) => Number(b === state.initial) - Number(a === state.initial),
  );
  return inner.flatMap(([innerName, innerState]) =>
    walkState(path, innerName, innerState, { ancestry, parents }),
  );
};

const findLeaf = (leaves: readonly DrawnLeaf[], path: string): string =>
  leaves.find(leaf => leaf.path === path || leaf.path.startsWith(`${path}.`))
    ?.path ?? path;

const drawState = (leaf: DrawnLeaf): string => {
  const [state] = leaf.ancestry;
  const entry = [...leaf.ancestry].reverse().flatMap(each => each.entry ?? []);
  const exit = leaf.ancestry.flatMap(each => each.exit ?? []);
  const name = leaf.path.slice(leaf.path.indexOf('.') + 1);
  const title = [
    name,
    ...(entry.length === 0 ? [] : [`entry ${entry.join(', ')}`]),
    ...(exit.length === 0 ? [] : [`exit ${exit.join(', ')}`]),
  ].join(' / ');
  const box = `state "${title}" as ${formatId(leaf.path)}`;
  return state?.type === 'final'
    ? `${box}\n  ${formatId(leaf.path)} --> [*]`
    : box;
};

const drawTransitions = (
  leaf: DrawnLeaf,
  leaves: readonly DrawnLeaf[],
): string[] =>
  leaf.ancestry.flatMap((state, depth) => {
    const parent = leaf.parents[depth] ?? '';
    const named = [
      ...Object.entries(state.on ?? {}),
      ...Object.entries(state.after ?? {}).map(
        ([delay, transitions]) => [`after ${delay}`, transitions] as const,
      ),
    ];
    return named.flatMap(([event, transitions]) =>
      transitions.map(transition => {
        const target = findTarget(leaf, parent, transition, leaves);
        return `${formatId(leaf.path)} --> ${formatId(target)}: ${formatLabel(event, transition)}`;
      }),
    );
  });

/** A target is the name of a sibling, or an absolute path after "#". */
const findTarget = (
  leaf: DrawnLeaf,
  parent: string,
  { target }: TransitionDefinition,
  leaves: readonly DrawnLeaf[],
): string => {
  if (target === undefined) {
    return leaf.path;
  }
  const path = target.startsWith('#') ? target.slice(1) : `${parent}.${target}`;
  return findLeaf(leaves, path);
};

const formatLabel = (
  event: string,
  transition: TransitionDefinition,
): string => {
  const guard = transition.guard === undefined ? '' : ` [${transition.guard}]`;
  const actions = transition.actions?.join(', ');
  return `${event}${guard}${actions === undefined ? '' : ` / ${actions}`}`;
};

const formatId = (path: string): string => path.replaceAll('.', '_');
