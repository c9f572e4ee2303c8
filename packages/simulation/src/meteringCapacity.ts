/**
 * Capacity probe of metering, by number of teams. A VM counts its share of the
 * target's requests, copies its counts to a peer, and stores as many for the peer.
 */

import {
  SeededRandom, toFailureDomainId, toIncarnationId, toRegionId, toRouteName, toTeamId, toVmId
} from '@cuminvale/common'
import { decodePeerMessage, encodePeerMessage } from '@cuminvale/messages'
import { UsageAccount, UsageCopies } from '@cuminvale/metering'
import type { MeteringMessage, OutboundMessage, PeerIdentity } from '@cuminvale/messages'
import { bytesOnWire, extrapolateCapacityRow, measureHeap, measureProcessorMicroseconds } from './capacityTools.js'
import { target } from './target.js'
import type { CapacityProbe, CapacitySample } from './capacityProbe.js'

const teamCounts = [60, 120, 240, 480] as const
const measuredSeconds = 400
const warmUpSeconds = 200
const millisecondsPerSecond = 1_000
const routeNames = ['drafting', 'counter', 'orders', 'order-status']
const requestsPerSecond = target.requestsPerSecond / target.vms
/** Exponent applied to a uniform random number, so that a few teams send most of the requests. */
const teamSkewExponent = 2

const identityOf = (name: string): PeerIdentity => ({
  vm: toVmId(name),
  incarnation: toIncarnationId(`${name}-incarnation`),
  region: toRegionId('luzon'),
  failureDomain: toFailureDomainId(`${name}-domain`)
})

/** Two VMs that store copies of each other's counts. Only the bytes that the first VM sends are counted. */
class MeteredPair {
  sentBytes = 0
  private readonly random = new SeededRandom(1)
  private readonly identities = [identityOf('vm-1'), identityOf('vm-2')]
  private readonly accounts = this.identities.map(({ vm, incarnation }) => new UsageAccount({ vm, incarnation }))
  private readonly copies = this.identities.map((self, index) => new UsageCopies({
    self, own: this.accounts[index] as UsageAccount, peers: () => this.identities.filter((other) => other !== self).map((other) => ({ ...other, reachable: true }))
  }))

  constructor (private readonly teams: number) {}

  run (spanSeconds: number): void {
    const intervalSeconds = (this.copies[0] as UsageCopies).tickMilliseconds / millisecondsPerSecond
    for (let elapsed = 0; elapsed < spanSeconds; elapsed += intervalSeconds) {
      this.accounts.forEach((account) => this.count(account, Math.round(requestsPerSecond * intervalSeconds)))
      this.copies.forEach((copies, index) => this.send(index, copies.tick()))
    }
  }

  private count (account: UsageAccount, requests: number): void {
    for (let index = 0; index < requests; index += 1) {
      const team = Math.floor(this.teams * this.random.next() ** teamSkewExponent)
      const route = routeNames[Math.floor(this.random.next() * routeNames.length)] ?? ''
      account.add({ team: toTeamId(`team-${team}`), route: toRouteName(route), requests: 1, weighted: 2, tokens: 430 })
    }
  }

  private send (from: number, outbound: readonly OutboundMessage[]): void {
    for (const { message } of outbound) {
      const bytes = encodePeerMessage(message)
      if (from === 0) this.sentBytes += bytesOnWire(bytes.length)
      const decoded = decodePeerMessage(bytes)
      if (decoded.isErr) throw decoded.error
      this.send(1 - from, (this.copies[1 - from] as UsageCopies).receive(this.identities[from] as PeerIdentity, decoded.value as MeteringMessage))
    }
  }
}

/** Both VMs do the same work, so half of the processor time and half of the heap are attributed to each. */
const sampleAt = (teams: number): CapacitySample => {
  const { bytes, held: pair } = measureHeap(() => {
    const created = new MeteredPair(teams)
    created.run(warmUpSeconds)
    return created
  })
  pair.sentBytes = 0
  const microseconds = measureProcessorMicroseconds(() => pair.run(measuredSeconds)) / 2
  return {
    dimension: 'teams',
    size: teams,
    stateBytes: bytes / 2,
    bytesPerSecond: pair.sentBytes / measuredSeconds,
    processorMicrosecondsPerSecond: microseconds / measuredSeconds
  }
}

/** The first sample is discarded because it includes the time of just-in-time compilation. */
export const meteringCapacity: CapacityProbe = {
  mechanism: 'metering',
  measure: () => extrapolateCapacityRow({
    mechanism: 'metering',
    carriedBy: 'every VM: its own counts, and the copies of one other',
    samples: [teamCounts[0], ...teamCounts].map(sampleAt).slice(1),
    size: target.teams
  })
}
