/**
 * The VMs that this VM is linked to at this moment, whichever of the two dialled,
 * and what they are to it.
 */

import { chooseSpeakers } from '@cuminvale/serving'
import type { VmId } from '@cuminvale/common'
import type { LinkPlan, PeerIdentity } from '@cuminvale/serving'
import type { EvidencePeer } from './evidenceExchange.js'
import type { GatewayState } from './gatewayState.js'
import type { OutgoingLink } from './outgoingLink.js'
import type { OriginLinks, OriginPeer } from './streamOriginExchange.js'

export interface LinkedPeersOptions {
  readonly state: GatewayState
  readonly self: PeerIdentity
  readonly dialled: ReadonlyMap<string, Pick<OutgoingLink, 'isOpen' | 'send'>>
  readonly accepted: Iterable<{ readonly identity: PeerIdentity | undefined, readonly socket: { send (message: Buffer): void } }>
  readonly plan: () => LinkPlan
}

export class LinkedPeers {
  constructor (private readonly options: LinkedPeersOptions) {}

  /** All VMs, of any region, to which a message can be sent. */
  get all (): readonly OriginPeer[] {
    const { state, self, dialled, accepted } = this.options
    const peers = new Map<VmId, OriginPeer>()
    const add = (identity: PeerIdentity | undefined, send: (message: Buffer) => void): void => {
      if (identity !== undefined && identity.vm !== self.vm && !peers.has(identity.vm)) peers.set(identity.vm, { vm: identity.vm, incarnation: identity.incarnation, region: identity.region, send })
    }
    for (const [address, link] of dialled) {
      if (link.isOpen) add(state.peers.find(address), (message) => link.send(message))
    }
    for (const { identity, socket } of accepted) add(identity, (message) => socket.send(message))
    return [...peers.values()]
  }

  findOriginLinks (): OriginLinks {
    const { state, self, plan } = this.options
    const { usesHubs, isSpeaker, near, otherHubs } = plan()
    const hubs = new Set([...near, ...otherHubs].map(({ vm }) => vm))
    const peers = this.all
    const heardHere = state.peers.heardPeers({ readyOnly: false }).filter(({ region }) => region === self.region)
    return {
      usesHubs,
      isSpeaker,
      speakers: new Set(chooseSpeakers([self, ...heardHere]).map(({ vm }) => vm)),
      near: peers.filter(({ vm, region }) => region === self.region && (!usesHubs || hubs.has(vm))),
      far: peers.filter(({ region }) => region !== self.region)
    }
  }

  /** The VMs that feed this VM: its hubs, or the speakers of a region without hubs. */
  get feeders (): ReadonlyArray<EvidencePeer['send']> {
    const { usesHubs, speakers, near } = this.findOriginLinks()
    return near.filter(({ vm }) => usesHubs || speakers.has(vm)).map(({ send }) => send)
  }
}
