/**
 * Reports requests that may crash upstreams to all VMs, from the first death
 * on, so that other VMs don't have to lose upstreams before they suspect them.
 */

import type { Clock, Random, TeamId, UpstreamId, VmId } from '@cuminvale/common'
import type { OutboundMessage, PeerIdentity, PeerProtocol, SuspicionMessage } from '@cuminvale/messages'
import type { CrashSuspects, UpstreamDeath, SuspicionRecord } from './crashSuspects.js'
import type { RequestDigest } from './requestDigest.js'

export interface SuspicionGossipOptions {
  readonly clock: Clock
  readonly random: Random
  readonly suspects: CrashSuspects
  /** Peers that reports are sent to. */
  readonly peers: () => readonly VmId[]
}

export interface InterruptedRequest {
  readonly digest: RequestDigest
  readonly team: TeamId
  readonly upstream: UpstreamId
}

const repeatIntervalMilliseconds = 1_000
/** Reports are repeated for this long, since a lost report would let the request crash upstreams of other VMs. */
const repeatDurationMilliseconds = 60_000
const repeatFanout = 2

export class SuspicionGossip implements PeerProtocol<SuspicionMessage> {
  readonly tickMilliseconds = repeatIntervalMilliseconds

  constructor (private readonly options: SuspicionGossipOptions) {}

  /** Removes expired suspicions, and repeats recent reports to a few random peers. */
  tick (): readonly OutboundMessage[] {
    const { suspects } = this.options
    if (suspects.isEmpty) return []
    suspects.removeExpired()
    const records = suspects.recentSuspicions(repeatDurationMilliseconds)
    return this.randomPeers().flatMap((to) => records.map((record) => ({ to, message: this.reportMessage(record) })))
  }

  /** Records the death against the request, and reports it to all peers. */
  report ({ digest, team, upstream }: InterruptedRequest): readonly OutboundMessage[] {
    const deaths = this.options.suspects.upstreamDied(digest, team, upstream)
    if (deaths.length === 0) return []
    const message = this.reportMessage({ digest, team, deaths })
    return this.options.peers().map((to) => ({ to, message }))
  }

  receive (_: PeerIdentity, message: SuspicionMessage): readonly OutboundMessage[] {
    const now = this.options.clock.monotonic()
    const deaths = message.deaths.map(({ upstream, ageMilliseconds }): UpstreamDeath => ({ upstream, at: now - ageMilliseconds }))
    this.options.suspects.reportedByPeer(message.digest as RequestDigest, message.team, deaths)
    return []
  }

  private reportMessage ({ digest, team, deaths }: SuspicionRecord): SuspicionMessage {
    const now = this.options.clock.monotonic()
    return {
      kind: 'suspicion.report',
      digest,
      team,
      deaths: deaths.map(({ upstream, at }) => ({ upstream, ageMilliseconds: now - at }))
    }
  }

  private randomPeers (): readonly VmId[] {
    const peers = [...this.options.peers()]
    const chosen: VmId[] = []
    while (chosen.length < repeatFanout && peers.length > 0) {
      chosen.push(...peers.splice(Math.floor(this.options.random.next() * peers.length), 1))
    }
    return chosen
  }
}
