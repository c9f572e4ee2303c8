/**
 * How much of the rate that a cold upstream bears a VM may use. The bound
 * holds for all VMs of its region together, whether they talk or not, so that
 * each takes a fixed part. Where the even part is less than one request a
 * second, a few VMs share the rate instead, chosen alike by all.
 */

import { rendezvousScore } from '@cuminvale/common'
import type { UpstreamId, VmId } from '@cuminvale/common'

export interface ColdShareInput {
  readonly upstream: UpstreamId
  readonly self: VmId
  /** Other VMs of the region that may be running, heard or not; asked for only where a few share the rate. */
  readonly neighbours: () => readonly VmId[]
  /** VMs to count, this one, assumed and spare ones included. */
  readonly count: number
  /** Whether this VM has been up long enough to have been told of the others. */
  readonly isSettled: boolean
  /** Requests a second that the upstream bears from all VMs together. */
  readonly mostPerSecond: number
}

/** Rate of each of the few, where a few share it. */
const senderPerSecond = 2
/** VMs that may not be known to all yet, or whose place has been taken; they count among the few. */
const spareSenders = 1

/** Requests a second that this VM may send. */
export const coldShare = ({ upstream, self, neighbours, count, isSettled, mostPerSecond }: ColdShareInput): number => {
  if (!isSettled) return 0
  const even = mostPerSecond / count
  if (even >= 1) return even
  const senders = Math.floor(mostPerSecond / senderPerSecond) - spareSenders
  const own = rendezvousScore(upstream, self)
  const before = neighbours().filter((vm) => rendezvousScore(upstream, vm) > own).length
  return before < senders ? senderPerSecond : 0
}
