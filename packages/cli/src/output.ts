/**
 * Prints results as text for people or, with `--json`, as JSON for programs.
 */

import { exitCodeFailed } from './constants.js'
import type { CommandError } from './errors.js'

export const print = (text: string): void => {
  process.stdout.write(text + '\n')
}

export const printJson = (value: unknown): void => print(JSON.stringify(value, null, 2))

export const fail = (error: CommandError): void => {
  process.stderr.write(`cuminvale: ${error.message}\n`)
  process.exitCode = exitCodeFailed
}
