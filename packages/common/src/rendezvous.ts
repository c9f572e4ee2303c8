/**
 * Rendezvous hashing: every name has a score for a key, and the highest
 * scores win. Losing one name moves only what it had won.
 */

const offsetBasis = 0x811c9dc5
const prime = 0x01000193

/** A score in [0, 1), evenly spread over pairs of key and name. */
export const rendezvousScore = (key: string, name: string): number => {
  let hash = offsetBasis
  const text = `${key}\n${name}`
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), prime)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return ((hash ^ (hash >>> 16)) >>> 0) / 4_294_967_296
}
