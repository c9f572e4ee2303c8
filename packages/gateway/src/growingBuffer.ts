/**
 * Bytes that arrive in chunks, in one piece of memory that grows by doubling, so
 * that many short chunks cost little more than a long one. Keeps no memory of
 * the chunks themselves, of which a short one may be part of a long read.
 */

import type { HeldBytes } from './heldBytes.js'

const emptyBuffer = Buffer.alloc(0)

export interface GrowingBufferOptions {
  readonly held: HeldBytes
  /** Length beyond which the bytes are given up soon; more memory is not taken in advance. */
  readonly maximumBytes: number
}

export class GrowingBuffer {
  private storage: Buffer = emptyBuffer
  private heldLength = 0

  constructor (private readonly options: GrowingBufferOptions) {}

  get length (): number {
    return this.heldLength
  }

  /** Memory that it takes, in bytes. */
  get capacity (): number {
    return this.storage.length
  }

  /** The bytes; they stay as they are when others are appended. */
  get bytes (): Buffer {
    return this.storage.subarray(0, this.heldLength)
  }

  /** Whether the bytes are more than one answer may hold at this moment. */
  get exceedsLimit (): boolean {
    const { held, maximumBytes } = this.options
    return this.heldLength > Math.min(maximumBytes, held.allowance)
  }

  /** Returns all bytes with the chunk. */
  append (chunk: Buffer): Buffer {
    const length = this.heldLength + chunk.length
    if (length > this.storage.length) {
      const grown = Buffer.allocUnsafe(Math.max(length, Math.min(length * 2, this.options.maximumBytes)))
      this.options.held.recordGrowth(grown.length - this.storage.length)
      this.storage.copy(grown, 0, 0, this.heldLength)
      this.storage = grown
    }
    chunk.copy(this.storage, this.heldLength)
    this.heldLength = length
    return this.bytes
  }

  /** Begins anew with a copy of bytes; what was returned before stays as it is. */
  replace (bytes: Buffer): void {
    this.storage = emptyBuffer
    this.heldLength = 0
    if (bytes.length > 0) this.append(bytes)
  }
}
