import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { BlockBuffer, BlockPool } from './blockBuffer.js'

const chunksOf = fc.array(fc.tuple(fc.integer({ min: 0, max: 100_000 }), fc.integer({ min: 0, max: 255 })), { maxLength: 8 })
  .map((chunks) => chunks.map(([length, value]) => Buffer.alloc(length, value)))

describe('BlockBuffer', () => {
  it('returns the chunks joined, also from memory that was used before', () => {
    const pool = new BlockPool()
    fc.assert(fc.property(chunksOf, (chunks) => {
      const buffer = new BlockBuffer({ pool, grow: () => true })
      chunks.forEach((chunk) => buffer.append(chunk))
      const joined = Buffer.concat(chunks)
      expect(buffer.length).toBe(joined.length)
      expect(buffer.take().equals(joined)).toBe(true)
      expect(buffer.length).toBe(0)
    }))
  })

  // Guards against a body that changes while its request waits, as another one is read into the same memory.
  it('keeps what was taken apart from what is read next', () => {
    const pool = new BlockPool()
    const first = new BlockBuffer({ pool, grow: () => true })
    const second = new BlockBuffer({ pool, grow: () => true })
    first.append(Buffer.alloc(200_000, 1))
    const taken = first.take()
    second.append(Buffer.alloc(200_000, 2))
    expect(taken.equals(Buffer.alloc(200_000, 1))).toBe(true)
  })

  it('counts all but its first block before it takes it, and takes none that it may not', () => {
    let counted = 0
    const buffer = new BlockBuffer({
      pool: new BlockPool(),
      grow: (bytes) => {
        counted += bytes
        return counted <= 100_000
      }
    })
    for (let index = 0; index < 69_633; index += 1) buffer.append(Buffer.alloc(1))
    expect([buffer.length, counted]).toEqual([69_632, 131_072])
  })
})
