/**
 * A body that is being read, in memory that is counted with what the VM holds
 * for all callers once it is long. It gives way while it isn't whole.
 */

import { BlockBuffer } from './blockBuffer.js'
import type { IncomingMessage } from 'node:http'
import type { CallerMemory, MemoryHolder } from './callerMemory.js'

export interface CountedBodyOptions {
  readonly request: IncomingMessage
  readonly memory: CallerMemory
  /** Length beyond which it is not to be read. */
  readonly maximumBytes: number
  /** Called once it had to give way; what was read of it is gone. */
  readonly onNoRoom: () => void
}

export class CountedBody {
  /** Counts the body once it is longer than a first block; a shorter one is counted with its request. */
  private holder: MemoryHolder | undefined
  private readonly buffer: BlockBuffer
  private readonly announcedBytes: number | undefined
  private isOver = false

  constructor (private readonly options: CountedBodyOptions) {
    const length = options.request.headers['content-length']
    this.announcedBytes = length === undefined ? undefined : Number(length)
    this.buffer = new BlockBuffer({ pool: options.memory.blocks, expectedBytes: this.announcedBytes, grow: (bytes) => this.grow(bytes) })
  }

  /** Whether it is to be longer than it may be. */
  get isTooLong (): boolean {
    return (this.announcedBytes ?? 0) > this.options.maximumBytes
  }

  /** False if the body is longer than it may be. */
  append (chunk: Buffer): boolean {
    if (this.isOver) return true
    if (this.buffer.length + chunk.length > this.options.maximumBytes) return false
    this.holder?.recordProgress(chunk.length)
    this.buffer.append(chunk)
    return true
  }

  /** The whole body; what holds it, if it is counted by itself, is released by the caller of this method. */
  take (): { readonly bytes: Buffer, readonly holder: MemoryHolder | undefined } {
    this.isOver = true
    const bytes = this.buffer.take()
    this.holder?.holdWhole(bytes.length)
    return { bytes, holder: this.holder }
  }

  drop (): void {
    if (this.isOver) return
    this.isOver = true
    this.holder?.release()
    this.buffer.clear()
  }

  private grow (bytes: number): boolean {
    this.holder ??= this.options.memory.hold({
      canGiveWay: () => !this.isOver,
      giveWay: () => {
        this.drop()
        this.options.onNoRoom()
      }
    })
    const { memory } = this.options
    if (this.holder.grow(bytes) && memory.awaitsCollection) memory.letGiveWay(this.holder)
    return !this.isOver
  }
}
