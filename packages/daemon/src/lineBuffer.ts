/**
 * Gathers log lines and writes them together. A write to a pipe blocks the
 * event loop, so one for each line would slow every request.
 */

const flushMilliseconds = 20
const flushCharacters = 65_536

export class LineBuffer {
  private lines: string[] = []
  private characters = 0
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly write: (text: string) => void) {
    process.on('exit', () => this.flush())
  }

  push (line: string): void {
    this.lines.push(line)
    this.characters += line.length
    if (this.characters >= flushCharacters) return this.flush()
    this.timer ??= setTimeout(() => this.flush(), flushMilliseconds)
  }

  flush (): void {
    clearTimeout(this.timer)
    this.timer = undefined
    if (this.lines.length === 0) return
    const text = this.lines.join('')
    this.lines = []
    this.characters = 0
    this.write(text)
  }
}
