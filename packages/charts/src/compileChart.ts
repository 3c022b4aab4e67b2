/** Compiles a chart definition into a transition table and checks its events, targets and states. */
import {
  ErrorKind,
  Err,
  Ok,
  TypedError,
  type Result,
} from '@lycheetally/common';
import type {
  Chart,
  ChartTimer,
  CompiledTransition,
  LeafState,
} from './chart.js';
import {
  chartSchema,
  type ChartDefinition,
  type TransitionDefinition,
} from './chartDefinition.js';
import {
  createChartError,
  findTransitionDomain,
  listAncestry,
  StateTree,
  type StateNode,
} from './stateTree.js';

/** Parses and compiles the text of a chart file. Fails with `BadChart`. */
export const compileChart = (file: string, text: string): Result<Chart> => {
  try {
    return Ok(new ChartCompiler(file, parseDefinition(file, text)).compile());
  } catch (thrown) {
    if (thrown instanceof TypedError) {
      return Err(thrown);
    }
    throw thrown;
  }
};

const parseDefinition = (file: string, text: string): ChartDefinition => {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (thrown) {
    throw createChartError(file, '(file)', `not JSON (${String(thrown)})`);
  }
  const parsed = chartSchema.safeParse(json);
  if (!parsed.success) {
    const faults = parsed.error.issues.map(
      issue => `${issue.path.map(String).join('.')}: ${issue.message}`,
    );
    throw new TypedError(
      ErrorKind.BadChart,
      `${file}: ${faults.join(' | ')}`,
      'correct the chart file',
    );
  }
  return parsed.data;
};

class ChartCompiler {
  private readonly tree: StateTree;
  private readonly events: string[];
  private readonly eventIndex = new Map<string, number>();
  private readonly actionNames = new Set<string>();
  private readonly guardNames = new Set<string>();
  private readonly delayNames = new Set<string>();
  private readonly leafIndex = new Map<StateNode, number>();

  constructor(
    private readonly file: string,
    private readonly definition: ChartDefinition,
  ) {
    this.tree = new StateTree(file, definition);
    this.events = [...definition.meta.events];
    this.events.forEach((name, index) => this.eventIndex.set(name, index));
  }

  compile(): Chart {
    this.indexTimers();
    const leafNodes = this.tree.nodes.filter(node => node.children.size === 0);
    leafNodes.forEach((node, index) => this.leafIndex.set(node, index));
    const initialLeaf = this.tree.findInitialLeaf(this.tree.root);
    const initial = this.buildInitial(initialLeaf);
    const leaves = leafNodes.map(node => this.compileLeaf(node));
    this.checkReachable(leaves, initial);
    return {
      id: this.definition.id,
      events: this.events,
      eventIndex: this.eventIndex,
      leaves,
      initial,
      actionNames: this.actionNames,
      guardNames: this.guardNames,
      delayNames: this.delayNames,
    };
  }

  private indexTimers(): void {
    for (const node of this.tree.nodes) {
      for (const delay of Object.keys(node.definition.after ?? {})) {
        const name = formatTimerEvent(delay, node);
        this.eventIndex.set(name, this.events.length);
        this.events.push(name);
        if (!/^\d+$/.test(delay)) {
          this.delayNames.add(delay);
        }
      }
    }
    const unused = this.definition.meta.endDelays?.find(
      delay => !this.delayNames.has(delay),
    );
    if (unused !== undefined) {
      throw createChartError(
        this.file,
        '(meta)',
        `delay "${unused}" of meta.endDelays is not used`,
      );
    }
  }

  private buildInitial(leaf: StateNode): CompiledTransition {
    const entered = listAncestry(leaf).reverse();
    return {
      guard: undefined,
      targetLeaf: this.getLeafIndex(leaf),
      actions: this.collectActions(entered, 'entry'),
      exited: [],
      timers: entered.flatMap(node => this.buildTimers(node)),
    };
  }

