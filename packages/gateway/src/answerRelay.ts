/**
 * Relays upstream answers to an AnswerSink: the answer to a safe request when
 * it is complete, a stream in complete events, anything else as it arrives. A
 * resumed stream is joined from the answers of several attempts. Decides
 * whether an answer that has ended is whole.
 */

import { RequestKind } from '@cuminvale/serving'
import { AnswerFraming } from './answerFraming.js'
import { EventBoundaryBuffer } from './eventBoundaryBuffer.js'
import { BufferedAnswer } from './bufferedAnswer.js'
import { headerValue, withoutHeader } from './headerList.js'
import type { Route, SoftwareVersion } from '@cuminvale/serving'
import type { AnswerSink, AnswerFailureKind } from './answerSink.js'
import type { HeldBytes } from './heldBytes.js'

const eventStreamType = 'text/event-stream'
const typeHeader = 'content-type'
const encodingHeader = 'content-encoding'
/** Growth of an event that shows a sound upstream; a stalled one may send a byte now and then. */
const minimumProgressBytes = 64

export interface AnswerRelayOptions {
  readonly sink: AnswerSink
  readonly route: Route
  /** What all answers may hold. */
  readonly held: HeldBytes
  /** Id of the last event of the stream that the caller has, as the VM names it that forwarded the request; undefined if it has none. */
  readonly resumeAfter: string | undefined
  /** The same as the caller names it, which takes the stream up; an empty id is that of a caller without events. */
  readonly takenUpAfter: string | undefined
  /** Whether the head of a stream waits for its first data. Another VM needs it at once, a caller's connection would not send it before. */
  readonly holdsHead: boolean
}

interface UnsentHead {
  readonly status: number
  readonly headers: readonly string[]
}

export class AnswerRelay {
  /** Status that was passed on; 0 until then. */
  status = 0
  private relayedHeaders: readonly string[] = []
  /** Whether the last data were progress: an event ended with them, or a long one has grown. */
  hasProgressed = false
  /** Bytes of the event that is begun, at the last progress. */
  private bytesAtProgress = 0
  /** Head of a stream that has no data yet. */
  private unsentHead: UnsentHead | undefined
  /** Answer to a safe request, until it is complete or too long to buffer. */
  private held: BufferedAnswer | undefined
  /** Events of a successful answer that is a stream; kept over the attempts of a resumed one. */
  private events: EventBoundaryBuffer | undefined

  constructor (private readonly options: AnswerRelayOptions) {}

  /** Whether another attempt may still answer: nothing was passed on yet, or the stream can be resumed. */
  get isRetryable (): boolean {
    if (this.status === 0) return true
    return this.isResumable && (this.events?.hasCompleteEvents !== true || this.lastEventId !== undefined)
  }

  /** Whether the caller has the head of a stream that can be resumed. */
  get hasStreamHead (): boolean {
    return this.status !== 0 && this.isResumable
  }

  /** Whether the caller has events of a stream that can be resumed. */
  get hasStreamEvents (): boolean {
    return this.isResumable && this.events?.hasCompleteEvents === true
  }

  /** Id of the last event that was passed on; undefined unless the stream can be resumed after it. */
  get lastEventId (): string | undefined {
    return this.isResumable && this.events?.endsWithId === true ? this.events.lastEventId : undefined
  }

  /** Bytes of a stream after its last complete event. */
  get partialEventBytes (): number {
    return this.events?.partialEventBytes ?? 0
  }

  /** Memory that what was not passed on takes, in bytes. */
  get heldBytes (): number {
    return (this.events?.heldBytes ?? 0) + (this.held?.heldBytes ?? 0)
  }

  /** Why the answer under way is no part of the stream; undefined if it may be. */
  get flawInData (): string | undefined {
    if (this.events?.exceedsLimit === true) return 'an event is longer than may be held'
    return this.events?.isDiscontinuous === true ? 'events that do not continue the stream' : undefined
  }

  /** Discards the part of an attempt's answer that was not passed on, after the attempt has failed or before another one answers. */
  discardUnsent (): void {
    this.held = undefined
    this.unsentHead = undefined
    this.bytesAtProgress = 0
    this.events?.discardPartialEvent()
  }

