/**
 * Rendezvous hashing: each name has a score for a key, and the names with the
 * highest scores are chosen. When a name is removed, only the keys for which
 * it was chosen move to other names.
 */

const fnvOffsetBasis = 0x811c9dc5
const fnvPrime = 0x01000193

/** A score in [0, 1), uniformly distributed over pairs of key and name: FNV-1a with the finalizer of MurmurHash3. */
export const rendezvousScore = (key: string, name: string): number => {
  let hash = fnvOffsetBasis
  const text = `${key}\n${name}`
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return ((hash ^ (hash >>> 16)) >>> 0) / 4_294_967_296
}
