/**
 * Secrets that the daemon reads from files and reloads on demand, so that they can be rotated
 * without a restart. A file contains one secret per line. The first one signs, and all of them verify.
 */

import { readFileSync } from 'node:fs'
import { Result } from 'true-myth'
import { SecretFileError } from './errors.js'

export class SecretFile {
  private secrets: readonly Uint8Array[]

  /** Throws if the file cannot be read or contains no secret. */
  constructor (private readonly file: string) {
    const read = readSecrets(file)
    if (read.isErr) throw read.error
    this.secrets = read.value
  }

  get signing (): Uint8Array {
    return this.secrets[0] as Uint8Array
  }

  get accepted (): readonly Uint8Array[] {
    return this.secrets
  }

  isAccepted (secret: Uint8Array): boolean {
    return this.secrets.some((accepted) => Buffer.compare(accepted, secret) === 0)
  }

  /** Reads the file again. If it cannot be read or contains no secret, the current secrets stay in use. */
  reload (): Result<readonly Uint8Array[], SecretFileError> {
    const read = readSecrets(this.file)
    if (read.isOk) this.secrets = read.value
    return read
  }
}

const readSecrets = (file: string): Result<readonly Uint8Array[], SecretFileError> => {
  try {
    const lines = readFileSync(file, 'utf8').split('\n').map((line) => line.trim()).filter((line) => line !== '')
    if (lines.length === 0) return Result.err(new SecretFileError(file, 'contains no secret'))
    return Result.ok(lines.map((line) => Buffer.from(line)))
  } catch (error) {
    return Result.err(new SecretFileError(file, error instanceof Error ? error.message : String(error)))
  }
}
