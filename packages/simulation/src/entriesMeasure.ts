/**
 * Measures entry choice: uniform random choice against steering each team to a
 * few VMs, while one team sends several times its rate. VMs drop requests above
 * their capacity, cache the most recently used prompt prefixes, and enforce the
 * teams' rates by escrow.
 */

import { SeededRandom, VmState, toRegionId } from '@cuminvale/common'
import { SteeredEntryChooser, UniformEntryChooser } from '@cuminvale/entries'
import { EscrowLimiter, TokenBucket } from '@cuminvale/limits'
import type { Random } from '@cuminvale/common'
import type { EntryCandidate, EntryChooser } from '@cuminvale/entries'
import { LimitsFleet, configurationOf, nameOf, teamName } from './limitsFleet.js'
import { MeasuredDeployment } from './measureScenario.js'
import { SpendingLedger } from './spendingLedger.js'
import { exponentialVariate } from './statistics.js'
import type { SimulatedPlan } from './limitsFleet.js'
import type { MeasureRow, MeasureScenario } from './measureScenario.js'

const regions = ['first', 'first', 'first', 'second', 'second', 'second', 'third', 'third']
const teamCount = 8
const floodTeam = 0
const floodFactor = 5
const offeredShare = 0.8
const plan: SimulatedPlan = { ratePerSecond: 8_000, burst: 16_000 }
const requestTokens = 400
const clientsPerTeam = 6
const requestsPerVmSecond = 60
const prefixesPerTeam = 20
const prefixesPerVm = 50
const cacheHitSeconds = 0.05
const cacheMissSeconds = 0.3
const warmUpMilliseconds = 15_000
const measuredMilliseconds = 45_000

/** The Cooperativa puts more weight on tail latency, Talahib on wrongful refusals. */
const weightsOf: Record<MeasuredDeployment, { readonly tailLatencyWeight: number, readonly wrongfulRefusalsWeight: number }> = {
  [MeasuredDeployment.Cooperativa]: { tailLatencyWeight: 2, wrongfulRefusalsWeight: 1 },
  [MeasuredDeployment.Talahib]: { tailLatencyWeight: 1, wrongfulRefusalsWeight: 2 }
}

interface Policy {
  readonly name: string
  readonly create: (random: Random, deployment: MeasuredDeployment) => EntryChooser
}

const policies: readonly Policy[] = [
  { name: 'uniform', create: (random) => new UniformEntryChooser(random) },
  {
    name: 'steered',
    create: (random, deployment) => new SteeredEntryChooser({ random, tokensPerVm: 4_000, ...weightsOf[deployment] })
  }
]

class EntriesRun {
  private readonly random: SeededRandom
  private readonly fleet: LimitsFleet
  private readonly caches = regions.map((): string[] => [])
  private readonly requestBuckets = regions.map(() => new TokenBucket({ ratePerSecond: requestsPerVmSecond, capacity: requestsPerVmSecond / 2 }, 0))
  private readonly referenceBuckets = Array.from({ length: teamCount }, () => new TokenBucket({ ratePerSecond: plan.ratePerSecond, capacity: plan.burst }, 0))
  private readonly withinRateCounts = new Array<number>(teamCount).fill(0)
  private readonly servedCounts = new Array<number>(teamCount).fill(0)
  private readonly ledger = Array.from({ length: teamCount }, () => new SpendingLedger())
  private cacheHitCount = 0
  private ranCount = 0
  private refused = 0

  constructor (private readonly chooser: EntryChooser, seed: number) {
    this.random = new SeededRandom(seed)
    this.fleet = new LimitsFleet({
      random: new SeededRandom(seed + 1),
      regions,
      configuration: configurationOf(1, regions, Array.from({ length: teamCount }, () => plan)),
      createLimiter: (parts) => new EscrowLimiter(parts),
      listLagMilliseconds: 500,
      clockDriftShare: 0
    })
    this.fleet.list([...regions.keys()])
    this.fleet.clock.advance(500)
    for (const index of regions.keys()) this.fleet.start(index)
  }

