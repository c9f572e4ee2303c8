/**
 * Polls the load of the upstreams that are assigned to this VM or lack recent reports.
 * Also polls the cache events of model engines in its region.
 */

import { HttpLoadSource, HttpModelEngine } from '@cuminvale/services'
import type { Upstream } from '@cuminvale/documents'
import { cacheEventsPollIntervalMilliseconds, loadPollIntervalMilliseconds } from './constants.js'
import type { VmContext } from './vmContext.js'

/** Added to the interval per polled upstream, so that a VM with many upstreams polls each less often. */
const intervalPerUpstreamMilliseconds = 25
const maximumFollowedEngineCount = 16

const pollLoad = async (context: VmContext, upstream: Upstream): Promise<void> => {
  const report = await new HttpLoadSource(upstream.address).load()
  if (report.isOk) context.loadReportExchange.recordPolledLoad(upstream.name, report.value)
}

export const createLoadPoll = (context: VmContext): () => Promise<number> => async () => {
  const upstreams = context.loadReportExchange.upstreamsToPoll()
  await Promise.all(upstreams.map(async (upstream) => await pollLoad(context, upstream)))
  context.scheduler.dispatchQueued()
  return Math.max(loadPollIntervalMilliseconds, upstreams.length * intervalPerUpstreamMilliseconds)
}

const pollCacheEvents = async (context: VmContext, upstream: Upstream): Promise<void> => {
  const events = await new HttpModelEngine(upstream.address).cacheEvents(context.prefixCacheIndex.lastEventSequence(upstream.name))
  if (events.isOk) context.prefixCacheIndex.applyEvents(upstream.name, events.value)
}

/**
 * In a region with few engines a VM follows the caches of all of them. In a larger region it follows
 * only those whose load it polls; for the others it knows only the prefixes that it sent them itself.
 */
const enginesToFollow = (context: VmContext): readonly Upstream[] => {
  const engines = [...context.configuration.current?.upstreams.values() ?? []]
    .filter(({ region, models }) => region === context.identity.region && models.length > 0)
  if (engines.length <= maximumFollowedEngineCount) return engines
  return context.loadReportExchange.upstreamsToPoll().filter(({ models }) => models.length > 0)
}

export const createCacheEventsPoll = (context: VmContext): () => Promise<number> => async () => {
  const engines = enginesToFollow(context)
  await Promise.all(engines.map(async (engine) => await pollCacheEvents(context, engine)))
  return Math.max(cacheEventsPollIntervalMilliseconds, engines.length * intervalPerUpstreamMilliseconds)
}
