/**
 * Which VMs a VM keeps links to: all of its own region, and, where it speaks
 * for its region, the speakers of the others. Traffic thereby grows with the
 * region and not with the fleet. Seeds are asked at the start, while nobody is
 * heard, and one of them now and then, so that two parts of a fleet that never
 * knew each other meet.
 */

import { groupBy } from '@cuminvale/common'
import { chooseSpeakers, speakersPerRegion } from './regionSpeakers.js'
import type { PeerIdentity } from './peerTable.js'

export interface LinkPlanInput {
  readonly self: PeerIdentity
  readonly known: readonly PeerIdentity[]
  readonly heard: readonly PeerIdentity[]
  readonly seeds: readonly string[]
  readonly uptimeMilliseconds: number
}

export interface LinkPlan {
  /** Whether this VM speaks for its region. */
  readonly isSpeaker: boolean
  readonly near: readonly PeerIdentity[]
  /** Speakers of other regions. */
  readonly far: readonly PeerIdentity[]
  readonly seeds: readonly string[]
}

/** Seeds that start at the same time have learnt of all others by then. */
const seedingMilliseconds = 5_000
/** Two parts of a fleet that meet on a seed do so within this, times the number of seeds. */
const seedTurnMilliseconds = 10_000
/** Part of a turn in which the seed is linked to. */
const seedLinkMilliseconds = 3_000
/** Time given to VMs of a region that is not heard, before others of it are tried. */
const searchTurnMilliseconds = 2_500

export const planLinks = ({ self, known, heard, seeds, uptimeMilliseconds }: LinkPlanInput): LinkPlan => {
  const near = known.filter(({ region }) => region === self.region)
  const isSpeaker = chooseSpeakers([self, ...heard.filter(({ region }) => region === self.region)]).includes(self)
  return {
    isSpeaker,
    near,
    far: isSpeaker ? farSpeakers({ self, known, heard, uptimeMilliseconds }) : [],
    seeds: heard.length === 0 || uptimeMilliseconds < seedingMilliseconds ? seeds : seedInTurn(seeds, uptimeMilliseconds)
  }
}

const farSpeakers = ({ self, known, heard, uptimeMilliseconds }: Omit<LinkPlanInput, 'seeds'>): readonly PeerIdentity[] => {
  const regions = groupBy(known.filter(({ region }) => region !== self.region), ({ region }) => region)
  return [...regions].flatMap(([region, members]) => {
    const speakers = chooseSpeakers(heard.filter((peer) => peer.region === region))
    return speakers.length > 0 ? speakers : searched(members, uptimeMilliseconds)
  })
}

/** A few VMs of a region that is not heard, others in each turn. */
const searched = (members: readonly PeerIdentity[], uptimeMilliseconds: number): readonly PeerIdentity[] => {
  const width = Math.min(members.length, speakersPerRegion)
  const first = Math.floor(uptimeMilliseconds / searchTurnMilliseconds) * width
  return Array.from({ length: width }, (_, index) => members[(first + index) % members.length]).filter((peer) => peer !== undefined)
}

const seedInTurn = (seeds: readonly string[], uptimeMilliseconds: number): readonly string[] => {
  if (uptimeMilliseconds % seedTurnMilliseconds > seedLinkMilliseconds) return []
  const seed = seeds[Math.floor(uptimeMilliseconds / seedTurnMilliseconds) % Math.max(1, seeds.length)]
  return seed === undefined ? [] : [seed]
}
