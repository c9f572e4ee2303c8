/**
 * Buffers a short answer until it is complete. If the answer breaks off, the
 * request can be retried and the caller never sees parts of two answers.
 */

import { GrowingBuffer } from './growingBuffer.js'
import type { AnswerSink } from './answerSink.js'
import type { HeldBytes } from './heldBytes.js'

/** Longer answers are passed on as they arrive. */
const maximumBufferedBytes = 65_536

export class BufferedAnswer {
  private readonly body: GrowingBuffer

  constructor (readonly status: number, readonly headers: readonly string[], held: HeldBytes) {
    this.body = new GrowingBuffer({ held, maximumBytes: maximumBufferedBytes })
  }

  push (chunk: Buffer): void {
    this.body.append(chunk)
  }

  /** Whether the body is longer than one that is held to its end. */
  get exceedsLimit (): boolean {
    return this.body.exceedsLimit
  }

  /** Memory that the body takes, in bytes. */
  get heldBytes (): number {
    return this.body.capacity
  }

  writeBody (sink: AnswerSink): void {
    if (this.body.length > 0) sink.data(this.body.bytes)
  }
}