  run (): Omit<MeasureRow, 'decision' | 'policy' | 'scenario'> {
    for (let team = 0; team < teamCount; team += 1) {
      for (let client = 0; client < clientsPerTeam; client += 1) this.startClient(team, client)
    }
    this.fleet.clock.advance(warmUpMilliseconds + measuredMilliseconds)
    const otherShares = this.servedCounts.map((served, team) => served / Math.max(1, this.withinRateCounts[team] ?? 1)).slice(floodTeam + 1)
    const total = this.withinRateCounts.reduce((sum, count) => sum + count, 0)
    const serviceSeconds = this.cacheHitCount * cacheHitSeconds + (this.ranCount - this.cacheHitCount) * cacheMissSeconds
    return {
      cost: serviceSeconds / (this.ranCount * requestTokens) * 1_000,
      tailLatencyMilliseconds: null,
      sentAwayShare: null,
      worstTeamShare: Math.min(...otherShares),
      wrongfulRefusalShare: this.refused / Math.max(1, total),
      overspendTokens: Math.max(0, ...this.ledger.map((ledger) => ledger.largestOverspendTokens(plan)))
    }
  }

  /** The client sends to the first VM of an answer until its hold time ends, and then requests a new answer. */
  private startClient (team: number, client: number): void {
    const region = toRegionId(regions[(team + client) % regions.length] ?? '')
    let vm = 0
    const chooseVm = (): void => {
      const answer = this.chooser.choose({
        team: teamName(team), callerRegion: region, allowedRegions: [], count: 3, rateTokensPerSecond: plan.ratePerSecond
      }, this.candidates())
      vm = regions.findIndex((_, index) => nameOf(index) === answer.vms[0])
      this.fleet.clock.schedule(answer.holdMilliseconds, chooseVm)
    }
    const rateFactor = team === floodTeam ? floodFactor : offeredShare
    const meanGapMilliseconds = requestTokens / (plan.ratePerSecond * rateFactor / clientsPerTeam) * 1_000
    const arrive = (): void => {
      this.request(team, vm)
      this.fleet.clock.schedule(exponentialVariate(this.random, meanGapMilliseconds), arrive)
    }
    chooseVm()
    this.fleet.clock.schedule(exponentialVariate(this.random, meanGapMilliseconds), arrive)
  }

  private candidates (): readonly EntryCandidate[] {
    const now = this.fleet.clock.monotonic()
    return this.fleet.vms.map(({ identity }, index) => ({
      vm: {
        name: identity.vm,
        region: identity.region,
        failureDomain: identity.failureDomain,
        host: '127.0.0.1',
        callerPort: 1,
        peerPort: 2,
        administrationPort: 3,
        state: VmState.Live
      },
      reachable: true,
      load: 1 - (this.requestBuckets[index]?.available(now) ?? 0) / (requestsPerVmSecond / 2)
    }))
  }

  private request (team: number, vm: number): void {
    const now = this.fleet.clock.monotonic()
    const isMeasured = now >= warmUpMilliseconds
    const isWithinRate = this.referenceBuckets[team]?.take(requestTokens, now) === true
    if (isMeasured && isWithinRate) this.withinRateCounts[team] = (this.withinRateCounts[team] ?? 0) + 1
    if (this.requestBuckets[vm]?.take(1, now) !== true) return
    this.fleet.vms[vm]?.limiter.chargeOrWait(teamName(team), requestTokens, (result) => {
      if (result.isOk) {
        this.ledger[team]?.record(this.fleet.clock.monotonic(), requestTokens)
        this.serve(team, vm, isMeasured)
        if (isMeasured && isWithinRate) this.servedCounts[team] = (this.servedCounts[team] ?? 0) + 1
      } else if (isMeasured && isWithinRate) this.refused += 1
    })
  }

  private serve (team: number, vm: number, isMeasured: boolean): void {
    const prefix = `${team}/${Math.floor(this.random.next() ** 2 * prefixesPerTeam)}`
    const cache = this.caches[vm] ?? []
    const index = cache.indexOf(prefix)
    if (index >= 0) cache.splice(index, 1)
    cache.push(prefix)
    if (cache.length > prefixesPerVm) cache.shift()
    if (!isMeasured) return
    this.ranCount += 1
    if (index >= 0) this.cacheHitCount += 1
  }
}

export const entriesMeasure: MeasureScenario = {
  decision: 'entries',
  run: (deployment, seed) => policies.map((policy): MeasureRow => ({
    decision: 'entries',
    policy: policy.name,
    scenario: 'one team at 5 times its rate',
    ...new EntriesRun(policy.create(new SeededRandom(seed + 2), deployment), seed).run()
  }))
}
