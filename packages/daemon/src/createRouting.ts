/**
 * Builds the routing components of the daemon: the upstream chooser, the exchange of load reports,
 * the index of cached prefixes, and spillover to other regions.
 */

import { VmState } from '@cuminvale/common'
import { SpilloverWhenFaster, FixedBlockHasher, LinkBudget, LoadReportExchange, PredictedLatencyChooser, PrefixCacheIndex, RegionDigests } from '@cuminvale/routing'
import type { Clock, Random } from '@cuminvale/common'
import type { ConfigurationHolder } from '@cuminvale/configuration'
import type { Membership } from '@cuminvale/membership'
import type { PeerIdentity } from '@cuminvale/messages'
import type { RegionPeer, RemoteRegionView, RoutingRequest, UpstreamTable } from '@cuminvale/routing'
import { prefixCacheIndexCapacity } from './constants.js'
import type { Settings } from './settings.js'

export interface RoutingOptions {
  readonly clock: Clock
  readonly random: Random
  readonly settings: Settings
  readonly identity: PeerIdentity
  readonly configuration: ConfigurationHolder
  readonly membership: Membership
  readonly table: UpstreamTable
}

const interRegionLatencyMilliseconds = 55

const liveMembers = (membership: Membership) => (): readonly RegionPeer[] => membership.members
  .filter(({ vm, reachable }) => reachable && vm.state === VmState.Live)
  .map(({ vm }) => ({ vm: vm.name, region: vm.region }))

/** Permitted regions other than this VM's that have reachable VMs, with the free slots that they last reported. */
const createRemoteRegions = ({ identity }: RoutingOptions, peers: () => readonly RegionPeer[], regionDigests: RegionDigests) =>
  (request: RoutingRequest): readonly RemoteRegionView[] => {
    if (!request.mayCrossBorder) return []
    const permitted = peers().filter(({ region }) => region !== identity.region && request.allowedRegions.includes(region))
    return [...new Set(permitted.map(({ region }) => region))].map((region) => ({
      region,
      vms: permitted.filter((peer) => peer.region === region).map(({ vm }) => vm),
      freeSlots: regionDigests.freeSlots(region, request),
      latencyMilliseconds: interRegionLatencyMilliseconds
    }))
  }

export const createRouting = (options: RoutingOptions) => {
  const { clock, random, settings, identity, configuration, membership, table } = options
  const peers = liveMembers(membership)
  const vmCount = (): number => 1 + peers().filter(({ region }) => region === identity.region).length
  const prefixCacheIndex = new PrefixCacheIndex({ clock, hasher: new FixedBlockHasher(), capacity: prefixCacheIndexCapacity })
  const regionDigests = new RegionDigests({ clock, vmCount })
  const linkBudget = new LinkBudget({
    clock,
    linkMegabitsPerSecond: settings.policy['region-link-megabits-per-second'],
    share: settings.policy['region-link-share'],
    vmCount
  })
  const spillover = new SpilloverWhenFaster({ random, linkBudget, gainFactor: settings.policy['sending-away-gain'] })
  return {
    prefixCacheIndex,
    regionDigests,
    linkBudget,
    vmCount,
    chooser: new PredictedLatencyChooser({ clock, random, failureDomain: identity.failureDomain, spillover, prefixCacheIndex, vmCount }),
    remoteRegions: createRemoteRegions(options, peers, regionDigests),
    loadReportExchange: new LoadReportExchange({
      clock, vm: identity.vm, region: identity.region, table, digests: regionDigests, configuration: () => configuration.current, peers
    })
  }
}
