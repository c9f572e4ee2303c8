/**
 * Selects the links that join two regions.
 */

import type { ListedVm } from '@cuminvale/common'
import { linksPerRegionPair } from './constants.js'
import { hashPair } from './hash.js'

export interface HashedVm {
  readonly vm: ListedVm
  readonly hash: number
}

export interface RegionLink {
  readonly local: ListedVm
  readonly remote: ListedVm
  readonly rank: number
}

const ranksAbove = (first: RegionLink, second: RegionLink): boolean => {
  if (first.rank !== second.rank) return first.rank > second.rank
  return first.local.name < second.local.name
}

const sharesVm = (first: RegionLink, second: RegionLink): boolean =>
  first.local === second.local || first.remote === second.remote

const sharesFailureDomain = (first: RegionLink, second: RegionLink): boolean =>
  first.local.failureDomain === second.local.failureDomain ||
  first.remote.failureDomain === second.remote.failureDomain

const highestRanked = (links: readonly RegionLink[], accepts: (link: RegionLink) => boolean): RegionLink | undefined =>
  links.reduce<RegionLink | undefined>((best, link) =>
    accepts(link) && (best === undefined || ranksAbove(link, best)) ? link : best, undefined)

/**
 * Selects the highest-ranked pairs of VMs. Each further pair shares no failure
 * domain with those already selected, if one exists; otherwise it shares no VM,
 * if one exists; otherwise it is any remaining pair.
 */
export const linksBetween = (local: readonly HashedVm[], remote: readonly HashedVm[]): readonly RegionLink[] => {
  const links = local.flatMap((first) => remote.map((second): RegionLink => ({
    local: first.vm, remote: second.vm, rank: hashPair(first.hash, second.hash)
  })))
  const chosen: RegionLink[] = []
  while (chosen.length < Math.min(linksPerRegionPair, links.length)) {
    const next = highestRanked(links, (link) => !chosen.some((other) => sharesFailureDomain(link, other))) ??
      highestRanked(links, (link) => !chosen.some((other) => sharesVm(link, other))) ??
      highestRanked(links, (link) => !chosen.includes(link))
    if (next === undefined) return chosen
    chosen.push(next)
  }
  return chosen
}
