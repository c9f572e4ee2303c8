/**
 * Replication of usage counts: the peers that may hold copies, the answer of the administration API,
 * and the hand-over at shutdown.
 */

import type { Membership } from '@cuminvale/membership'
import type { OutboundMessage } from '@cuminvale/messages'
import type { AccountId, CopyCandidate, UsageReport } from '@cuminvale/metering'
import type { VmContext } from './vmContext.js'

const handOverTimeoutMilliseconds = 2_000
const handOverIntervalMilliseconds = 100

export const usageCopyCandidates = (membership: Membership) => (): readonly CopyCandidate[] =>
  membership.linkTargets.map(({ vm, reachable, incarnation }) => ({
    vm: vm.name,
    region: vm.region,
    failureDomain: vm.failureDomain,
    reachable,
    ...(incarnation === undefined ? {} : { incarnation })
  }))

export interface UsageAnswer extends AccountId {
  readonly reports: readonly UsageReport[]
  readonly dropped: readonly AccountId[]
}

/** The answer of `GET /administration/usage`: this VM's counts and the copies that it holds for other VMs. */
export const usageAnswer = ({ identity, incarnation, usageCopies }: VmContext): UsageAnswer => ({
  vm: identity.vm,
  incarnation,
  reports: usageCopies.reports(),
  dropped: usageCopies.droppedAccounts
})

/** Ends the usage count, and waits up to `handOverTimeoutMilliseconds` until another VM holds all of it. */
export const handOverUsage = async (
  context: VmContext,
  send: (outbound: readonly OutboundMessage[]) => void
): Promise<void> => {
  const { usageCopies: copies } = context
  context.usageMeter.account.end()
  for (let waitedMilliseconds = 0; waitedMilliseconds < handOverTimeoutMilliseconds && !copies.isFullyCopied; waitedMilliseconds += handOverIntervalMilliseconds) {
    send(copies.tick())
    await new Promise((resolve) => setTimeout(resolve, handOverIntervalMilliseconds))
  }
  if (!copies.isFullyCopied) context.log.warn('usage-not-handed-over', { requests: context.usageMeter.account.sequence })
}
