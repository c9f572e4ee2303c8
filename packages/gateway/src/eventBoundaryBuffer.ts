/**
 * Splits a stream of server-sent events at event boundaries. Remembers the id
 * of the last complete event, so that a broken stream can be resumed after it.
 */

const lineFeed = 10
const carriageReturn = 13
/** Bytes of a blank line and the line ending before it that an earlier chunk may hold. */
const maximumBoundaryBytes = 4
const idFieldPattern = /^id: ?(.*)$/gm
const idFieldStarts = ['\nid:', '\rid:'] as const
const completeCommentsPattern = /^(?:(?::[^\r\n]*)?(?:\r?\n|\r(?!$)))*$/
const maximumEventBytes = 1_048_576

export class EventBoundaryBuffer {
  private remainder: Buffer | undefined
  /** The newest complete events among which one has an id, as they were returned. */
  private lastEventsWithId: Buffer | undefined
  private hasEvents = false

  /** Adds a chunk; returns the buffered bytes up to the last event boundary, or undefined if there is none. */
  push (chunk: Buffer): Buffer | undefined {
    const searchedBytes = this.remainder?.length ?? 0
    const buffer = this.remainder === undefined ? chunk : Buffer.concat([this.remainder, chunk])
    const end = lastBoundaryEnd(buffer, Math.max(0, searchedBytes - maximumBoundaryBytes))
    this.remainder = end === buffer.length ? undefined : buffer.subarray(end)
    if (end === 0) return undefined
    const completeEvents = buffer.subarray(0, end)
    this.hasEvents ||= !hasOnlyComments(completeEvents)
    if (hasIdField(completeEvents)) this.lastEventsWithId = completeEvents
    return completeEvents
  }

  /** Bytes after the last event boundary. */
  partialEvent (): Buffer | undefined {
    return this.remainder
  }

  /** Whether the stream so far ends inside an event. Comments and blank lines are no part of one. */
  get isInsideEvent (): boolean {
    return this.remainder !== undefined && !hasOnlyComments(this.remainder)
  }

  get hasCompleteEvents (): boolean {
    return this.hasEvents
  }

  /** Whether the partial event exceeds the size limit of one event. */
  get exceedsLimit (): boolean {
    return this.remainder !== undefined && this.remainder.length > maximumEventBytes
  }

  /** Discards a partial event before the stream is resumed on another upstream. */
  discardPartialEvent (): void {
    this.remainder = undefined
  }

  /** Id of the last complete event that has one. */
  get lastEventId (): string | undefined {
    const text = this.lastEventsWithId?.toString('latin1').replaceAll(/\r\n|\r/g, '\n') ?? ''
    return [...text.matchAll(idFieldPattern)].at(-1)?.[1]?.trim()
  }
}

const hasOnlyComments = (events: Buffer): boolean => completeCommentsPattern.test(events.toString('latin1'))

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
