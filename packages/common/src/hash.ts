/** Deterministic, non-cryptographic hashes for placement. */

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** Returns the 32-bit FNV-1a hash of the text with its bits mixed. Source: RFC draft by Fowler, Noll and Vo. */
export const hashText = (text: string): number => {
  let hash = fnvOffset;
  for (let index = 0; index < text.length; index += 1) {
    hash ^= text.charCodeAt(index);
    hash = Math.imul(hash, fnvPrime);
  }
  return mixBits(hash >>> 0);
};

/** Mixes the bits of a 32-bit number. Source: the finalizer of MurmurHash3. */
export const mixBits = (value: number): number => {
  let mixed = value;
  mixed ^= mixed >>> 16;
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  mixed ^= mixed >>> 16;
  return mixed >>> 0;
};

/**
 * Sorts the nodes for a key by rendezvous hashing, highest weight first.
 * When a node joins or leaves, only the keys that it owns move.
 */
export const sortByRendezvous = (
  key: string,
  nodes: readonly string[],
): string[] =>
  nodes
    .map(node => measureNode(key, node))
    .sort(compareWeights)
    .map(entry => entry.node);

/** Says whether the node is among the first `count` ones of the rendezvous order. */
export const isFirstByRendezvous = (
  key: string,
  node: string,
  nodes: Iterable<string>,
  count: number,
): boolean => {
  const own = measureNode(key, node);
  let before = 0;
  for (const other of nodes) {
    before += compareWeights(measureNode(key, other), own) < 0 ? 1 : 0;
  }
  return before < count;
};

interface WeighedNode {
  readonly node: string;
  readonly weight: number;
}

const measureNode = (key: string, node: string): WeighedNode => ({
  node,
  weight: hashText(`${key}\u0000${node}`),
});

const compareWeights = (a: WeighedNode, b: WeighedNode): number =>
  b.weight - a.weight || compareNames(a.node, b.node);

const compareNames = (a: string, b: string): number => {
  if (a === b) {
    return 0;
  }
  return a < b ? -1 : 1;
};
