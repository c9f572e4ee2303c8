/**
 * An entry of the platform's VM list. The list may be out of date.
 */

import type { FailureDomainId, RegionId, VmId } from './identifiers.js'

export const VmState = { Live: 'live', Leaving: 'leaving' } as const
export type VmState = typeof VmState[keyof typeof VmState]

export interface ListedVm {
  readonly name: VmId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  /** IP address of all of the VM's ports. */
  readonly host: string
  readonly callerPort: number
  readonly peerPort: number
  readonly administrationPort: number
  readonly state: VmState
}
