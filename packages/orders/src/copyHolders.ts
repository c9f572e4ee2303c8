/**
 * Ranks the VMs that hold copies of a VM's order outcomes: first those of its
 * region in other failure domains, then other regions, then its own failure
 * domain. Every VM computes the same ranking, so that a VM that looks for a
 * copy asks the VMs that received it.
 */

import { createHash } from 'node:crypto'
import type { FailureDomainId, RegionId, VmId } from '@cuminvale/common'
import { recallRemotePeerCount } from './constants.js'

export interface CopyPeer {
  readonly vm: VmId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly reachable: boolean
}

type Location = Pick<CopyPeer, 'vm' | 'region' | 'failureDomain'>

/** Rendezvous weight of a peer for a VM; holders are ranked by ascending weight. */
const rendezvousWeight = (owner: VmId, peer: VmId): string => createHash('sha256').update(`${owner} ${peer}`).digest('hex')

const tierOf = (owner: Location, peer: Location): number => {
  if (peer.region !== owner.region) return 1
  return peer.failureDomain === owner.failureDomain ? 2 : 0
}

/** All other VMs, the preferred holder first. */
export const rankHolders = (owner: Location, peers: readonly CopyPeer[]): readonly CopyPeer[] =>
  peers
    .filter(({ vm }) => vm !== owner.vm)
    .map((peer) => ({ peer, tier: tierOf(owner, peer), weight: rendezvousWeight(owner.vm, peer.vm) }))
    .sort((first, second) => first.tier - second.tier || (first.weight < second.weight ? -1 : 1))
    .map(({ peer }) => peer)

/** Reachable VMs to ask for a copy: all of the owner's region, and the first-ranked of other regions. */
export const holdersToAsk = (owner: Location, peers: readonly CopyPeer[]): readonly CopyPeer[] => {
  const reachable = rankHolders(owner, peers).filter((peer) => peer.reachable)
  const remote = reachable.filter(({ region }) => region !== owner.region).slice(0, recallRemotePeerCount)
  return [...reachable.filter(({ region }) => region === owner.region), ...remote]
}
