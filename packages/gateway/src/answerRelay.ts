/**
 * Relays upstream answers to an AnswerSink: the answer to a safe request when
 * it is complete, a resumable stream in complete events, anything else as it
 * arrives. A resumed stream is joined from the answers of several attempts.
 */

import { RequestKind } from '@cuminvale/serving'
import { EventBoundaryBuffer } from './eventBoundaryBuffer.js'
import { BufferedAnswer } from './bufferedAnswer.js'
import type { Route } from '@cuminvale/serving'
import type { AnswerSink, AnswerFailureKind } from './answerSink.js'

export class AnswerRelay {
  /** Status that was passed on; 0 until then. */
  status = 0
  /** Answer to a safe request, until it is complete or too long to buffer. */
  private held: BufferedAnswer | undefined
  private readonly eventBuffer: EventBoundaryBuffer | undefined
  /** Follows the events of a stream that is passed on as it arrives. */
  private readonly passedEvents: EventBoundaryBuffer | undefined

  constructor (private readonly sink: AnswerSink, private readonly route: Route) {
    this.eventBuffer = route.kind === RequestKind.Stream && route.isResumable ? new EventBoundaryBuffer() : undefined
    this.passedEvents = route.kind === RequestKind.Stream && !route.isResumable ? new EventBoundaryBuffer() : undefined
  }

  /** Bytes of a stream after its last event boundary. */
  get partialEventBytes (): number {
    return (this.eventBuffer ?? this.passedEvents)?.partialEvent()?.length ?? 0
  }

  /** Whether another attempt may still answer: nothing was passed on yet, or the stream can be resumed. */
  get isRetryable (): boolean {
    return this.status === 0 || this.eventBuffer !== undefined
  }

  /** Id of the last event that was passed on; undefined unless the stream is resumable. */
  get lastEventId (): string | undefined {
    return this.eventBuffer?.lastEventId
  }

  /** Discards the part of an attempt's answer that was not passed on, before another attempt answers. */
  discardUnsent (): void {
    this.held = undefined
    this.eventBuffer?.discardPartialEvent()
  }

  /** False if an earlier attempt began the answer and this one, which did not succeed, can't continue it. */
  head (status: number, headers: readonly string[]): boolean {
    if (this.route.kind === RequestKind.Safe) this.held = new BufferedAnswer(status, headers)
    // The caller already has the head of an earlier attempt; only a successful one can continue its body.
    else if (this.status !== 0) return isSuccess(status)
    else this.relayHead(status, headers)
    return true
  }

  /** False if the sink can't take more until the response drains. */
  data (chunk: Buffer): boolean {
    if (this.held !== undefined) {
      this.held.push(chunk)
      if (this.held.exceedsLimit) this.relayBuffered()
      return true
    }
    this.passedEvents?.push(chunk)
    if (this.eventBuffer === undefined || !isSuccess(this.status)) return this.sink.data(chunk)
    const completeEvents = this.eventBuffer.push(chunk)
    return completeEvents === undefined || this.sink.data(completeEvents)
  }

  end (): void {
    this.relayBuffered()
    const remainder = this.eventBuffer?.partialEvent()
    if (remainder !== undefined) this.sink.data(remainder)
    this.sink.end()
  }

  /** Ends without a complete answer: fails if nothing was passed on, and aborts the answer otherwise. */
  fail (kind: AnswerFailureKind, detail: string): void {
    if (this.status !== 0) this.sink.abort()
    else this.sink.fail(kind, detail)
  }

  private relayHead (status: number, headers: readonly string[]): void {
    this.status = status
    this.sink.head(status, headers)
  }

  private relayBuffered (): void {
    const { held } = this
    if (held === undefined) return
    this.held = undefined
    this.relayHead(held.status, held.headers)
    held.writeBody(this.sink)
  }
}

const isSuccess = (status: number): boolean => status >= 200 && status < 300
