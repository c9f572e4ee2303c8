/**
 * Holds the configuration in force. A revision is accepted or refused as a
 * whole, and only a higher revision replaces it, from whichever source.
 */

import { assertInvariant } from '@cuminvale/common'
import { checkDocuments } from '@cuminvale/documents'
import type { Configuration } from '@cuminvale/documents'
import { AcceptanceKind } from './types.js'
import type { Acceptance, PublishedRevision } from './types.js'

export type ConfigurationListener = (configuration: Configuration) => void

export class ConfigurationHolder {
  private inForce: Configuration | undefined
  private publishedInForce: PublishedRevision | undefined
  private readonly listeners: ConfigurationListener[] = []

  /** The configuration in force; undefined until a revision is accepted. */
  get current (): Configuration | undefined {
    return this.inForce
  }

  /** The revision in force with its document texts, for peers that fetch it. */
  get currentPublishedRevision (): PublishedRevision | undefined {
    return this.publishedInForce
  }

  onChange (listener: ConfigurationListener): void {
    this.listeners.push(listener)
  }

  offer (offered: PublishedRevision): Acceptance {
    const { revision } = offered
    if (this.inForce !== undefined && revision <= this.inForce.revision) {
      return { kind: AcceptanceKind.Stale, revision }
    }
    const checked = checkDocuments(revision, offered.texts)
    if (checked.isErr) return { kind: AcceptanceKind.Refused, revision, faults: checked.error }
    this.adopt(checked.value, offered)
    return { kind: AcceptanceKind.Accepted, revision }
  }

  private adopt (configuration: Configuration, published: PublishedRevision): void {
    const before = this.inForce?.revision
    assertInvariant(before === undefined || configuration.revision > before, 'configuration-never-reverts',
      () => `revision ${configuration.revision} is not above revision ${before} in force`)
    this.inForce = configuration
    this.publishedInForce = published
    for (const listener of this.listeners) listener(configuration)
  }
}
