/**
 * Reads the five documents from a directory of `<name>.json` files.
 */

import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { Result } from 'true-myth'
import { documentNames } from '@cuminvale/documents'
import type { DocumentTexts } from '@cuminvale/documents'
import { CommandError } from './errors.js'

export const readDocuments = (directory: string): Result<DocumentTexts, CommandError> => {
  try {
    const entries = documentNames.map((name) => [name, readFileSync(join(directory, `${name}.json`), 'utf8')])
    return Result.ok(Object.fromEntries(entries) as DocumentTexts)
  } catch (error) {
    return Result.err(new CommandError(error instanceof Error ? error.message : String(error)))
  }
}
