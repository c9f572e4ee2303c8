/**
 * Proves that this VM knows every software version at which a stream may have
 * begun that is taken up now. VMs send only to upstreams whose records the source
 * had acknowledged before, so a read of it that is sent later proves this alone,
 * whichever VMs are gone. Otherwise the other VMs must prove that they are heard.
 */

import { contactCheckIntervalMilliseconds, contactProofMilliseconds } from './constants.js'
import type { GatewayState } from './gatewayState.js'

export const ProofFailure = {
  NoContact: 'the records are not confirmed, and a VM that was heard lately does not answer',
  FewVms: 'the records are not confirmed, and under half of the known VMs are heard'
} as const
export type ProofFailure = typeof ProofFailure[keyof typeof ProofFailure]

export type VersionProofState = Pick<GatewayState, 'clock' | 'contact' | 'peers' | 'confirmRecords'>

export class VersionProof {
  private readonly askedAt: number
  private readonly isConfirmed: Promise<boolean>

  constructor (private readonly state: VersionProofState) {
    this.askedAt = state.clock.monotonic()
    state.contact?.requestProofs()
    this.isConfirmed = state.confirmRecords(this.askedAt)
    this.isConfirmed.catch(() => { /* reported by findFailure, if that is called */ })
  }

  /** Why there is no proof in time; undefined as soon as there is one. */
  async findFailure (): Promise<ProofFailure | undefined> {
    return await new Promise((resolve, reject) => {
      const confirmed = this.isConfirmed.then((isConfirmed) => {
        if (isConfirmed) resolve(undefined)
      })
      const timeout = this.untilTimeout()
      const heard = this.findSilence().then((failure) => {
        if (failure === undefined) resolve(undefined)
        return failure
      })
      Promise.all([heard, Promise.race([confirmed, timeout])]).then(([failure]) => resolve(failure), reject)
    })
  }

  /** Whether the source has confirmed the records in time. */
  async isConfirmedInTime (): Promise<boolean> {
    return await Promise.race([this.isConfirmed, this.untilTimeout().then(() => false)])
  }

  private async untilTimeout (): Promise<void> {
    await new Promise<void>((resolve) => setTimeout(resolve, Math.max(0, this.askedAt + contactProofMilliseconds - this.state.clock.monotonic())))
  }

  /** Waits until the other VMs were heard since the request came; those that were cut off or this VM's standstill are noticed only later. */
  private async findSilence (): Promise<ProofFailure | undefined> {
    const { askedAt, state: { clock, contact, peers } } = this
    for (;;) {
      // The smaller side, if VMs can't hear each other.
      if (peers.heardPeers({ readyOnly: false }).length * 2 < peers.known.length) return ProofFailure.FewVms
      if (contact?.isProvenSince(askedAt) !== false) return undefined
      if (clock.monotonic() - askedAt > contactProofMilliseconds) return ProofFailure.NoContact
      await new Promise((resolve) => setTimeout(resolve, contactCheckIntervalMilliseconds))
    }
  }
}
