/**
 * Cuts a stream of server-sent events at event borders and remembers the id
 * of the last whole event, so that a broken stream can go on after it.
 */

const border = Buffer.from('\n\n')
const carriageBorder = Buffer.from('\r\n\r\n')
const idLine = /^id: ?(.*)$/m

export class EventCutter {
  private remainder: Buffer | undefined
  private lastEvent: Buffer | undefined

  /** Takes what arrived; returns the part that ends with a whole event. */
  push (chunk: Buffer): Buffer | undefined {
    const buffer = this.remainder === undefined ? chunk : Buffer.concat([this.remainder, chunk])
    const end = lastBorderEnd(buffer)
    this.remainder = end === buffer.length ? undefined : buffer.subarray(end)
    if (end === 0) return undefined
    const whole = buffer.subarray(0, end)
    this.lastEvent = whole
    return whole
  }

  /** Whatever follows the last whole event; a complete answer may end so. */
  rest (): Buffer | undefined {
    return this.remainder
  }

  /** Forgets a partial event, before the stream goes on elsewhere. */
  dropPartial (): void {
    this.remainder = undefined
  }

  /** Id of the last whole event that was passed on. */
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
