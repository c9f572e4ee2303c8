/**
 * Which VMs hold copies of a VM's order outcomes: those of its region in other
 * failure domains first, then other regions. Every VM ranks them alike, so
 * that whoever looks for a copy asks the right ones.
 */

import { createHash } from 'node:crypto'
import type { FailureDomainId, RegionId, VmId } from '@cuminvale/common'
import { recallRemotePeers } from './constants.js'

export interface CopyPeer {
  readonly vm: VmId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly reachable: boolean
}

type Place = Pick<CopyPeer, 'vm' | 'region' | 'failureDomain'>

/** Highest random weight of a peer for a VM. */
const weightOf = (owner: VmId, peer: VmId): string => createHash('sha256').update(`${owner} ${peer}`).digest('hex')

const distanceOf = (owner: Place, peer: Place): number => {
  if (peer.region !== owner.region) return 1
  return peer.failureDomain === owner.failureDomain ? 2 : 0
}

/** All other VMs, best holder first. */
export const rankHolders = (owner: Place, peers: readonly CopyPeer[]): readonly CopyPeer[] =>
  peers
    .filter(({ vm }) => vm !== owner.vm)
    .map((peer) => ({ peer, distance: distanceOf(owner, peer), weight: weightOf(owner.vm, peer.vm) }))
    .sort((first, second) => first.distance - second.distance || (first.weight < second.weight ? -1 : 1))
    .map(({ peer }) => peer)

/** The reachable VMs to ask for a copy: the owner's whole region and the likeliest of the others. */
export const holdersToAsk = (owner: Place, peers: readonly CopyPeer[]): readonly CopyPeer[] => {
  const reachable = rankHolders(owner, peers).filter((peer) => peer.reachable)
  const remote = reachable.filter(({ region }) => region !== owner.region).slice(0, recallRemotePeers)
  return [...reachable.filter(({ region }) => region === owner.region), ...remote]
}
