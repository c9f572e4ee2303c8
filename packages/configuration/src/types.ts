/**
 * Published configuration revisions, and the result of offering one to this VM.
 */

import type { Revision } from '@cuminvale/common'
import type { DocumentFault, DocumentTexts } from '@cuminvale/documents'

export interface PublishedRevision {
  readonly revision: Revision
  readonly texts: DocumentTexts
}

export const AcceptanceKind = {
  Accepted: 'accepted',
  /** Not newer than the revision in force. */
  Stale: 'stale',
  /** Has faults and is refused as a whole; the revision in force stays. */
  Refused: 'refused'
} as const

export type Acceptance =
  | { readonly kind: typeof AcceptanceKind.Accepted, readonly revision: Revision }
  | { readonly kind: typeof AcceptanceKind.Stale, readonly revision: Revision }
  | { readonly kind: typeof AcceptanceKind.Refused, readonly revision: Revision, readonly faults: readonly DocumentFault[] }
