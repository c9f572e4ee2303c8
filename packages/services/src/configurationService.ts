/**
 * Read-only interface of the platform's configuration service.
 */

import type { Result } from 'true-myth'
import type { Revision } from '@cuminvale/common'
import type { DocumentTexts } from '@cuminvale/documents'
import type { PlatformError } from './errors.js'

export interface PublishedDocuments {
  readonly revision: Revision
  readonly texts: DocumentTexts
}

export interface ConfigurationService {
  /** Reads all documents at a single revision. */
  read (): Promise<Result<PublishedDocuments, PlatformError>>
  /** Waits until the service's revision exceeds `after` or the timeout elapses; resolves to the service's revision. */
  watch (after: Revision, timeoutMilliseconds: number): Promise<Result<Revision, PlatformError>>
}
