/**
 * Chooses the hubs of a failure domain: the VMs that its other VMs report to
 * and hear the fleet from. In a region of many VMs, links and messages of a VM
 * thus don't grow with the region. Every VM chooses by rank and by the links
 * that it can open itself, so a hub that fails is replaced without agreement.
 */

import { rankVms } from './vmRank.js'
import type { PeerIdentity } from './peerTable.js'

/** With two hubs, one can fail without a gap in the reports. */
export const hubsPerDomain = 2

export interface HubChoice {
  /** VMs to link to by rank, this VM excepted: reachable ones, and unreachable ones that would be preferred. */
  readonly targets: readonly PeerIdentity[]
  /** Whether this VM is itself one of the hubs. */
  readonly isHub: boolean
}

export interface HubChoiceInput {
  readonly self: PeerIdentity
  /** Known VMs of the failure domain; includes this VM if it is of that domain. */
  readonly vms: readonly PeerIdentity[]
  /** Whether recent attempts to link to the VM have failed. */
  readonly isUnreachable: (linkAddress: string) => boolean
}

/**
 * Each VM that proves unreachable adds one candidate. The candidates thus
 * double from one failed attempt to the next, and a domain that lost most of its
 * VMs finds the others within a few attempts.
 */
export const chooseHubs = ({ self, vms, isUnreachable }: HubChoiceInput): HubChoice => {
  const targets: PeerIdentity[] = []
  let reachableCount = 0
  let unreachableCount = 0
  let isHub = false
  for (const vm of rankVms(vms)) {
    if (reachableCount >= Math.max(hubsPerDomain, unreachableCount)) break
    if (vm.linkAddress === self.linkAddress) {
      isHub = reachableCount < hubsPerDomain
      reachableCount += 1
      continue
    }
    targets.push(vm)
    if (isUnreachable(vm.linkAddress)) unreachableCount += 1
    else reachableCount += 1
  }
  return { targets, isHub }
}
