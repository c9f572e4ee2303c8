/**
 * Buffers log lines and writes them in batches, one write at a time. If the
 * buffer fills up because the reader is slow, further lines are dropped and
 * counted, so that logging never blocks the process.
 */

const flushMilliseconds = 20
const flushCharacters = 65_536
/** Lines are dropped while this much text is pending; it holds about a second of the busiest log. */
const mostWaitingCharacters = 524_288

/** Writes text and calls `done` when the next write may start. */
export type WriteText = (text: string, done: () => void) => void

export class LineBuffer {
  private lines: string[] = []
  private characters = 0
  private leftOut = 0
  private isWriting = false
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly write: WriteText) {}

  push (line: string): void {
    if (this.characters >= mostWaitingCharacters) {
      this.leftOut += 1
      return
    }
    this.lines.push(line)
    this.characters += line.length
    if (this.characters >= flushCharacters) return this.flush()
    this.timer ??= setTimeout(() => this.flush(), flushMilliseconds)
  }

  flush (): void {
    clearTimeout(this.timer)
    this.timer = undefined
    if (this.lines.length === 0 || this.isWriting) return
    if (this.leftOut > 0) this.lines.push(`${JSON.stringify({ level: 'warn', event: 'lines-left-out', count: this.leftOut })}\n`)
    this.leftOut = 0
    const text = this.lines.join('')
    this.lines = []
    this.characters = 0
    this.isWriting = true
    this.write(text, () => {
      this.isWriting = false
      if (this.lines.length > 0) this.flush()
    })
  }

  /** Removes and returns the pending text, for a last write before the process exits. */
  drain (): string {
    const text = this.lines.join('')
    this.lines = []
    this.characters = 0
    return text
  }
}
