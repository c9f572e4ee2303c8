/**
 * A body that is being read, in memory that is counted with what the VM holds
 * for all callers. It gives way while it isn't whole.
 */

import { BlockBuffer } from './blockBuffer.js'
import { requestCostBytes } from './constants.js'
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
  private readonly holder: MemoryHolder
  private readonly buffer: BlockBuffer
  private readonly announcedBytes: number | undefined
  private isOver = false

  constructor (private readonly options: CountedBodyOptions) {
    const { request: { headers }, memory, onNoRoom } = options
    const length = headers['content-length']
    this.announcedBytes = length === undefined ? undefined : Number(length)
    this.holder = memory.hold({
      canGiveWay: () => !this.isOver,
      giveWay: () => {
        this.drop()
        onNoRoom()
      }
    })
    this.buffer = new BlockBuffer({ pool: memory.blocks, grow: (bytes) => this.holder.grow(bytes) && !this.isOver })
  }

  /** Whether it is to be longer than it may be. */
  get isTooLong (): boolean {
    return (this.announcedBytes ?? 0) > this.options.maximumBytes
  }

  /** Counts the request; it may give way at once. */
  open (): void {
    if (this.holder.grow(requestCostBytes) || this.isOver) return
    this.drop()
    this.options.onNoRoom()
  }

  /** False if the body is longer than it may be. */
  append (chunk: Buffer): boolean {
    if (this.isOver) return true
    if (this.buffer.length + chunk.length > this.options.maximumBytes) return false
    this.holder.recordProgress(chunk.length)
    this.buffer.append(chunk)
    return true
  }

  /** The whole body; what holds it is released by the caller of this method. */
  take (): { readonly bytes: Buffer, readonly holder: MemoryHolder } {
    this.isOver = true
    const bytes = this.buffer.take()
    this.holder.resize(requestCostBytes + bytes.length)
    return { bytes, holder: this.holder }
  }

  drop (): void {
    if (this.isOver) return
    this.isOver = true
    this.holder.release()
    this.buffer.clear()
  }
}
