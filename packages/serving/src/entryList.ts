/**
 * Which VMs callers are told to use: those of the caller's region that are
 * heard and ready, or those of every other region where it has none.
 */

import type { RegionId } from '@cuminvale/common'
import type { PeerIdentity } from './peerTable.js'

const maximumEntries = 64

export const listEntries = (region: RegionId | undefined, vms: readonly PeerIdentity[]): readonly string[] => {
  const open = vms.filter(({ callerAddress }) => callerAddress !== '')
  const near = open.filter((vm) => vm.region === region)
  return (near.length > 0 ? near : open).slice(0, maximumEntries).map(({ callerAddress }) => callerAddress)
}
