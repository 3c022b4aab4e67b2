/** Small deterministic hashes for placement; not for secrets. */

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** Returns the 32-bit FNV-1a hash of the text. Source: RFC draft by Fowler, Noll and Vo. */
export const hashText = (text: string): number => {
  let hash = fnvOffset;
  for (let index = 0; index < text.length; index += 1) {
    hash ^= text.charCodeAt(index);
    hash = Math.imul(hash, fnvPrime);
  }
  return mixBits(hash >>> 0);
};

/** Spreads the bits of a 32-bit number. Source: the finalizer of MurmurHash3. */
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
 * Orders the nodes for a key by rendezvous hashing, best first.
 * A node's arrival or departure moves only the keys that it owns.
 */
export const sortByRendezvous = (
  key: string,
  nodes: readonly string[],
): string[] =>
  nodes
    .map(node => ({ node, weight: hashText(`${key}\u0000${node}`) }))
    .sort((a, b) => b.weight - a.weight || (a.node < b.node ? -1 : 1))
    .map(entry => entry.node);
