/**
 * The identity of a VM towards its peers. The handshake of a link binds the
 * identity to the link, so messages do not carry it.
 */

import type { FailureDomainId, IncarnationId, RegionId, VmId } from '@cuminvale/common'

export interface PeerIdentity {
  readonly vm: VmId
  readonly incarnation: IncarnationId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
}
