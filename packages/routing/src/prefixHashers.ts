/**
 * Digests of the prefixes of a prompt. Each digest covers all text from the
 * start of the prompt to the end of one block.
 */

import { createHash } from 'node:crypto'

export interface HashedPrefix {
  readonly digest: string
  readonly tokens: number
}

export interface PrefixHasher {
  /** Prefixes of a prompt that end at block boundaries, shortest first. */
  hashPrefixes (prompt: string): readonly HashedPrefix[]
}

const charactersPerToken = 4
/** Characters in one block of an engine's prefix cache. */
export const charactersPerBlock = 256
/** Of longer prompts only the first blocks are hashed. */
const maximumPrefixes = 128

const chainDigest = (previous: string, text: string): string =>
  createHash('sha256').update(previous).update(text).digest('base64url')

/** Chained digests of blocks of a fixed size, as engines identify their cached prefixes. */
export class FixedBlockHasher implements PrefixHasher {
  hashPrefixes (prompt: string): readonly HashedPrefix[] {
    const prefixes: HashedPrefix[] = []
    let digest = ''
    for (let end = charactersPerBlock; end <= prompt.length && prefixes.length < maximumPrefixes; end += charactersPerBlock) {
      digest = chainDigest(digest, prompt.slice(end - charactersPerBlock, end))
      prefixes.push({ digest, tokens: end / charactersPerToken })
    }
    return prefixes
  }
}

export interface ContentDefinedBounds {
  readonly minimumCharacters: number
  readonly maximumCharacters: number
  /** Number of bits of the rolling hash that are zero at a boundary. */
  readonly boundaryBits: number
}

const defaultContentDefinedBounds: ContentDefinedBounds = { minimumCharacters: 256, maximumCharacters: 4_096, boundaryBits: 10 }
const gearMultiplier = 0x9E3779B1

/** Chained digests of content-defined blocks, whose boundaries are set by a rolling hash of the text. */
export class ContentDefinedHasher implements PrefixHasher {
  private readonly mask: number

  constructor (private readonly bounds: ContentDefinedBounds = defaultContentDefinedBounds) {
    this.mask = (1 << bounds.boundaryBits) - 1
  }

  hashPrefixes (prompt: string): readonly HashedPrefix[] {
    const prefixes: HashedPrefix[] = []
    let digest = ''
    let start = 0
    let rollingHash = 0
    for (let index = 0; index < prompt.length && prefixes.length < maximumPrefixes; index += 1) {
      rollingHash = ((rollingHash << 1) + Math.imul(prompt.charCodeAt(index), gearMultiplier)) | 0
      const length = index + 1 - start
      if (length < this.bounds.minimumCharacters) continue
      if (((rollingHash >>> 12) & this.mask) !== 0 && length < this.bounds.maximumCharacters) continue
      digest = chainDigest(digest, prompt.slice(start, index + 1))
      start = index + 1
      prefixes.push({ digest, tokens: start / charactersPerToken })
    }
    return prefixes
  }
}
