/**
 * Buffers log lines and writes them in batches, one write at a time. If the
 * buffer fills up because the reader is slow, further lines are dropped and
 * counted, so that logging never blocks the process.
 */

const flushDelayMilliseconds = 20
const flushThresholdCharacters = 65_536
/** Lines are dropped while this much text is pending; it holds about a second of the busiest log. */
const maximumPendingCharacters = 524_288

/** Writes text and calls `done` when the next write may start; with an error if a part of the text was not written. */
export type WriteText = (text: string, done: (error?: Error) => void) => void

export class LineBuffer {
  private pendingLines: string[] = []
  private pendingCharacters = 0
  private droppedCount = 0
  private totalDroppedCount = 0
  private isWriting = false
  private flushTimer: NodeJS.Timeout | undefined
  private onWritten: Array<() => void> = []

  constructor (private readonly write: WriteText) {}

  /** Lines that were dropped since the start. */
  get leftOutCount (): number {
    return this.totalDroppedCount
  }

  /** Whether all lines were written. */
  get isWritten (): boolean {
    return !this.isWriting && this.pendingLines.length === 0
  }

  push (line: string): void {
    if (this.pendingCharacters >= maximumPendingCharacters) return this.countDropped(1)
    this.pendingLines.push(line)
    this.pendingCharacters += line.length
    if (this.pendingCharacters >= flushThresholdCharacters) return this.flush()
    this.flushTimer ??= setTimeout(() => this.flush(), flushDelayMilliseconds)
  }

  flush (): void {
    clearTimeout(this.flushTimer)
    this.flushTimer = undefined
    if (this.pendingLines.length === 0 || this.isWriting) return
    const lineCount = this.pendingLines.length
    const text = this.drain()
    this.isWriting = true
    this.write(text, (error) => {
      this.isWriting = false
      if (error !== undefined) this.countDropped(lineCount)
      if (this.pendingLines.length > 0) return this.flush()
      for (const resolve of this.onWritten.splice(0)) resolve()
    })
  }

  /** Resolves when all lines were written, or after a time; true if they were. */
  async writeAll (timeoutMilliseconds: number): Promise<boolean> {
    this.flush()
    if (this.isWritten) return true
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, timeoutMilliseconds)
      this.onWritten.push(() => {
        clearTimeout(timer)
        resolve()
      })
    })
    return this.isWritten
  }

  /** Removes and returns the pending text, with the count of lines that were dropped after it. */
  drain (): string {
    if (this.droppedCount > 0) this.pendingLines.push(`${JSON.stringify({ level: 'warn', event: 'lines-left-out', count: this.droppedCount })}\n`)
    this.droppedCount = 0
    const text = this.pendingLines.join('')
    this.pendingLines = []
    this.pendingCharacters = 0
    return text
  }

  private countDropped (count: number): void {
    this.droppedCount += count
    this.totalDroppedCount += count
  }
}
