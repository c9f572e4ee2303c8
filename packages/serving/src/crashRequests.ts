/**
 * Which requests and parts of prompts are kept of a crash. Prompts may have as
 * many parts as a head holds, and any of them may be the cause, so no number of
 * parts is left out by its place in the prompt; what bounds the evidence is the
 * number of parts of all requests together.
 */

import { rendezvousScore } from '@cuminvale/common'
import type { PromptPartId } from './types.js'

/** A request that was in flight at a crash. */
export interface BrokenRequest {
  readonly digest: string
  /** Parts of the prompt that other requests may share. */
  readonly parts: readonly PromptPartId[]
}

/** Parts that are in the same requests. */
export interface PartGroup {
  readonly parts: readonly PromptPartId[]
  readonly digests: readonly string[]
}

/** Requests with their parts, each part once. */
export interface GroupedRequests {
  readonly digests: readonly string[]
  readonly groups: readonly PartGroup[]
}

export interface BrokenRequestLimits {
  readonly requests: number
  /** Parts over all requests, as `countReferences` has them: they stand so in a message. */
  readonly references: number
  /** Different parts over all requests. */
  readonly parts: number
}

export interface BrokenRequestSelection {
  readonly limits: BrokenRequestLimits
  /** Differs between observations, so that of too many parts others are left out at the next crash. */
  readonly salt: string
  /** Whether an upstream has completed a request with the part. */
  readonly isProven: (part: PromptPartId) => boolean
  /** How likely the part is the cause, a whole number. */
  readonly rankOf: (part: PromptPartId) => number
}

interface RankedPart {
  readonly part: PromptPartId
  /** The rank, and a fraction by which parts of one rank are ordered. */
  readonly score: number
}

/** Longest id that counts as one reference; longer ones count as several. */
const charactersPerReference = 32

/** The requests to keep, those with unproven parts first. Beyond the limits each keeps an equal share of its parts, those of the highest rank first. */
export const selectRequests = (requests: readonly BrokenRequest[], { limits, salt, isProven, rankOf }: BrokenRequestSelection): readonly BrokenRequest[] => {
  const isUnproven = ({ parts }: BrokenRequest): boolean => !parts.every(isProven)
  const ordered = requests.length <= limits.requests ? requests : [...requests.filter(isUnproven), ...requests.filter((request) => !isUnproven(request))].slice(0, limits.requests)
  if (isWithin(limits, ordered)) return ordered
  const kept = new Set<PromptPartId>()
  const shareOfReferences = Math.floor(limits.references / ordered.length)
  const shareOfParts = Math.floor(limits.parts / ordered.length)
  return ordered.map(({ digest, parts }) => {
    const best = parts.map((part): RankedPart => ({ part, score: rankOf(part) + rendezvousScore(salt, part) })).sort((first, second) => second.score - first.score)
    const chosen: PromptPartId[] = []
    let references = 0
    let added = 0
    for (const { part } of best) {
      const further = referencesOf(part)
      if (references + further > shareOfReferences) continue
      if (!kept.has(part)) {
        if (added >= shareOfParts) continue
        added += 1
        kept.add(part)
      }
      references += further
      chosen.push(part)
    }
    return { digest, parts: chosen }
  })
}

const isWithin = ({ references, parts: maximumParts }: BrokenRequestLimits, requests: readonly BrokenRequest[]): boolean => {
  if (countReferences(requests) > references) return false
  const different = new Set<PromptPartId>()
  for (const { parts } of requests) {
    for (const part of parts) different.add(part)
    if (different.size > maximumParts) return false
  }
  return true
}

/** Puts parts together that are in the same requests: the first ones of many prompts, or those of one request. */
export const groupRequests = (requests: readonly BrokenRequest[]): GroupedRequests => {
  const requestsByPart = new Map<PromptPartId, number[]>()
  requests.forEach(({ parts }, index) => {
    for (const part of parts) {
      const indexes = requestsByPart.get(part)
      if (indexes === undefined) requestsByPart.set(part, [index])
      else if (indexes.at(-1) !== index) indexes.push(index)
    }
  })
  const groups = new Map<string, { readonly parts: PromptPartId[], readonly digests: readonly string[] }>()
  for (const [part, indexes] of requestsByPart) {
    const key = indexes.join()
    const group = groups.get(key) ?? { parts: [], digests: indexes.map((index) => requests[index]?.digest ?? '') }
    groups.set(key, group)
    group.parts.push(part)
  }
  return { digests: requests.map(({ digest }) => digest), groups: [...groups.values()] }
}

export const ungroupRequests = ({ digests, groups }: GroupedRequests): readonly BrokenRequest[] => {
  const partsByDigest = new Map<string, PromptPartId[]>(digests.map((digest) => [digest, []]))
  for (const { parts, digests: having } of groups) {
    for (const digest of having) partsByDigest.get(digest)?.push(...parts)
  }
  return [...partsByDigest].map(([digest, parts]) => ({ digest, parts }))
}

/** Parts over all requests, one that several have counted for each of them, and long ids for several. */
export const countReferences = (requests: readonly BrokenRequest[]): number => {
  let count = 0
  for (const { parts } of requests) for (const part of parts) count += referencesOf(part)
  return count
}

/** 1, or more for a long id. */
export const referencesOf = (part: PromptPartId): number => Math.max(1, Math.ceil(part.length / charactersPerReference))
