/**
 * Hash functions that give the same values on every VM.
 */

const fnvOffsetBasis = 0x811C9DC5
const fnvPrime = 0x01000193

/** 32-bit FNV-1a hash, followed by the finalizer of MurmurHash3. */
export const hashText = (text: string): number => {
  let hash = fnvOffsetBasis
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime)
  }
  return mixBits(hash)
}

/** Hash of a pair of hashes, independent of their order. */
export const hashPair = (first: number, second: number): number =>
  mixBits(Math.imul(Math.min(first, second), 0x9E3779B1) ^ Math.max(first, second))

const mixBits = (value: number): number => {
  let mixed = Math.imul(value ^ (value >>> 16), 0x85EBCA6B)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2B2AE35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
