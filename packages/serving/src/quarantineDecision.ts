/**
 * Decides which suspects are quarantined, from the evidence alone. Suspects are
 * taken in the order in which they explain the evidence best; crashes that a
 * quarantined one explains don't count against the others. A suspect that
 * shares all of its crashes with another one needs more of them, and the parts
 * of requests that are only sent again beside a crashing one are no suspects.
 */

import { SuspectKind, TallyCache } from './crashSuspect.js'
import type { Crash, CrashSuspect } from './crashSuspect.js'

const minimumCrashes = 2
/** Crashes needed if another suspect shares them all. */
const sharedCrashes = 3
/** Crashes needed if another part of prompts shares them all, and is borne out by as many independent requests. */
const indistinctCrashes = 4
/** Crashes needed of a part with which upstreams have completed requests: it may have begun to crash them. */
const soundPartCrashes = 6
const soundPartSpanMilliseconds = 5_000
/** Time around a crash in which crashes that a part doesn't explain make it less likely: many upstreams may have ended for another reason. */
const neighbourMilliseconds = 1_000
const maximumNeededCrashes = 5
/** A part of more requests at each crash is a common one: it is there whatever the cause. */
const commonRequestsPerCrash = 2
/** Crashes that count even if all are of one upstream, which may have a fault of its own. */
const sameUpstreamCrashes = { [SuspectKind.Part]: 4, [SuspectKind.Request]: 3 } as const

/** Suspects that are weighed; those of the fewest crashes are left out, so that a crash of many upstreams keeps no VM busy. */
const maximumCandidates = 100

export const chooseQuarantined = (suspects: Iterable<CrashSuspect>, crashes: Iterable<Crash>): ReadonlySet<CrashSuspect> => {
  const cache = new TallyCache()
  const candidates = [...suspects].filter((suspect) => isCandidate(suspect, cache)).sort(compareCandidates).slice(0, maximumCandidates)
  const quarantined = new Set<CrashSuspect>()
  if (candidates.length === 0) return quarantined
  const unexplained = new Set(crashes)
  for (const candidate of candidates) {
    const own = candidate.tally.crashes.filter((crash) => unexplained.has(crash))
    if (own.length < neededCrashes(candidate, own, candidates, unexplained)) continue
    quarantined.add(candidate)
    for (const crash of own) unexplained.delete(crash)
  }
  return quarantined
}

const isCandidate = (suspect: CrashSuspect, cache: TallyCache): boolean => {
  const minimum = isProvenPart(suspect) ? soundPartCrashes : minimumCrashes
  // The count is cheap, and rules out most suspects.
  if (suspect.crashCount < minimum) return false
  suspect.shareTally(cache)
  const { crashes, independentCrashes } = suspect.tally
  return crashes.length >= minimum && (!isPart(suspect) || independentCrashes >= minimum)
}

/**
 * Unproven suspects before proven parts; then those of most crashes, parts before
 * requests, and the most specific part, which refuses the fewest requests.
 */
const compareCandidates = (first: CrashSuspect, second: CrashSuspect): number =>
  Number(isProvenPart(first)) - Number(isProvenPart(second)) ||
  second.tally.crashes.length - first.tally.crashes.length ||
  Number(isPart(second)) - Number(isPart(first)) ||
  first.tally.requestCount - second.tally.requestCount ||
  second.tally.independentCrashes - first.tally.independentCrashes ||
  (first.id < second.id ? -1 : 1)

const isPart = ({ kind }: CrashSuspect): boolean => kind === SuspectKind.Part

const isProvenPart = (candidate: CrashSuspect): boolean => isPart(candidate) && candidate.hasCompleted

const neededCrashes = (candidate: CrashSuspect, own: readonly Crash[], candidates: readonly CrashSuspect[], unexplained: ReadonlySet<Crash>): number => {
  const upstreams = new Set(own.map(({ upstream }) => upstream))
  if (own.length === 0 || (upstreams.size === 1 && own.length < sameUpstreamCrashes[candidate.kind])) return Infinity
  const sharing = candidates.filter((other) => other !== candidate && own.every((crash) => other.countsCrash(crash)))
  if (isProvenPart(candidate)) {
    const span = (own.at(-1)?.at ?? 0) - (own[0]?.at ?? 0)
    return sharing.length > 0 || span < soundPartSpanMilliseconds ? Infinity : soundPartCrashes
  }
  const rivals = sharing.filter((other) => !isProvenPart(other))
  if (!isPart(candidate)) return rivals.length > 0 ? sharedCrashes : minimumCrashes
  // A request, sent again and again, explains them as well.
  if (rivals.some((rival) => !isPart(rival)) && candidate.tally.independentCrashes < sharedCrashes) return Infinity
  if (rivals.length > 0 && candidate.tally.requestCount > own.length * commonRequestsPerCrash) return maximumNeededCrashes
  const isIndistinct = rivals.some((rival) => isPart(rival) && rival.tally.independentCrashes >= candidate.tally.independentCrashes)
  const needed = isIndistinct ? indistinctCrashes : rivals.length > 0 ? sharedCrashes : minimumCrashes
  return Math.max(needed, Math.min(maximumNeededCrashes, Math.ceil(countCrashesNear(own, candidate, unexplained) / 2)))
}

const countCrashesNear = (own: readonly Crash[], { service }: CrashSuspect, unexplained: ReadonlySet<Crash>): number =>
  [...unexplained].filter((crash) => crash.service === service && own.some(({ at }) => Math.abs(at - crash.at) <= neighbourMilliseconds)).length
