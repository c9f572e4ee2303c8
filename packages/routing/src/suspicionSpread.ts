/**
 * Tells the VMs of the fleet about requests that may crash upstreams, from
 * their first death on, so that no VM has to lose upstreams of its own first.
 */

import type { Clock, Random, TeamId, UpstreamId, VmId } from '@cuminvale/common'
import type { Outbound, PeerIdentity, PeerProtocol, SuspicionMessage } from '@cuminvale/messages'
import type { CrashSuspects, Death, SuspicionRecord } from './crashSuspects.js'
import type { RequestDigest } from './requestDigest.js'

export interface SuspicionSpreadOptions {
  readonly clock: Clock
  readonly random: Random
  readonly suspects: CrashSuspects
  /** Peers to tell. */
  readonly peers: () => readonly VmId[]
}

export interface CrashedRequest {
  readonly digest: RequestDigest
  readonly team: TeamId
  readonly upstream: UpstreamId
}

const repeatMilliseconds = 1_000
/** Reports are repeated for this long, since a lost one would cost upstreams elsewhere. */
const repeatSpanMilliseconds = 60_000
const repeatFanout = 2

export class SuspicionSpread implements PeerProtocol<SuspicionMessage> {
  readonly tickMilliseconds = repeatMilliseconds

  constructor (private readonly options: SuspicionSpreadOptions) {}

  /** Forgets what is over, and repeats recent reports to a few peers. */
  tick (): readonly Outbound[] {
    const { suspects } = this.options
    if (suspects.isEmpty) return []
    suspects.forgetOld()
    const records = suspects.recent(repeatSpanMilliseconds)
    return this.somePeers().flatMap((to) => records.map((record) => ({ to, message: this.messageFor(record) })))
  }

  /** Blames the request for the death, and tells the peers. */
  report ({ digest, team, upstream }: CrashedRequest): readonly Outbound[] {
    const deaths = this.options.suspects.died(digest, team, upstream)
    if (deaths.length === 0) return []
    const message = this.messageFor({ digest, team, deaths })
    return this.options.peers().map((to) => ({ to, message }))
  }

  receive (_: PeerIdentity, message: SuspicionMessage): readonly Outbound[] {
    const now = this.options.clock.monotonic()
    const deaths = message.deaths.map(({ upstream, ageMilliseconds }): Death => ({ upstream, at: now - ageMilliseconds }))
    this.options.suspects.heard(message.digest as RequestDigest, message.team, deaths)
    return []
  }

  private messageFor ({ digest, team, deaths }: SuspicionRecord): SuspicionMessage {
    const now = this.options.clock.monotonic()
    return {
      kind: 'suspicion.report',
      digest,
      team,
      deaths: deaths.map(({ upstream, at }) => ({ upstream, ageMilliseconds: now - at }))
    }
  }

  private somePeers (): readonly VmId[] {
    const peers = [...this.options.peers()]
    const chosen: VmId[] = []
    while (chosen.length < repeatFanout && peers.length > 0) {
      chosen.push(...peers.splice(Math.floor(this.options.random.next() * peers.length), 1))
    }
    return chosen
  }
}
