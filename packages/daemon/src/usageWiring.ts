/**
 * Connects the copies of usage counts with membership, the administration API
 * and the shutdown.
 */

import type { Membership } from '@cuminvale/membership'
import type { OutboundMessage } from '@cuminvale/messages'
import type { AccountId, CopyCandidate, UsageReport } from '@cuminvale/metering'
import type { VmContext } from './vmContext.js'

const handOverMilliseconds = 2_000
const handOverStepMilliseconds = 100

export const usagePeers = (membership: Membership) => (): readonly CopyCandidate[] =>
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

/** What `GET /administration/usage` answers: this VM's counts and the copies that it holds. */
export const usageAnswer = ({ identity, incarnation, usageCopies }: VmContext): UsageAnswer => ({
  vm: identity.vm,
  incarnation,
  reports: usageCopies.reports(),
  dropped: usageCopies.droppedAccounts
})

/** Ends the count and waits a bounded time until another VM holds all of it. */
export const handOverUsage = async (
  context: VmContext,
  send: (outbound: readonly OutboundMessage[]) => void
): Promise<void> => {
  const { usageCopies: copies } = context
  context.meter.account.end()
  for (let waited = 0; waited < handOverMilliseconds && !copies.isFullyCopied; waited += handOverStepMilliseconds) {
    send(copies.tick())
    await new Promise((resolve) => setTimeout(resolve, handOverStepMilliseconds))
  }
  if (!copies.isFullyCopied) context.log.warn('usage-not-handed-over', { requests: context.meter.account.sequence })
}
