/**
 * Distributes configuration revisions between VMs by gossip: each VM announces
 * its revision to a few random peers, and fetches a newer one from the peer
 * that announced it.
 */

import { toRevision } from '@cuminvale/common'
import type { Random, VmId } from '@cuminvale/common'
import type { ConfigurationMessage, OutboundMessage, PeerIdentity, PeerProtocol } from '@cuminvale/messages'
import type { ConfigurationHolder } from './configurationHolder.js'
import { AcceptanceKind } from './types.js'
import type { Acceptance } from './types.js'

export interface ConfigurationGossipOptions {
  readonly holder: ConfigurationHolder
  readonly random: Random
  /** The reachable peers, in any order. */
  readonly peers: () => readonly VmId[]
  readonly onAcceptance: (acceptance: Acceptance) => void
}

const announceFanout = 3
const announceIntervalMilliseconds = 500

export class ConfigurationGossip implements PeerProtocol<ConfigurationMessage> {
  readonly tickMilliseconds = announceIntervalMilliseconds

  constructor (private readonly options: ConfigurationGossipOptions) {}

  tick (): readonly OutboundMessage[] {
    return this.announce()
  }

  /** Announces the revision in force to a few random peers; without one, asks them for theirs. */
  announce (): readonly OutboundMessage[] {
    const { holder, random, peers } = this.options
    const revision = holder.current?.revision
    const chosen = peers()
      .map((vm) => ({ vm, order: random.next() }))
      .sort((first, second) => first.order - second.order)
      .slice(0, announceFanout)
    if (revision === undefined) {
      return chosen.map(({ vm }) => ({ to: vm, message: { kind: 'configuration.fetch', heldRevision: toRevision(0) } }))
    }
    return chosen.map(({ vm }) => ({ to: vm, message: { kind: 'configuration.announce', revision } }))
  }

  receive (from: PeerIdentity, message: ConfigurationMessage): readonly OutboundMessage[] {
    if (message.kind === 'configuration.announce') return this.onAnnounce(from, message.revision)
    if (message.kind === 'configuration.fetch') return this.onFetch(from, message.heldRevision)
    const acceptance = this.options.holder.offer(message)
    this.options.onAcceptance(acceptance)
    return acceptance.kind === AcceptanceKind.Accepted ? this.announce() : []
  }

  private onAnnounce (from: PeerIdentity, announced: number): readonly OutboundMessage[] {
    const inForce = this.options.holder.current?.revision
    if (inForce === undefined || announced > inForce) {
      return [{ to: from.vm, message: { kind: 'configuration.fetch', heldRevision: inForce ?? toRevision(0) } }]
    }
    if (announced < inForce) return [{ to: from.vm, message: { kind: 'configuration.announce', revision: inForce } }]
    return []
  }

  private onFetch (from: PeerIdentity, heldRevision: number): readonly OutboundMessage[] {
    const published = this.options.holder.currentPublishedRevision
    if (published === undefined || published.revision <= heldRevision) return []
    return [{ to: from.vm, message: { kind: 'configuration.content', ...published } }]
  }
}
