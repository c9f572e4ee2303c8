/**
 * Ranks the VMs that may send to an upstream whose rate is too low for all of
 * them. All VMs rank alike, without agreement, and differently for each upstream.
 */

import { rendezvousScore } from '@cuminvale/common'
import type { UpstreamId, VmId } from '@cuminvale/common'

/** The VMs, the first senders first. */
export const rankSenders = (upstream: UpstreamId, vms: readonly VmId[]): readonly VmId[] => {
  const scored = vms.map((vm) => ({ vm, score: rendezvousScore(upstream, vm) }))
  return scored.sort((first, second) => second.score - first.score || (first.vm < second.vm ? -1 : 1)).map(({ vm }) => vm)
}
