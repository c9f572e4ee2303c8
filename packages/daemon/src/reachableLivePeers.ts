/**
 * The linked VMs that are reachable and not leaving.
 */

import { VmState } from '@cuminvale/common'
import type { VmId } from '@cuminvale/common'
import type { Membership } from '@cuminvale/membership'

export const reachableLivePeers = (membership: Membership) => (): readonly VmId[] => membership.linkTargets
  .filter(({ vm, reachable }) => reachable && vm.state === VmState.Live)
  .map(({ vm }) => vm.name)
