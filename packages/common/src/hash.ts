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
    .map(node => ({ node, weight: hashText(`${key}\u0000${node}`) }))
    .sort((a, b) => b.weight - a.weight || (a.node < b.node ? -1 : 1))
    .map(entry => entry.node);
