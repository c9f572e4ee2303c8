/**
 * Builds the components behind `/v1/entries`: the chooser of entry VMs, the exchange of VM loads,
 * and the list of candidates.
 */

import { EntryLoads, SteeredEntryChooser } from '@cuminvale/entries'
import type { Clock, Random } from '@cuminvale/common'
import type { EntryCandidate } from '@cuminvale/entries'
import type { Membership } from '@cuminvale/membership'
import { reachableLinkedVms } from './limiterMembership.js'
import type { Settings } from './settings.js'
import type { VmLifecycle } from './vmContext.js'

interface EntryLoadsOptions {
  readonly settings: Settings
  readonly clock: Clock
  readonly random: Random
  readonly membership: Membership
  readonly lifecycle: VmLifecycle
}

/** Active requests of this VM, relative to the `requests-per-vm` setting. */
export const ownLoadRatio = (settings: Settings, lifecycle: VmLifecycle): number =>
  lifecycle.activeRequests / settings.policy['requests-per-vm']

export const createEntryLoads = ({ settings, clock, random, membership, lifecycle }: EntryLoadsOptions): EntryLoads =>
  new EntryLoads({
    clock, random, region: settings.vm.region, peers: reachableLinkedVms(membership), ownLoad: () => ownLoadRatio(settings, lifecycle)
  })

export const createEntryChooser = ({ policy }: Settings, random: Random): SteeredEntryChooser =>
  new SteeredEntryChooser({
    random,
    tailLatencyWeight: policy['tail-latency-weight'],
    wrongfulRefusalsWeight: policy['wrongful-refusals-weight'],
    tokensPerVm: policy['tokens-per-vm']
  })

/** Other VMs with their last reported load. A VM that has reported none is given the mean of the reported loads. */
export const otherCandidates = (membership: Membership, loads: EntryLoads): readonly EntryCandidate[] => {
  const membersWithLoad = membership.members.map((member) => ({ member, load: loads.loadOf(member.vm.name) }))
  const reportedLoads = membersWithLoad.flatMap(({ load }) => load ?? [])
  const mean = reportedLoads.reduce((sum, load) => sum + load, 0) / Math.max(1, reportedLoads.length)
  return membersWithLoad.map(({ member, load }) => ({ vm: member.vm, reachable: member.reachable, load: load ?? mean }))
}
