/**
 * Connects the fleet-wide limiter with membership and the VM list.
 */

import type { ListedVm, RegionId } from '@cuminvale/common'
import type { EscrowLimiter, LoanPeer } from '@cuminvale/limits'
import type { Membership } from '@cuminvale/membership'

/** VMs that loans can be asked of: a leaving VM may lend what it no longer needs. */
export const reachableVms = (membership: Membership) => (): readonly LoanPeer[] => membership.linkTargets
  .filter(({ reachable }) => reachable)
  .map(({ vm }) => ({ vm: vm.name, region: vm.region }))

/** Tells the limiter which VMs its region lists. */
export const adoptListedVms = (
  limiter: EscrowLimiter,
  region: RegionId,
  { vms, askedAt }: { readonly vms: readonly ListedVm[], readonly askedAt: number }
): void => {
  const local = vms.filter((vm) => vm.region === region).map(({ name }) => name)
  limiter.adoptList(new Set(local), askedAt)
}
