/**
 * Messages that distribute configuration revisions between VMs.
 */

import type { DocumentTexts } from '@cuminvale/documents'
import type { Revision } from '@cuminvale/common'

/** Announces the revision that the sender holds. A receiver with an older one fetches it. */
export interface ConfigurationAnnounce {
  readonly kind: 'configuration.announce'
  readonly revision: Revision
}

/** Asks the receiver for the documents of its revision, if that is newer than `heldRevision`. */
export interface ConfigurationFetch {
  readonly kind: 'configuration.fetch'
  readonly heldRevision: Revision
}

export interface ConfigurationContent {
  readonly kind: 'configuration.content'
  readonly revision: Revision
  readonly texts: DocumentTexts
}

export type ConfigurationMessage = ConfigurationAnnounce | ConfigurationFetch | ConfigurationContent
