/** The states of a chart file as a tree with resolved targets. */
import { ErrorKind, TypedError } from '@lycheetally/common';
import type { ChartDefinition, StateDefinition } from './chartDefinition.js';

/** A state and its position in the tree. */
export interface StateNode {
  readonly index: number;
  readonly key: string;
  readonly path: string;
  readonly parent: StateNode | undefined;
  readonly definition: StateDefinition;
  readonly children: Map<string, StateNode>;
}

/** Creates the error for a fault at a path of the chart. */
export const createChartError = (
  file: string,
  path: string,
  fault: string,
): TypedError =>
  new TypedError(
    ErrorKind.BadChart,
    `${file}: ${path}: ${fault}`,
    'correct the chart file',
  );

export class StateTree {
  readonly nodes: StateNode[] = [];
  readonly root: StateNode;

  constructor(
    readonly file: string,
    private readonly definition: ChartDefinition,
  ) {
    this.root = this.addNode(definition.id, undefined, definition);
  }

  private addNode(
    key: string,
    parent: StateNode | undefined,
    definition: StateDefinition,
  ): StateNode {
    const node: StateNode = {
      index: this.nodes.length,
      key,
      path: parent?.parent ? `${parent.path}.${key}` : key,
      parent,
      definition,
      children: new Map(),
    };
    this.nodes.push(node);
    for (const [childKey, child] of Object.entries(definition.states ?? {})) {
      node.children.set(childKey, this.addNode(childKey, node, child));
    }
    return node;
  }

  /** Finds the leaf that becomes active when the node is entered. */
  findInitialLeaf(node: StateNode): StateNode {
    if (node.children.size === 0) {
      return node;
    }
    const initial = node.definition.initial ?? '';
    const child = node.children.get(initial);
    if (!child) {
      throw createChartError(
        this.file,
        node.path,
        `initial state "${initial}" does not exist`,
      );
    }
    return this.findInitialLeaf(child);
  }

  /** Finds the target state of a transition: `#id.path`, `.child` or a sibling. */
  findTarget(source: StateNode, target: string): StateNode {
    const [start, path] = this.findSearchStart(source, target);
    let node: StateNode | undefined = start;
    for (const key of path) {
      node = node?.children.get(key);
    }
    if (!node || node === this.root) {
      throw createChartError(
        this.file,
        source.path,
        `target "${target}" does not exist`,
      );
    }
    return node;
  }

  private findSearchStart(
    source: StateNode,
    target: string,
  ): [StateNode, string[]] {
    const absolute = `#${this.definition.id}.`;
    if (target.startsWith(absolute)) {
      return [this.root, target.slice(absolute.length).split('.')];
    }
    if (target.startsWith('.')) {
      return [source, target.slice(1).split('.')];
    }
    return [source.parent ?? this.root, target.split('.')];
  }
}

/** Returns the node and its ancestors, innermost first. */
export const listAncestry = (node: StateNode): StateNode[] => {
  const ancestry: StateNode[] = [];
  for (let at: StateNode | undefined = node; at; at = at.parent) {
    ancestry.push(at);
  }
  return ancestry;
};

/** Says whether the node is a descendant of `ancestor`. */
export const isBelow = (node: StateNode, ancestor: StateNode): boolean =>
  node !== ancestor && listAncestry(node).includes(ancestor);

/** Finds the innermost state that stays active during a transition. */
export const findTransitionDomain = (
  source: StateNode,
  target: StateNode,
  reenter: boolean,
): StateNode => {
  if (!reenter && (source === target || isBelow(target, source))) {
    return source;
  }
  const ancestry = listAncestry(source);
  const shared = ancestry.slice(1).find(each => isBelow(target, each));
  return shared ?? ancestry.at(-1) ?? source;
};
