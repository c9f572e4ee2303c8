/**
 * A VM as the platform's VM list shows it. The list lags behind the truth.
 */

import type { FailureDomainId, RegionId, VmId } from './identifiers.js'

export const VmState = { Live: 'live', Leaving: 'leaving' } as const
export type VmState = typeof VmState[keyof typeof VmState]

export interface ListedVm {
  readonly name: VmId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  /** IP address shared by the VM's ports. */
  readonly host: string
  readonly callerPort: number
  readonly peerPort: number
  readonly administrationPort: number
  readonly state: VmState
}
