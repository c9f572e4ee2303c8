/**
 * Buffers a short answer until it is complete. If the answer breaks off, the
 * request can be retried and the caller never sees parts of two answers.
 */

import type { AnswerSink } from './answerSink.js'

/** Longer answers are passed on as they arrive. */
const maximumBufferedBytes = 65_536

export class BufferedAnswer {
  private readonly chunks: Buffer[] = []
  private bytes = 0

  constructor (readonly status: number, readonly headers: readonly string[]) {}

  push (chunk: Buffer): void {
    this.chunks.push(chunk)
    this.bytes += chunk.length
  }

  get exceedsLimit (): boolean {
    return this.bytes > maximumBufferedBytes
  }

  writeBody (sink: AnswerSink): void {
    for (const chunk of this.chunks) sink.data(chunk)
  }
}