  private compileLeaf(leaf: StateNode): LeafState {
    const candidates: CompiledTransition[][] = this.events.map(() => []);
    for (const node of listAncestry(leaf)) {
      this.addEventTransitions(leaf, node, candidates);
      this.addTimerTransitions(leaf, node, candidates);
    }
    return {
      path: leaf.path,
      isFinal: leaf.definition.type === 'final',
      candidates,
    };
  }

  private addEventTransitions(
    leaf: StateNode,
    node: StateNode,
    candidates: CompiledTransition[][],
  ): void {
    for (const [event, list] of Object.entries(node.definition.on ?? {})) {
      const index = this.eventIndex.get(event);
      if (index === undefined) {
        throw createChartError(
          this.file,
          node.path,
          `event "${event}" is not declared in meta.events`,
        );
      }
      candidates[index]?.push(
        ...list.map(each => this.buildTransition(leaf, node, each)),
      );
    }
  }

  private addTimerTransitions(
    leaf: StateNode,
    node: StateNode,
    candidates: CompiledTransition[][],
  ): void {
    for (const [delay, list] of Object.entries(node.definition.after ?? {})) {
      const index = this.eventIndex.get(formatTimerEvent(delay, node)) ?? -1;
      candidates[index]?.push(
        ...list.map(each => this.buildTransition(leaf, node, each)),
      );
    }
  }

  private buildTransition(
    leaf: StateNode,
    source: StateNode,
    transition: TransitionDefinition,
  ): CompiledTransition {
    const ownActions = this.registerActions(transition.actions ?? []);
    if (transition.guard !== undefined) {
      this.guardNames.add(transition.guard);
    }
    if (transition.target === undefined) {
      return {
        guard: transition.guard,
        targetLeaf: this.getLeafIndex(leaf),
        actions: ownActions,
        exited: [],
        timers: [],
      };
    }
    const targetNode = this.tree.findTarget(source, transition.target);
    const domain = findTransitionDomain(
      source,
      targetNode,
      transition.reenter ?? false,
    );
    const leafNode = this.tree.findInitialLeaf(targetNode);
    const isOutside = (node: StateNode): boolean =>
      !listAncestry(domain).includes(node);
    const exited = listAncestry(leaf).filter(isOutside);
    const entered = listAncestry(leafNode).filter(isOutside).reverse();
    return {
      guard: transition.guard,
      targetLeaf: this.getLeafIndex(leafNode),
      actions: [
        ...this.collectActions(exited, 'exit'),
        ...ownActions,
        ...this.collectActions(entered, 'entry'),
      ],
      exited: exited.map(node => node.index),
      timers: entered.flatMap(node => this.buildTimers(node)),
    };
  }

  private buildTimers(node: StateNode): ChartTimer[] {
    return Object.keys(node.definition.after ?? {}).map(delay => ({
      delay,
      isEnd: this.definition.meta.endDelays?.includes(delay) ?? false,
      event: this.eventIndex.get(formatTimerEvent(delay, node)) ?? -1,
      owner: node.index,
    }));
  }

  private collectActions(
    nodes: readonly StateNode[],
    kind: 'entry' | 'exit',
  ): readonly string[] {
    return this.registerActions(
      nodes.flatMap(node => node.definition[kind] ?? []),
    );
  }

  private registerActions(names: readonly string[]): readonly string[] {
    names.forEach(name => this.actionNames.add(name));
    return names;
  }

  private getLeafIndex(node: StateNode): number {
    return this.leafIndex.get(node) ?? -1;
  }

  private checkReachable(
    leaves: readonly LeafState[],
    initial: CompiledTransition,
  ): void {
    const reached = new Set<number>([initial.targetLeaf]);
    for (const index of reached) {
      for (const candidate of leaves[index]?.candidates.flat() ?? []) {
        reached.add(candidate.targetLeaf);
      }
    }
    const unreachable = leaves.find((_, index) => !reached.has(index));
    if (unreachable) {
      throw createChartError(
        this.file,
        unreachable.path,
        'state cannot be reached',
      );
    }
  }
}

const formatTimerEvent = (delay: string, node: StateNode): string =>
  `after.${delay}.${node.path}`;
