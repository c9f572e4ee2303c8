/**
 * Buffers log lines and writes them in batches, one write at a time. If the
 * buffer fills up because the reader is slow, further lines are dropped and
 * counted, so that logging never blocks the process.
 */

const flushDelayMilliseconds = 20
const flushThresholdCharacters = 65_536
/** Lines are dropped while this much text is pending; it holds about a second of the busiest log. */
const maximumPendingCharacters = 524_288

/** Writes text and calls `done` when the next write may start. */
export type WriteText = (text: string, done: () => void) => void

export class LineBuffer {
  private pendingLines: string[] = []
  private pendingCharacters = 0
  private droppedCount = 0
  private isWriting = false
  private flushTimer: NodeJS.Timeout | undefined

  constructor (private readonly write: WriteText) {}

  push (line: string): void {
    if (this.pendingCharacters >= maximumPendingCharacters) {
      this.droppedCount += 1
      return
    }
    this.pendingLines.push(line)
    this.pendingCharacters += line.length
    if (this.pendingCharacters >= flushThresholdCharacters) return this.flush()
    this.flushTimer ??= setTimeout(() => this.flush(), flushDelayMilliseconds)
  }

  flush (): void {
    clearTimeout(this.flushTimer)
    this.flushTimer = undefined
    if (this.pendingLines.length === 0 || this.isWriting) return
    if (this.droppedCount > 0) this.pendingLines.push(`${JSON.stringify({ level: 'warn', event: 'lines-left-out', count: this.droppedCount })}\n`)
    this.droppedCount = 0
    const text = this.pendingLines.join('')
    this.pendingLines = []
    this.pendingCharacters = 0
    this.isWriting = true
    this.write(text, () => {
      this.isWriting = false
      if (this.pendingLines.length > 0) this.flush()
    })
  }

  /** Removes and returns the pending text, for a last write before the process exits. */
  drain (): string {
    const text = this.pendingLines.join('')
    this.pendingLines = []
    this.pendingCharacters = 0
    return text
  }
}
