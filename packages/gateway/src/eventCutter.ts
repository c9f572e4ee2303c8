/**
 * Splits a stream of server-sent events at event boundaries. Remembers the id
 * of the last complete event, so that a broken stream can be resumed after it.
 */

const border = Buffer.from('\n\n')
const carriageBorder = Buffer.from('\r\n\r\n')
const idLine = /^id: ?(.*)$/m

export class EventCutter {
  private remainder: Buffer | undefined
  /** The newest complete events, as they were returned. */
  private lastEvent: Buffer | undefined

  /** Adds a chunk; returns the buffered bytes up to the last event boundary, or undefined if there is none. */
  push (chunk: Buffer): Buffer | undefined {
    const buffer = this.remainder === undefined ? chunk : Buffer.concat([this.remainder, chunk])
    const end = lastBorderEnd(buffer)
    this.remainder = end === buffer.length ? undefined : buffer.subarray(end)
    if (end === 0) return undefined
    const whole = buffer.subarray(0, end)
    this.lastEvent = whole
    return whole
  }

  /** Bytes after the last event boundary; a complete answer may end without one. */
  rest (): Buffer | undefined {
    return this.remainder
  }

  /** Discards a partial event before the stream is resumed on another upstream. */
  dropPartial (): void {
    this.remainder = undefined
  }

  /** Id of the last complete event that was returned. */
  get lastEventId (): string | undefined {
    if (this.lastEvent === undefined) return undefined
    const text = this.lastEvent.toString('latin1').replaceAll('\r', '').trimEnd()
    const id = idLine.exec(text.slice(Math.max(0, text.lastIndexOf('\n\n'))))?.[1]
    return id?.trim()
  }
}

const lastBorderEnd = (buffer: Buffer): number => {
  const plain = buffer.lastIndexOf(border)
  const carriage = buffer.lastIndexOf(carriageBorder)
  return Math.max(plain < 0 ? 0 : plain + border.length, carriage < 0 ? 0 : carriage + carriageBorder.length)
}
