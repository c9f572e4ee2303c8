/**
 * Secrets read from files and read again on demand, so that they can be
 * replaced without a restart. A file holds one secret a line: the first signs,
 * all of them verify.
 */

import { readFileSync } from 'node:fs'

export class SecretFile {
  private secrets: readonly Uint8Array[]

  constructor (private readonly file: string) {
    this.secrets = this.read()
  }

  get signing (): Uint8Array {
    const first = this.secrets[0]
    if (first === undefined) throw new Error(`${this.file}: holds no secret`)
    return first
  }

  get accepted (): readonly Uint8Array[] {
    return this.secrets
  }

  reload (): void {
    this.secrets = this.read()
  }

  private read (): readonly Uint8Array[] {
    const lines = readFileSync(this.file, 'utf8').split('\n').map((line) => line.trim()).filter((line) => line !== '')
    if (lines.length === 0) throw new Error(`${this.file}: holds no secret`)
    return lines.map((line) => Buffer.from(line))
  }
}
