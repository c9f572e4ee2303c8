/**
 * A short answer that is kept back until it is whole, so that a broken one
 * can be asked for again without the caller seeing two.
 */

import type { AnswerSink } from './answerSink.js'

/** Longer answers are passed on as they come. */
const mostHeldBytes = 65_536

export class HeldAnswer {
  private readonly chunks: Buffer[] = []
  private bytes = 0

  constructor (readonly status: number, readonly headers: readonly string[]) {}

  push (chunk: Buffer): void {
    this.chunks.push(chunk)
    this.bytes += chunk.length
  }

  get isOverlong (): boolean {
    return this.bytes > mostHeldBytes
  }

  passBody (sink: AnswerSink): void {
    for (const chunk of this.chunks) sink.data(chunk)
  }
}
