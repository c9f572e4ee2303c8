/**
 * Plans which VMs this VM keeps links to. In a small region, these are all VMs
 * of the region. In a large one, they are the hubs of this VM's failure domain
 * and, if it is a hub itself, those of the other failure domains of the region.
 * Speakers also link to the speakers of other regions. What a VM sends thus
 * grows neither with its region nor with the fleet. All seeds are linked at
 * startup and while no VM is heard. Later one seed at a time is linked, so that
 * two parts of a fleet that never knew each other meet.
 */

import { groupBy } from '@cuminvale/common'
import { chooseHubs } from './hubChoice.js'
import { chooseSpeakers, speakersPerRegion } from './regionSpeakers.js'
import type { PeerIdentity } from './peerTable.js'

export interface LinkPlanInput {
  readonly self: PeerIdentity
  readonly known: readonly PeerIdentity[]
  readonly heard: readonly PeerIdentity[]
  readonly seeds: readonly string[]
  readonly uptimeMilliseconds: number
  /** Whether recent attempts to link to the VM have failed. */
  readonly isUnreachable: (linkAddress: string) => boolean
}

export interface LinkPlan {
  /** Whether the region is so large that its VMs report to hubs instead of to each other. */
  readonly usesHubs: boolean
  /** Whether this VM is a hub of its failure domain. */
  readonly isHub: boolean
  /** Whether this VM is a speaker of its region: one that exchanges reports with other regions. */
  readonly isSpeaker: boolean
  /** VMs of this VM's region to report to: all that are known, or the hubs of this VM's failure domain by rank. */
  readonly near: readonly PeerIdentity[]
  /** Hubs of the other failure domains of the region; empty unless this VM is a hub. */
  readonly otherHubs: readonly PeerIdentity[]
  /** Speakers of other regions, or VMs to try in regions that are not heard; empty unless this VM is a speaker. */
  readonly far: readonly PeerIdentity[]
  readonly seeds: readonly string[]
}

/** Time after startup by which seeds that started together have learned of all others. */
const startupMilliseconds = 5_000
/** Time per seed in the rotation; two parts of a fleet meet on a seed within this time multiplied by the number of seeds. */
const seedRotationMilliseconds = 10_000
/** Part of the rotation interval in which the seed is linked. */
const seedLinkMilliseconds = 3_000
/** Time for which VMs of an unheard region are tried before others of that region. */
const candidateRotationMilliseconds = 2_500

/** Other VMs of a region up to which all of them link to each other. */
export const meshNeighbourCount = 8

export const planLinks = ({ self, known, heard, seeds, uptimeMilliseconds, isUnreachable }: LinkPlanInput): LinkPlan => {
  const neighbours = known.filter(({ region }) => region === self.region)
  const isSpeaker = chooseSpeakers([self, ...heard.filter(({ region }) => region === self.region)]).includes(self)
  return {
    ...neighbours.length <= meshNeighbourCount ? { usesHubs: false, isHub: false, near: neighbours, otherHubs: [] } : planHubs({ self, neighbours, isUnreachable }),
    isSpeaker,
    far: isSpeaker ? otherRegionTargets({ self, known, heard, uptimeMilliseconds }) : [],
    seeds: heard.length === 0 || uptimeMilliseconds < startupMilliseconds ? seeds : rotatingSeeds(seeds, uptimeMilliseconds)
  }
}

const planHubs = ({ self, neighbours, isUnreachable }: { self: PeerIdentity, neighbours: readonly PeerIdentity[], isUnreachable: (linkAddress: string) => boolean }): Pick<LinkPlan, 'usesHubs' | 'isHub' | 'near' | 'otherHubs'> => {
  const domains = groupBy([self, ...neighbours], ({ failureDomain }) => failureDomain)
  const { targets, isHub } = chooseHubs({ self, vms: domains.get(self.failureDomain) ?? [], isUnreachable })
  const otherDomains = isHub ? [...domains].filter(([domain]) => domain !== self.failureDomain) : []
  return { usesHubs: true, isHub, near: targets, otherHubs: otherDomains.flatMap(([, vms]) => chooseHubs({ self, vms, isUnreachable }).targets) }
}

const otherRegionTargets = ({ self, known, heard, uptimeMilliseconds }: Omit<LinkPlanInput, 'seeds' | 'isUnreachable'>): readonly PeerIdentity[] => {
  const regions = groupBy(known.filter(({ region }) => region !== self.region), ({ region }) => region)
  return [...regions].flatMap(([region, members]) => {
    const speakers = chooseSpeakers(heard.filter((peer) => peer.region === region))
    return speakers.length > 0 ? speakers : rotatingCandidates(members, uptimeMilliseconds)
  })
}

/** A few VMs of a region that is not heard; each rotation interval yields other ones. */
const rotatingCandidates = (members: readonly PeerIdentity[], uptimeMilliseconds: number): readonly PeerIdentity[] => {
  const candidateCount = Math.min(members.length, speakersPerRegion)
  const firstIndex = Math.floor(uptimeMilliseconds / candidateRotationMilliseconds) * candidateCount
  return Array.from({ length: candidateCount }, (_, index) => members[(firstIndex + index) % members.length]).filter((peer) => peer !== undefined)
}

const rotatingSeeds = (seeds: readonly string[], uptimeMilliseconds: number): readonly string[] => {
  if (uptimeMilliseconds % seedRotationMilliseconds > seedLinkMilliseconds) return []
  const seed = seeds[Math.floor(uptimeMilliseconds / seedRotationMilliseconds) % Math.max(1, seeds.length)]
  return seed === undefined ? [] : [seed]
}
