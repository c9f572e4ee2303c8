/**
 * Faults found in published documents. All of them are listed, so that an
 * operator can mend a document in one go.
 */

import type { DocumentName } from './types.js'

export interface DocumentFault {
  readonly document: DocumentName
  /** One-based line in the document's text. */
  readonly line: number
  /** Path to the faulty value, for example `teams[2].plan`. */
  readonly path: string
  readonly detail: string
}

export const formatDocumentFault = (fault: DocumentFault): string =>
  `${fault.document}:${fault.line}: ${fault.path}: ${fault.detail}`
