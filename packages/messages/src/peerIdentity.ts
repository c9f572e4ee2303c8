/**
 * Who a VM is to its peers. The identity is bound to a link by its handshake,
 * so messages do not carry it.
 */

import type { FailureDomainId, IncarnationId, RegionId, VmId } from '@cuminvale/common'

export interface PeerIdentity {
  readonly vm: VmId
  readonly incarnation: IncarnationId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
}
