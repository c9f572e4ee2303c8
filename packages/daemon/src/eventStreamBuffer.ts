/**
 * Splits a stream of server-sent events at event boundaries. The caller is passed complete events only,
 * so that a broken stream can be resumed after the last of them.
 */

const separators: readonly Buffer[] = [Buffer.from('\n\n'), Buffer.from('\r\n\r\n')]
const dataPrefix = Buffer.from('data:')
const endMarker = '[DONE]'
const maximumEventBytes = 1_048_576
/** The start of an event or a comment, after blank lines, or nothing but these. */
const eventStartPattern = /^[\r\n]*(?:$|(?:data|event|id|retry)?:)/
const maximumEventStartBytes = 64
const usagePattern = /"total_tokens":\s*(\d+)/

interface EventBoundary {
  readonly start: number
  readonly end: number
}

const findNextBoundary = (buffer: Buffer, from: number): EventBoundary | undefined => {
  let nearest: EventBoundary | undefined
  for (const separator of separators) {
    const start = buffer.indexOf(separator, from)
    if (start >= 0 && (nearest === undefined || start < nearest.start)) nearest = { start, end: start + separator.length }
  }
  return nearest
}

export class EventStreamBuffer {
  private partialEvent: Buffer | undefined
  private dataEventCount = 0
  private isEndMarkerSeen = false
  /** Whether the bytes are those of a resumed stream. */
  private isResumed = false
  private hasForeignText = false
  private reportedTokens: number | undefined

  /** Complete data events so far, without comments and the `[DONE]` marker. */
  get eventCount (): number {
    return this.dataEventCount
  }

  /** Whether the `[DONE]` marker has arrived. */
  get ended (): boolean {
    return this.isEndMarkerSeen
  }

  /** Total tokens of the stream's usage report, if it contained one. */
  get usedTokens (): number | undefined {
    return this.reportedTokens
  }

  /** Whether the incomplete event exceeds the size limit of one event. */
  get exceedsLimit (): boolean {
    return (this.partialEvent?.length ?? 0) > maximumEventBytes
  }

  /** Whether a resumed stream holds what is no event, such as the text of an error; it is not returned. */
  get isForeign (): boolean {
    return this.hasForeignText
  }

  /** Adds a chunk; returns the bytes up to the last event boundary, if there is one. */
  push (chunk: Buffer): Buffer | undefined {
    const buffer = this.partialEvent === undefined ? chunk : Buffer.concat([this.partialEvent, chunk])
    const completeLength = this.recordCompleteEvents(buffer)
    this.partialEvent = completeLength === buffer.length ? undefined : buffer.subarray(completeLength)
    return completeLength === 0 ? undefined : buffer.subarray(0, completeLength)
  }

  /** Discards the incomplete event; a resumed stream sends it again from its start. */
  discardPartialEvent (): void {
    this.partialEvent = undefined
    this.isResumed = true
    this.hasForeignText = false
  }

  private recordCompleteEvents (buffer: Buffer): number {
    let position = 0
    for (let boundary = findNextBoundary(buffer, 0); boundary !== undefined; boundary = findNextBoundary(buffer, position)) {
      this.hasForeignText ||= this.isResumed && !eventStartPattern.test(buffer.toString('latin1', position, Math.min(boundary.start, position + maximumEventStartBytes)))
      if (this.hasForeignText) break
      this.recordEvent(buffer.subarray(position, boundary.start))
      position = boundary.end
    }
    return position
  }

  private recordEvent (event: Buffer): void {
    if (!event.subarray(0, dataPrefix.length).equals(dataPrefix)) return
    const data = event.subarray(dataPrefix.length)
    if (data.length <= endMarker.length + 2 && data.toString().trim() === endMarker) {
      this.isEndMarkerSeen = true
      return
    }
    this.dataEventCount += 1
    const usageIndex = data.indexOf('"total_tokens"')
    if (usageIndex < 0) return
    const usageMatch = usagePattern.exec(data.toString('utf8', usageIndex))
    if (usageMatch?.[1] !== undefined) this.reportedTokens = Number(usageMatch[1])
  }
}
