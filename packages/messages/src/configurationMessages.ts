/**
 * Spread of configuration revisions between VMs.
 */

import type { DocumentTexts } from '@cuminvale/documents'
import type { Revision } from '@cuminvale/common'

/** Announces the revision that the sender holds. */
export interface ConfigurationAnnounce {
  readonly kind: 'configuration.announce'
  readonly revision: Revision
}

/** Asks for the documents of the sender's newest revision. */
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
