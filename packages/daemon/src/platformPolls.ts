/**
 * The steps by which a VM follows the platform: configuration, VM list and
 * the load of the upstreams in its region.
 */

import { runtimeRandom, toRevision } from '@cuminvale/common'
import { AcceptanceKind } from '@cuminvale/configuration'
import { formatDocumentFault } from '@cuminvale/documents'
import { HttpLoadSource } from '@cuminvale/platform'
import type { Acceptance } from '@cuminvale/configuration'
import type { Upstream } from '@cuminvale/documents'
import {
  configurationRetryMilliseconds, configurationWatchMilliseconds, loadPollMilliseconds, vmListPollMilliseconds
} from './constants.js'
import { adoptListedVms } from './limitWiring.js'
import { vmListPause } from './vmListPace.js'
import type { PeerLinks } from './peerLinks.js'
import type { VmContext } from './vmContext.js'

/** Logs what became of an offered revision. */
export const logAcceptance = (context: VmContext, acceptance: Acceptance): void => {
  if (acceptance.kind === AcceptanceKind.Accepted) {
    context.log.info('configuration-accepted', { revision: acceptance.revision })
  }
  if (acceptance.kind !== AcceptanceKind.Refused) return
  for (const fault of acceptance.faults) {
    context.log.error('configuration-refused', { revision: acceptance.revision, fault: formatDocumentFault(fault) })
  }
}

/** Reads once, then waits for the service to move past what was last seen. */
export const createConfigurationPoll = (context: VmContext): () => Promise<number> => {
  const { configurationService } = context.platform
  let seen = toRevision(0)
  return async () => {
    const moved = await configurationService.watch(seen, configurationWatchMilliseconds)
    if (moved.isErr) return configurationRetryMilliseconds
    if (moved.value <= seen) return 0
    const published = await configurationService.read()
    if (published.isErr) return configurationRetryMilliseconds
    logAcceptance(context, context.configuration.offer(published.value))
    seen = moved.value
    return 0
  }
}

/** Reads the list at the pace that its length allows, and follows changes of the watch plan in between. */
export const createVmListPoll = (context: VmContext, links: PeerLinks): () => Promise<number> => {
  let readAt = 0
  return async () => {
    if (context.clock.monotonic() >= readAt) {
      const askedAt = context.clock.monotonic()
      const listed = await context.platform.vmList.list()
      if (listed.isErr) return vmListPollMilliseconds
      adoptListedVms(context.limiter, context.identity.region, { vms: listed.value, askedAt })
      context.membership.adoptList(listed.value)
      readAt = context.clock.monotonic() + vmListPause(listed.value.length, runtimeRandom)
    }
    links.adoptMembers(context.membership.linked)
    return vmListPollMilliseconds
  }
}

const pollUpstream = async (context: VmContext, upstream: Upstream): Promise<void> => {
  const report = await new HttpLoadSource(upstream.address).load()
  if (report.isOk) context.table.report(upstream.name, report.value)
}

export const createLoadPoll = (context: VmContext): () => Promise<number> => async () => {
  const upstreams = [...context.configuration.current?.upstreams.values() ?? []]
  const local = upstreams.filter((upstream) => upstream.region === context.identity.region)
  await Promise.all(local.map((upstream) => pollUpstream(context, upstream)))
  context.scheduler.pump()
  return loadPollMilliseconds
}
