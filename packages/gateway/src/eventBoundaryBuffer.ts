/**
 * Splits a stream of server-sent events at event boundaries. Remembers the id
 * of the last complete event, so that a broken stream can be resumed after it,
 * and holds back what does not continue a resumed one.
 */

import { ContinuedEvents } from './continuedEvents.js'
import { GrowingBuffer } from './growingBuffer.js'
import { HeldBytes } from './heldBytes.js'
import { NewestEvents } from './newestEvents.js'

const lineFeed = 10
const carriageReturn = 13
const colon = 58
/** Bytes of a blank line and the line ending before it that an earlier chunk may hold. */
const maximumBoundaryBytes = 4
const idFieldStarts = ['\nid:', '\rid:'] as const
const maximumEventBytes = 1_048_576
const emptyBuffer = Buffer.alloc(0)

export class EventBoundaryBuffer {
  /** The bytes after the last event boundary. */
  private readonly partial: GrowingBuffer
  /** The newest complete events among which one has an id. */
  private lastEventsWithId: NewestEvents | undefined
  private lastEvents: NewestEvents | undefined
  private hasEvents = false
  /** Checks the events of an answer that continues the stream; undefined during the first one. */
  private continuation: ContinuedEvents | undefined
  private hasForeignEvents = false
  /** Whether the answer under way has brought a complete event. */
  private hasEventsOfAnswer = false
  /** Whether an event that an earlier answer had begun has not come yet. */
  private hasLostEvent = false

  constructor (held: HeldBytes = new HeldBytes(Infinity)) {
    this.partial = new GrowingBuffer({ held, maximumBytes: maximumEventBytes })
  }

  /** Whether what has come does not continue the stream; it is not returned then. */
  get isDiscontinuous (): boolean {
    return this.hasForeignEvents
  }

  /** Begins with another answer, whose events must come after the one with the id; undefined if there is none. */
  continueAfter (id: string | undefined): void {
    this.discardPartialEvent()
    this.continuation = new ContinuedEvents(id)
    this.hasForeignEvents = false
    this.hasEventsOfAnswer = false
  }

  get hasAnswerEvents (): boolean {
    return this.hasEventsOfAnswer
  }

  get owesEvent (): boolean {
    return this.hasLostEvent
  }

  /** Adds a chunk; returns the buffered bytes up to the last event boundary, or undefined if there is none. */
  push (chunk: Buffer): Buffer | undefined {
    const searchedBytes = this.partial.length
    const buffer = searchedBytes === 0 ? chunk : this.partial.append(chunk)
    const end = lastBoundaryEnd(buffer, Math.max(0, searchedBytes - maximumBoundaryBytes))
    if (end === 0) {
      if (searchedBytes === 0) this.partial.append(chunk)
      return undefined
    }
    this.partial.replace(buffer.subarray(end))
    const completeEvents = buffer.subarray(0, end)
    if (this.continuation?.accept(completeEvents) === false) this.hasForeignEvents = true
    if (this.hasForeignEvents) return undefined
    this.recordEvents(completeEvents)
    if (hasIdField(completeEvents)) this.lastEventsWithId = this.lastEvents = new NewestEvents(completeEvents)
    else if (!hasOnlyComments(completeEvents)) this.lastEvents = new NewestEvents(completeEvents)
    return completeEvents
  }

  /** Bytes after the last event boundary. */
  partialEvent (): Buffer | undefined {
    return this.partial.length === 0 ? undefined : this.partial.bytes
  }

  /** Number of these bytes. */
  get partialEventBytes (): number {
    return this.partial.length
  }

  /** Memory that the partial event takes, in bytes. */
  get heldBytes (): number {
    return this.partial.capacity
  }

  /** Whether the stream so far ends inside an event. Comments and blank lines are no part of one. */
  get isInsideEvent (): boolean {
    const partialEvent = this.partialEvent()
    return partialEvent !== undefined && !hasOnlyComments(partialEvent)
  }

  get hasCompleteEvents (): boolean {
    return this.hasEvents
  }

  /** Whether the partial event exceeds the size limit of one event, or what one answer may hold at this moment. */
  get exceedsLimit (): boolean {
    return this.partial.exceedsLimit
  }

  /** Discards a partial event before the stream is resumed on another upstream. */
  discardPartialEvent (): void {
    this.hasLostEvent ||= this.isInsideEvent
    this.partial.replace(emptyBuffer)
  }

  /** Id of the last complete event that has one. */
  get lastEventId (): string | undefined {
    return this.lastEventsWithId?.lastId
  }

  /** Whether the stream can be resumed after this id. */
  get endsWithId (): boolean {
    return this.lastEvents?.endsWithId === true
  }

  private recordEvents (completeEvents: Buffer): void {
    if (this.hasEventsOfAnswer || hasOnlyComments(completeEvents)) return
    this.hasEvents = this.hasEventsOfAnswer = true
    this.hasLostEvent = false
  }
}

/** Position after the line ending at a position; the position itself if none begins there, or if its line feed may be still to come. */
const lineEndAfter = (buffer: Buffer, start: number): number => {
  if (buffer[start] === lineFeed) return start + 1
  if (buffer[start] !== carriageReturn || start + 1 === buffer.length) return start
  return buffer[start + 1] === lineFeed ? start + 2 : start + 1
}

/** End of the line that begins at a position, before its line ending. */
const lineTextEnd = (buffer: Buffer, start: number): number => {
  let end = start
  while (end < buffer.length && buffer[end] !== lineFeed && buffer[end] !== carriageReturn) end += 1
  return end
}

/** Whether all lines are complete, and are comments or blank. Reads each byte once: upstreams decide what it is given. */
const hasOnlyComments = (events: Buffer): boolean => {
  let position = 0
  while (position < events.length) {
    const textEnd = events[position] === colon ? lineTextEnd(events, position) : position
    const next = lineEndAfter(events, textEnd)
    if (next === textEnd) return false
    position = next
  }
  return true
}

const hasIdField = (events: Buffer): boolean =>
  events.toString('latin1', 0, 'id:'.length) === 'id:' || idFieldStarts.some((start) => events.includes(start))

/** Start of the line ending that ends at the given position; the position itself if none does. */
const lineEndStart = (buffer: Buffer, end: number): number => {
  if (buffer[end - 1] === carriageReturn) return end - 1
  if (buffer[end - 1] !== lineFeed) return end
  return buffer[end - 2] === carriageReturn ? end - 2 : end - 1
}

/**
 * End of the last blank line after the given position; 0 if there is none. A
 * carriage return at the end of the buffer counts only after another one, in a
 * stream whose lines end with it: otherwise its line feed has not arrived.
 */
const lastBoundaryEnd = (buffer: Buffer, from: number): number => {
  const { length } = buffer
  const isHalfLineEnd = buffer[length - 1] === carriageReturn && buffer[length - 2] !== carriageReturn
  for (let end = isHalfLineEnd ? length - 1 : length; end > from; end -= 1) {
    const start = lineEndStart(buffer, end)
    if (start !== end && start > 0 && lineEndStart(buffer, start) !== start) return end
  }
  return 0
}
