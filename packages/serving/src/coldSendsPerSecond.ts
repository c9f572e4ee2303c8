/**
 * Rate at which this VM may send to a cold upstream. The bound holds for all VMs
 * of the region together, even while they cannot communicate, so each VM takes a
 * fixed share. If the even share is below one request per second, only a few VMs
 * send instead. All VMs select the same senders by rendezvous hashing.
 */

import { rankSenders } from './senderRank.js'
import type { UpstreamId, VmId } from '@cuminvale/common'

export interface ColdSendInput {
  readonly upstream: UpstreamId
  readonly self: VmId
  /** Other VMs of the region that may be running, heard or not; called only if the even share is below one request per second. */
  readonly neighbours: () => readonly VmId[]
  /** VMs that share the rate, including this one and assumed and spare ones. */
  readonly count: number
  /** Whether this VM has been up long enough to have learned of the others. */
  readonly isSettled: boolean
  /** Requests per second that the upstream can serve for all VMs together. */
  readonly maximumPerSecond: number
}

/** Rate of each sender if only a few VMs send. */
const requestsPerSecondPerSender = 2
/** Senders held in reserve: a VM not known to all yet, or just outranked by a new VM, may send as well. */
const reservedSenderCount = 1

/** Requests per second that this VM may send to the upstream. */
export const coldSendsPerSecond = ({ upstream, self, neighbours, count, isSettled, maximumPerSecond }: ColdSendInput): number => {
  if (!isSettled) return 0
  const evenShare = maximumPerSecond / count
  if (evenShare >= 1) return evenShare
  const senderCount = Math.floor(maximumPerSecond / requestsPerSecondPerSender) - reservedSenderCount
  const senders = rankSenders(upstream, [self, ...neighbours()]).slice(0, Math.max(0, senderCount))
  return senders.includes(self) ? requestsPerSecondPerSender : 0
}
