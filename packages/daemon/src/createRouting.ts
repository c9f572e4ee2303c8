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
import type { RegionPeer, RoutingRequest, UpstreamTable } from '@cuminvale/routing'
import { prefixCacheIndexCapacity } from './constants.js'
import { findRemoteRegions } from './remoteRegions.js'
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

const liveMembers = (membership: Membership) => (): readonly RegionPeer[] => membership.members
  .filter(({ vm, reachable }) => reachable && vm.state === VmState.Live)
  .map(({ vm }) => ({ vm: vm.name, region: vm.region }))

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
    remoteRegions: (request: RoutingRequest) => findRemoteRegions({ region: identity.region, peers, regionDigests, table }, request),
    loadReportExchange: new LoadReportExchange({
      clock, vm: identity.vm, region: identity.region, table, digests: regionDigests, configuration: () => configuration.current, peers
    })
  }
}
