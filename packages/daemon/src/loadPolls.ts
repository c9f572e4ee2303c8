/**
 * Reads the load of the upstreams that this VM watches, and the cache events
 * of the engines among its region's upstreams.
 */

import { HttpLoadSource, HttpModelEngine } from '@cuminvale/services'
import type { Upstream } from '@cuminvale/documents'
import { cacheEventsPollMilliseconds, loadPollMilliseconds } from './constants.js'
import type { VmContext } from './vmContext.js'

/** Time for each upstream's poll, so that a VM with many polls each less often. */
const pollSpacingMilliseconds = 25
const maximumFollowedEngines = 16

const pollLoad = async (context: VmContext, upstream: Upstream): Promise<void> => {
  const report = await new HttpLoadSource(upstream.address).load()
  if (report.isOk) context.loadSharing.recordPolledLoad(upstream.name, report.value)
}

export const createLoadPoll = (context: VmContext): () => Promise<number> => async () => {
  const upstreams = context.loadSharing.upstreamsToPoll()
  await Promise.all(upstreams.map(async (upstream) => await pollLoad(context, upstream)))
  context.scheduler.pump()
  return Math.max(loadPollMilliseconds, upstreams.length * pollSpacingMilliseconds)
}

const pollEvents = async (context: VmContext, upstream: Upstream): Promise<void> => {
  const events = await new HttpModelEngine(upstream.address).cacheEvents(context.prefixes.lastEventSequence(upstream.name))
  if (events.isOk) context.prefixes.applyEvents(upstream.name, events.value)
}

/**
 * A VM follows the caches of all engines of its region while they are few; in
 * a large region those that it watches, and of the others it knows what it
 * has sent them.
 */
const enginesToFollow = (context: VmContext): readonly Upstream[] => {
  const engines = [...context.configuration.current?.upstreams.values() ?? []]
    .filter(({ region, models }) => region === context.identity.region && models.length > 0)
  if (engines.length <= maximumFollowedEngines) return engines
  return context.loadSharing.upstreamsToPoll().filter(({ models }) => models.length > 0)
}

export const createCacheEventsPoll = (context: VmContext): () => Promise<number> => async () => {
  const engines = enginesToFollow(context)
  await Promise.all(engines.map(async (engine) => await pollEvents(context, engine)))
  return Math.max(cacheEventsPollMilliseconds, engines.length * pollSpacingMilliseconds)
}
