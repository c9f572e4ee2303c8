/**
 * Whether a request without a target waits for other VMs to become known. The
 * wait starts with the first call, is bounded, and is for VMs that have just
 * started; a request that was forwarded here doesn't wait.
 */

import { peerDiscoveryWaitMilliseconds } from './constants.js'
import type { GatewayState } from './gatewayState.js'

export interface PeerWaitOptions {
  readonly state: GatewayState
  readonly mayForward: boolean
}

export class PeerWait {
  private until: number | undefined

  constructor (private readonly options: PeerWaitOptions) {}

  get hasStarted (): boolean {
    return this.until !== undefined
  }

  startOrContinue (now: number): boolean {
    const { state, mayForward } = this.options
    if (!mayForward || !state.isDiscoveringPeers) return false
    this.until ??= now + peerDiscoveryWaitMilliseconds
    return now < this.until
  }
}
