/**
 * Splits a stream of server-sent events at event boundaries. The caller is passed complete events only,
 * so that a broken stream can be resumed after the last of them.
 */

const separators: readonly Buffer[] = [Buffer.from('\n\n'), Buffer.from('\r\n\r\n')]
const dataPrefix = Buffer.from('data:')
const endMark = '[DONE]'
const longestEventBytes = 1_048_576
const usagePattern = /"total_tokens":\s*(\d+)/

interface Border {
  readonly start: number
  readonly end: number
}

const nextBorder = (buffer: Buffer, from: number): Border | undefined => {
  let nearest: Border | undefined
  for (const separator of separators) {
    const start = buffer.indexOf(separator, from)
    if (start >= 0 && (nearest === undefined || start < nearest.start)) nearest = { start, end: start + separator.length }
  }
  return nearest
}

export class EventRelay {
  private remainder: Buffer | undefined
  private dataEvents = 0
  private endSeen = false
  private reportedTokens: number | undefined

  /** Complete data events so far, without comments and the `[DONE]` marker. */
  get eventCount (): number {
    return this.dataEvents
  }

  /** Whether the `[DONE]` marker has arrived. */
  get ended (): boolean {
    return this.endSeen
  }

  /** Total tokens of the stream's usage report, if it contained one. */
  get usedTokens (): number | undefined {
    return this.reportedTokens
  }

  /** Whether the incomplete event exceeds the size limit of one event. */
  get isOverlong (): boolean {
    return (this.remainder?.length ?? 0) > longestEventBytes
  }

  /** Adds a chunk; returns the bytes up to the last event boundary, if there is one. */
  push (chunk: Buffer): Buffer | undefined {
    const buffer = this.remainder === undefined ? chunk : Buffer.concat([this.remainder, chunk])
    const wholeLength = this.scan(buffer)
    this.remainder = wholeLength === buffer.length ? undefined : buffer.subarray(wholeLength)
    return wholeLength === 0 ? undefined : buffer.subarray(0, wholeLength)
  }

  /** Discards the incomplete event; a resumed stream sends it again from its start. */
  dropPartial (): void {
    this.remainder = undefined
  }

  private scan (buffer: Buffer): number {
    let position = 0
    for (let border = nextBorder(buffer, 0); border !== undefined; border = nextBorder(buffer, position)) {
      this.note(buffer.subarray(position, border.start))
      position = border.end
    }
    return position
  }

  private note (event: Buffer): void {
    if (!event.subarray(0, dataPrefix.length).equals(dataPrefix)) return
    const data = event.subarray(dataPrefix.length)
    if (data.length <= endMark.length + 2 && data.toString().trim() === endMark) {
      this.endSeen = true
      return
    }
    this.dataEvents += 1
    const usageAt = data.indexOf('"total_tokens"')
    if (usageAt < 0) return
    const found = usagePattern.exec(data.toString('utf8', usageAt))
    if (found?.[1] !== undefined) this.reportedTokens = Number(found[1])
  }
}
