/**
 * The order in which the VMs of a region take on work for others, such as
 * relaying. Every VM computes it from the identities that it knows, so that all
 * choose alike without talking about it.
 */

import type { PeerIdentity } from './peerTable.js'

type RankedVm = Pick<PeerIdentity, 'vm' | 'processorCapacity'>

/** VMs with more processor capacity come first, then by name. */
export const compareByRank = (first: RankedVm, second: RankedVm): number => {
  if (first.processorCapacity !== second.processorCapacity) return second.processorCapacity - first.processorCapacity
  return first.vm < second.vm ? -1 : first.vm > second.vm ? 1 : 0
}

export const rankVms = (vms: readonly PeerIdentity[]): readonly PeerIdentity[] => [...vms].sort(compareByRank)
