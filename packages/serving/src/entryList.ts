/**
 * Lists the addresses of the VMs that a caller is told to use. These are the VMs
 * of the caller's region. If it has none, they are those of the regions that may
 * serve most of the routes of the caller's host that are bound to regions, so
 * that few bodies travel to a region that has to send them on; all, if none is
 * bound. The VMs passed in are heard and ready.
 */

import type { RegionId } from '@cuminvale/common'
import type { PeerIdentity } from './peerTable.js'

const maximumEntryCount = 64

export interface EntryQuery {
  /** Region of the caller. */
  readonly region: RegionId | undefined
  /** Number of bound routes of the caller's host that a region may serve. */
  readonly homes: ReadonlyMap<RegionId, number>
  readonly vms: readonly PeerIdentity[]
}

export const listEntries = ({ region, homes, vms }: EntryQuery): readonly string[] => {
  const accepting = vms.filter(({ callerAddress }) => callerAddress !== '')
  const sameRegion = accepting.filter((vm) => vm.region === region)
  const routesOf = (vm: PeerIdentity): number => homes.get(vm.region) ?? 0
  const most = Math.max(...accepting.map(routesOf))
  const chosen = sameRegion.length > 0 ? sameRegion : accepting.filter((vm) => routesOf(vm) === most)
  return chosen.slice(0, maximumEntryCount).map(({ callerAddress }) => callerAddress)
}