  /** Whether an attempt's answer can be passed on: if the caller has the head of an earlier one, only a stream of the same status, type and encoding can continue its body. */
  canTake (status: number, headers: readonly string[]): boolean {
    if (this.status === 0) return true
    const isNamed = headerValue(headers, typeHeader) !== undefined || headerValue(this.relayedHeaders, typeHeader) === undefined
    const isSameEncoding = headerValue(headers, encodingHeader) === headerValue(this.relayedHeaders, encodingHeader)
    return status === this.status && isNamed && isSameEncoding && this.isEventStream(status, headers)
  }

  /** Takes the head of an attempt's answer that can be passed on. */
  head (status: number, headers: readonly string[], softwareVersion?: SoftwareVersion): void {
    if (this.status !== 0) {
      this.events?.continueAfter(this.lastEventId ?? this.resumeAfter)
      return
    }
    this.events = this.isEventStream(status, headers) ? new EventBoundaryBuffer(this.options.held) : undefined
    if (this.resumeAfter !== undefined && this.isResumable) this.events?.continueAfter(this.resumeAfter)
    if (this.options.route.kind === RequestKind.Safe) this.held = new BufferedAnswer(status, headers, this.options.held)
    else if (this.options.holdsHead && this.events !== undefined) this.unsentHead = { status, headers }
    else this.relayHead(status, headers, softwareVersion)
  }

  /** False if the sink can't take more until the response drains. */
  data (chunk: Buffer): boolean {
    const passable = this.events === undefined ? chunk : this.events.push(chunk)
    this.hasProgressed = passable !== undefined || (this.flawInData === undefined && this.partialEventBytes - this.bytesAtProgress >= minimumProgressBytes)
    if (this.hasProgressed) this.bytesAtProgress = this.partialEventBytes
    if (passable === undefined) return true
    this.relayUnsentHead()
    if (this.held === undefined) return this.options.sink.data(passable)
    this.held.push(passable)
    if (this.held.exceedsLimit) this.relayBuffered()
    return true
  }

  /** Why the answer that has just ended is incomplete; undefined if it is whole. */
  flawAtEnd (framing: AnswerFraming): string | undefined {
    const { events } = this
    if (events === undefined) return undefined
    if (events.isInsideEvent) return 'the stream ended inside an event'
    if (events.owesEvent) return 'the stream ended before an event that had begun'
    // A caller may have had the last event before it sent the request.
    const mayBeEmpty = this.options.resumeAfter === undefined && this.options.takenUpAfter !== undefined && !events.hasCompleteEvents
    return framing === AnswerFraming.Close && !events.hasAnswerEvents && !mayBeEmpty ? 'the connection ended before the first event of the answer' : undefined
  }

  end (): void {
    this.relayUnsentHead()
    this.relayBuffered()
    const remainder = this.events?.partialEvent()
    if (remainder !== undefined) this.options.sink.data(remainder)
    this.options.sink.end()
  }

  /** Ends without a complete answer: fails if none was passed on, and aborts the answer otherwise. A head that waits for its first data wasn't. */
  fail (kind: AnswerFailureKind, detail: string): void {
    if (this.status !== 0) this.options.sink.abort()
    else this.options.sink.fail(kind, detail)
  }

  private get resumeAfter (): string | undefined {
    const { resumeAfter, takenUpAfter } = this.options
    const id = resumeAfter ?? takenUpAfter
    return id === '' ? undefined : id
  }

  private get isResumable (): boolean {
    const { kind, isResumable } = this.options.route
    return kind === RequestKind.Stream && isResumable && this.events !== undefined
  }

  private isEventStream (status: number, headers: readonly string[]): boolean {
    return isSuccess(status) && this.hasEvents(headers)
  }

  private hasEvents (headers: readonly string[]): boolean {
    const type = headerValue(headers, typeHeader)
    return type === undefined ? this.options.route.kind === RequestKind.Stream : type.trimStart().toLowerCase().startsWith(eventStreamType)
  }

  private relayHead (status: number, headers: readonly string[], softwareVersion?: SoftwareVersion): void {
    this.status = status
    this.relayedHeaders = headers
    this.options.sink.head(status, this.events === undefined ? headers : withoutHeader(headers, 'content-length'), softwareVersion)
  }

  private relayUnsentHead (): void {
    const { unsentHead } = this
    if (unsentHead === undefined) return
    this.unsentHead = undefined
    this.relayHead(unsentHead.status, unsentHead.headers)
  }

  private relayBuffered (): void {
    const { held } = this
    if (held === undefined) return
    this.held = undefined
    this.relayHead(held.status, held.headers)
    held.writeBody(this.options.sink)
  }
}

const isSuccess = (status: number): boolean => status >= 200 && status < 300
