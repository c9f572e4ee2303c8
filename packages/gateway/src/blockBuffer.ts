/**
 * Bytes that arrive in chunks, copied into blocks that are used again. Buffers
 * that are dropped stay in memory until they are collected; bodies that are
 * refused one after the other would take far more than what is held of them.
 */

/** Longest first block; shorter ones come from Node's own pool. */
export const firstBlockBytes = 4_096
const blockBytes = 65_536
/** Free blocks that are kept; 32 MiB. */
const maximumFreeBlocks = 512

export class BlockPool {
  private readonly free: Buffer[] = []

  take (): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(blockBytes)
  }

  give (block: Buffer): void {
    if (block.length === blockBytes && this.free.length < maximumFreeBlocks) this.free.push(block)
  }
}

export interface BlockBufferOptions {
  readonly pool: BlockPool
  /** Length that is expected; undefined if it isn't known. */
  readonly expectedBytes?: number | undefined
  /** Called before memory is taken beyond a first block; false if it may not be. */
  readonly grow: (bytes: number) => boolean
}

export class BlockBuffer {
  private blocks: Buffer[] = []
  private capacity = 0
  private heldLength = 0

  constructor (private readonly options: BlockBufferOptions) {}

  get length (): number {
    return this.heldLength
  }

  append (chunk: Buffer): void {
    for (let offset = 0; offset < chunk.length;) {
      if (this.heldLength === this.capacity && !this.addBlock()) return
      const block = this.blocks.at(-1) as Buffer
      const start = block.length - (this.capacity - this.heldLength)
      const copied = chunk.copy(block, start, offset)
      offset += copied
      this.heldLength += copied
    }
  }

  /** The bytes in one piece; nothing is held here any more. */
  take (): Buffer {
    const [first] = this.blocks
    const bytes = first !== undefined && this.blocks.length === 1 ? first.subarray(0, this.heldLength) : Buffer.concat(this.blocks, this.heldLength)
    this.clear()
    return bytes
  }

  /** Gives the memory back. */
  clear (): void {
    for (const block of this.blocks) this.options.pool.give(block)
    this.blocks = []
    this.capacity = this.heldLength = 0
  }

  private addBlock (): boolean {
    const { pool, expectedBytes = firstBlockBytes, grow } = this.options
    const isFirst = this.blocks.length === 0
    if (!isFirst && !grow(blockBytes)) return false
    const block = isFirst ? Buffer.allocUnsafe(Math.min(expectedBytes, firstBlockBytes)) : pool.take()
    this.blocks.push(block)
    this.capacity += block.length
    return true
  }
}
