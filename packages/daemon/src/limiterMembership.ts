/**
 * Supplies the fleet-wide limiter with the VMs that it shares limits with, from membership and the VM list.
 */

import type { ListedVm, RegionId } from '@cuminvale/common'
import type { EscrowLimiter, LoanPeer } from '@cuminvale/limits'
import type { Membership } from '@cuminvale/membership'

/** Reachable linked VMs. Leaving VMs are included, since they can lend the share that they no longer need. */
export const reachableLinkedVms = (membership: Membership) => (): readonly LoanPeer[] => membership.linkTargets
  .filter(({ reachable }) => reachable)
  .map(({ vm }) => ({ vm: vm.name, region: vm.region }))

/** Passes the listed VMs of this VM's region to the limiter. */
export const adoptListedVms = (
  limiter: EscrowLimiter,
  region: RegionId,
  { vms, askedAt }: { readonly vms: readonly ListedVm[], readonly askedAt: number }
): void => {
  const local = vms.filter((vm) => vm.region === region).map(({ name }) => name)
  limiter.adoptList(new Set(local), askedAt)
}
