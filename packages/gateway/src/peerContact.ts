/**
 * Proves that this VM hears the other VMs at this moment. That a VM was heard a
 * second ago doesn't: this VM may have been cut off since, or stood still and
 * now reads what was sent before. A VM that it is linked to proves it by a pong,
 * and another region by a report that came after the pongs.
 */

import { contactCheckIntervalMilliseconds } from './constants.js'
import type { RegionId } from '@cuminvale/common'
import type { PeerIdentity, PeerTable } from '@cuminvale/serving'
import type { OutgoingLink } from './outgoingLink.js'

export interface PeerContactOptions {
  readonly peers: Pick<PeerTable, 'isSilent' | 'heardRegions' | 'regionHeardAt'>
  readonly region: RegionId
  /** VMs of this region that this VM is linked to. */
  readonly near: () => readonly PeerIdentity[]
  /** VMs of other regions that it is linked to. */
  readonly far: () => readonly PeerIdentity[]
  readonly linkTo: (address: string) => Pick<OutgoingLink, 'lastProof' | 'requestProof'> | undefined
}

export class PeerContact {
  private isRequested = false

  constructor (private readonly options: PeerContactOptions) {}

  /** Pings the linked VMs once for all requests that need it at this time. */
  requestProofs (): void {
    if (this.isRequested) return
    this.isRequested = true
    setTimeout(() => {
      this.isRequested = false
      const { near, far, linkTo } = this.options
      for (const { linkAddress } of [...near(), ...far()]) linkTo(linkAddress)?.requestProof()
    }, contactCheckIntervalMilliseconds).unref()
  }

  /** Whether each VM and region that counts as heard has been heard since a time; a VM that counts as silent proves nothing. */
  isProvenSince (time: number): boolean {
    const { peers, region, near, far, linkTo } = this.options
    const proofOf = ({ linkAddress }: PeerIdentity): { readonly sentAt: number, readonly arrivedAt: number } => linkTo(linkAddress)?.lastProof ?? { sentAt: -Infinity, arrivedAt: -Infinity }
    const nearProofs = near().filter(({ linkAddress }) => !peers.isSilent(linkAddress)).map(proofOf)
    if (!nearProofs.every(({ sentAt }) => sentAt >= time)) return false
    const nearProvenAt = Math.max(time, ...nearProofs.map(({ arrivedAt }) => arrivedAt))
    return peers.heardRegions.every(([other]) => other === region || peers.regionHeardAt(other) >= nearProvenAt || far().some((peer) => peer.region === other && proofOf(peer).sentAt >= time))
  }
}
