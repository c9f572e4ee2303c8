/**
 * Polls by which the daemon follows the platform's configuration service and VM list.
 */

import { runtimeRandom, toRevision } from '@cuminvale/common'
import { AcceptanceKind, ServicePacing } from '@cuminvale/configuration'
import { formatDocumentFault } from '@cuminvale/documents'
import type { Revision } from '@cuminvale/common'
import type { Acceptance } from '@cuminvale/configuration'
import {
  configurationWatchTimeoutMilliseconds, vmListPollIntervalMilliseconds
} from './constants.js'
import { adoptListedVms } from './limiterMembership.js'
import { vmListPauseMilliseconds } from './vmListPauseMilliseconds.js'
import type { DaemonPeerLinks } from './daemonPeerLinks.js'
import type { VmContext } from './vmContext.js'

/** Logs whether an offered revision was accepted or refused. */
export const logConfigurationAcceptance = (context: VmContext, acceptance: Acceptance): void => {
  if (acceptance.kind === AcceptanceKind.Accepted) {
    context.log.info('configuration-accepted', { revision: acceptance.revision })
  }
  if (acceptance.kind !== AcceptanceKind.Refused) return
  for (const fault of acceptance.faults) {
    context.log.error('configuration-refused', { revision: acceptance.revision, fault: formatDocumentFault(fault) })
  }
}

const sleep = async (milliseconds: number): Promise<void> =>
  await new Promise((resolve) => setTimeout(resolve, milliseconds).unref())

/** Reads a revision from the service unless a peer delivers it first; false if the service fails. */
const fetchRevision = async (context: VmContext, revision: Revision, pacing: ServicePacing): Promise<boolean> => {
  await sleep(pacing.readDelay())
  if ((context.configuration.current?.revision ?? 0) >= revision) return true
  const published = await context.platform.configurationService.read()
  if (published.isErr) return false
  logConfigurationAcceptance(context, context.configuration.offer(published.value))
  return true
}

/** Each step waits for a revision newer than the last one read, and fetches it. */
export const createConfigurationPoll = (context: VmContext): () => Promise<number> => {
  const { configurationService } = context.platform
  const pacing = new ServicePacing(runtimeRandom)
  let lastRevision = toRevision(0)
  return async () => {
    const observedRevision = await configurationService.watch(lastRevision, configurationWatchTimeoutMilliseconds)
    if (observedRevision.isErr) return pacing.failed()
    const isNewer = observedRevision.value > lastRevision
    if (isNewer && !await fetchRevision(context, observedRevision.value, pacing)) return pacing.failed()
    if (isNewer) lastRevision = observedRevision.value
    pacing.succeeded()
    return 0
  }
}

/** Reads the list, a longer one less often, and applies changes of the linked members to the links at each step. */
export const createVmListPoll = (context: VmContext, links: DaemonPeerLinks): () => Promise<number> => {
  let nextReadAt = 0
  return async () => {
    if (context.clock.monotonic() >= nextReadAt) {
      const askedAt = context.clock.monotonic()
      const listed = await context.platform.vmList.list()
      if (listed.isErr) return vmListPollIntervalMilliseconds
      adoptListedVms(context.limiter, context.identity.region, { vms: listed.value, askedAt })
      context.membership.adoptList(listed.value)
      nextReadAt = context.clock.monotonic() + vmListPauseMilliseconds(listed.value.length, runtimeRandom)
    }
    links.setMembers(context.membership.linkTargets)
    return vmListPollIntervalMilliseconds
  }
}
