/**
 * Faults found in published documents. Every fault is reported, so that an
 * operator can correct a document in one pass.
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
