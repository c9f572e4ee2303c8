/**
 * Holds the configuration in force. A revision is accepted whole or refused
 * whole, and is replaced only by a higher one, whoever offers it.
 */

import { assertInvariant } from '@cuminvale/common'
import { checkDocuments } from '@cuminvale/documents'
import type { Configuration } from '@cuminvale/documents'
import { AcceptanceKind } from './types.js'
import type { Acceptance, PublishedRevision } from './types.js'

export type ConfigurationListener = (configuration: Configuration) => void

export class ConfigurationHolder {
  private inForce: Configuration | undefined
  private published: PublishedRevision | undefined
  private readonly listeners: ConfigurationListener[] = []

  /** The configuration in force; undefined until the first is accepted. */
  get current (): Configuration | undefined {
    return this.inForce
  }

  /** The texts of the revision in force, for peers that ask. */
  get currentTexts (): PublishedRevision | undefined {
    return this.published
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
      () => `revision ${configuration.revision} after ${before}`)
    this.inForce = configuration
    this.published = published
    for (const listener of this.listeners) listener(configuration)
  }
}
