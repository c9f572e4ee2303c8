/**
 * Tells the VMs of the fleet about requests that may crash upstreams, from
 * their first death on, so that no VM has to lose upstreams of its own first.
 */

import type { Clock, TeamId, UpstreamId, VmId } from '@cuminvale/common'
import type { Outbound, PeerIdentity, PeerProtocol, SuspicionMessage } from '@cuminvale/messages'
import type { CrashSuspects, Death } from './crashSuspects.js'
import type { RequestDigest } from './requestDigest.js'

export interface SuspicionSpreadOptions {
  readonly clock: Clock
  readonly suspects: CrashSuspects
  /** Peers to tell. */
  readonly peers: () => readonly VmId[]
}

export interface CrashedRequest {
  readonly digest: RequestDigest
  readonly team: TeamId
  readonly upstream: UpstreamId
}

const forgetMilliseconds = 1_000

export class SuspicionSpread implements PeerProtocol<SuspicionMessage> {
  readonly tickMilliseconds = forgetMilliseconds

  constructor (private readonly options: SuspicionSpreadOptions) {}

  tick (): readonly Outbound[] {
    this.options.suspects.forgetOld()
    return []
  }

  /** Blames the request for the death, and tells the peers. */
  report ({ digest, team, upstream }: CrashedRequest): readonly Outbound[] {
    const { clock, suspects, peers } = this.options
    const now = clock.monotonic()
    const deaths = suspects.died(digest, team, upstream)
      .map((death) => ({ upstream: death.upstream, ageMilliseconds: now - death.at }))
    if (deaths.length === 0) return []
    return peers().map((to) => ({ to, message: { kind: 'suspicion.report', digest, team, deaths } }))
  }

  receive (_: PeerIdentity, message: SuspicionMessage): readonly Outbound[] {
    const now = this.options.clock.monotonic()
    const deaths = message.deaths.map(({ upstream, ageMilliseconds }): Death => ({ upstream, at: now - ageMilliseconds }))
    this.options.suspects.heard(message.digest as RequestDigest, message.team, deaths)
    return []
  }
}
