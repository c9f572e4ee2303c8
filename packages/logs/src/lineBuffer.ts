/**
 * Gathers log lines and writes them together, one write at a time. Lines that
 * come faster than the reader takes them are left out and counted, so that a
 * slow reader never holds up the process.
 */

const flushMilliseconds = 20
const flushCharacters = 65_536
/** Waiting text beyond this is left out; about a second of the busiest log. */
const mostWaitingCharacters = 524_288

/** Writes text and calls back when the next piece may come. */
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

  /** Takes everything that waits, for a last write before the process ends. */
  drain (): string {
    const text = this.lines.join('')
    this.lines = []
    this.characters = 0
    return text
  }
}
