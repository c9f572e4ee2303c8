/**
 * Builds the entry choice and the spread of load behind it.
 */

import { EntryLoads, SteeredEntryChooser } from '@cuminvale/entries'
import type { Clock, Random } from '@cuminvale/common'
import type { EntryCandidate } from '@cuminvale/entries'
import type { Membership } from '@cuminvale/membership'
import { reachableVms } from './limitWiring.js'
import type { Settings } from './settings.js'
import type { Lifecycle } from './vmContext.js'

interface EntryLoadParts {
  readonly settings: Settings
  readonly clock: Clock
  readonly random: Random
  readonly membership: Membership
  readonly lifecycle: Lifecycle
}

/** Fraction of the requests that one VM serves at once. */
export const ownLoad = (settings: Settings, lifecycle: Lifecycle): number =>
  lifecycle.activeRequests / settings.policy['requests-per-vm']

export const createEntryLoads = ({ settings, clock, random, membership, lifecycle }: EntryLoadParts): EntryLoads =>
  new EntryLoads({
    clock, random, region: settings.vm.region, peers: reachableVms(membership), ownLoad: () => ownLoad(settings, lifecycle)
  })

export const createEntryChooser = ({ policy }: Settings, random: Random): SteeredEntryChooser =>
  new SteeredEntryChooser({
    random,
    tailLatencyWeight: policy['tail-latency-weight'],
    wrongfulRefusalsWeight: policy['wrongful-refusals-weight'],
    tokensPerVm: policy['tokens-per-vm']
  })

/** Other VMs with the load last heard; one not heard of counts as loaded as the others are. */
export const otherCandidates = (membership: Membership, loads: EntryLoads): readonly EntryCandidate[] => {
  const heard = membership.members.map((member) => ({ member, load: loads.loadOf(member.vm.name) }))
  const known = heard.flatMap(({ load }) => load ?? [])
  const mean = known.reduce((sum, load) => sum + load, 0) / Math.max(1, known.length)
  return heard.map(({ member, load }) => ({ vm: member.vm, reachable: member.reachable, load: load ?? mean }))
}
