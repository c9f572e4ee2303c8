/**
 * The platform's configuration service. It can only be read and watched.
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
  /** Reads all documents as of one revision. */
  read (): Promise<Result<PublishedDocuments, PlatformError>>
  /** Waits until the service is past a revision, or for the timeout; returns its revision. */
  watch (after: Revision, timeoutMilliseconds: number): Promise<Result<Revision, PlatformError>>
}
