/**
 * Lists the addresses of the VMs that a caller is told to use. These are the VMs
 * of the caller's region, or of all other regions if its own has none. The VMs
 * passed in are heard and ready.
 */

import type { RegionId } from '@cuminvale/common'
import type { PeerIdentity } from './peerTable.js'

const maximumEntryCount = 64

export const listEntries = (region: RegionId | undefined, vms: readonly PeerIdentity[]): readonly string[] => {
  const acceptingVms = vms.filter(({ callerAddress }) => callerAddress !== '')
  const sameRegionVms = acceptingVms.filter((vm) => vm.region === region)
  return (sameRegionVms.length > 0 ? sameRegionVms : acceptingVms).slice(0, maximumEntryCount).map(({ callerAddress }) => callerAddress)
}
