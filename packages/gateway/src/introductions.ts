/**
 * Hello messages: what VMs tell each other at the start of a link, and of VMs
 * that become known later.
 */

import { unpackPerformance } from '@cuminvale/serving'
import { packMember, unpackMember } from './memberListSchedule.js'
import { packMessage } from './linkMessages.js'
import { messageFormat, readFormat } from './messageFormat.js'
import type { PeerIdentity } from '@cuminvale/serving'
import type { HelloMessage, RegionMembers } from './linkMessages.js'
import type { GatewayState } from './gatewayState.js'

export interface IntroductionsOptions {
  readonly state: GatewayState
  readonly self: PeerIdentity
}

/** A packed message, and the peer table's serial up to which it names VMs. */
export interface Introduction {
  readonly message: Buffer
  readonly serial: number
}

export class Introductions {
  constructor (private readonly options: IntroductionsOptions) {}

  /** For a link that this VM has dialled. A speaker also tells what it knows of other regions and of prompt parts. */
  forDialledLink ({ isAsking, isSpeaker }: { readonly isAsking: boolean, readonly isSpeaker: boolean }): Introduction {
    const { known, serial } = this.ownRegionSince(0)
    return { message: this.pack({ known, isAsking, performance: this.options.state.upstreams.learnedPerformance, ...isSpeaker ? { ...this.heldParts, regions: this.packRegions() } : {} }), serial }
  }

  /** For a VM that asked for all known VMs. */
  answer ({ isHub }: { readonly isHub: boolean }): Introduction {
    const { peers } = this.options.state
    const { identities, serial } = peers.knownSince(0)
    const performance = this.options.state.upstreams.learnedPerformance
    const domains = peers.heardDomains.map(([domain, members]) => [domain, members.map(packMember)] as const)
    return { message: this.pack({ known: identities, performance, regions: this.packRegions(), ...isHub ? { ...this.heldParts, domains } : {} }), serial }
  }

  /** VMs that became known after a serial, for a VM that asked for all; undefined if there are none. */
  ofNewVms (serial: number): Introduction | undefined {
    const { identities, serial: newSerial } = this.options.state.peers.knownSince(serial)
    return identities.length === 0 ? undefined : { message: this.pack({ known: identities }), serial: newSerial }
  }

  /** The same for other VMs, which learn of other regions from this region's speakers; without a message if there are none of this region. */
  ofNewNeighbours (serial: number): Pick<Introduction, 'serial'> & Partial<Introduction> {
    const { known, serial: newSerial } = this.ownRegionSince(serial)
    return known.length === 0 ? { serial: newSerial } : { message: this.pack({ known }), serial: newSerial }
  }

  /** Logs and counts the first hello on a link that another VM dialled. */
  recordNewPeer ({ identity: { vm, incarnation }, format: named }: HelloMessage): void {
    const { state } = this.options
    const format = readFormat(named)
    state.recordPeerFormat('link', format)
    state.log.info('peer-heard', { peer: vm, incarnation, format })
  }

  /** Applies a hello of another VM, but for its knowledge of the records. */
  apply ({ identity, known, regions = [], domains = [], parts = [], regionParts = [], performance = [] }: HelloMessage): void {
    const { state, self } = this.options
    state.peers.recordIntroduction(identity)
    known.forEach((peer) => state.peers.addNamed(peer))
    for (const [region, members] of regions) state.peers.recordRegionReport(region, members.map(unpackMember))
    if (identity.region !== self.region) return
    for (const [domain, members] of domains) state.peers.recordDomainReport(domain, members.map(unpackMember))
    for (const [upstream, ids] of parts) state.recordPartsWithoutReport(upstream, ids)
    for (const packed of performance) state.upstreams.performanceOf(packed[0]).receive(unpackPerformance(packed))
    for (const [region, ids] of regionParts) state.forecasts.recordParts(region, ids)
  }

  private ownRegionSince (serial: number): { readonly known: readonly PeerIdentity[], readonly serial: number } {
    const { state, self } = this.options
    const { identities, serial: newSerial } = state.peers.knownSince(serial)
    return { known: identities.filter(({ region }) => region === self.region), serial: newSerial }
  }

  private pack (content: Pick<HelloMessage, 'known'> & Partial<HelloMessage>): Buffer {
    const { state, self } = this.options
    return packMessage({ kind: 'hello', identity: self, format: messageFormat, at: state.records.at, isAsking: false, ...content })
  }

  private get heldParts (): Pick<HelloMessage, 'parts' | 'regionParts'> {
    const { state } = this.options
    return { parts: state.partsByUpstream, regionParts: state.forecasts.heldParts }
  }

  private packRegions (): readonly RegionMembers[] {
    return this.options.state.peers.heardRegions.map(([region, members]) => [region, members.map(packMember)] as const)
  }
}
