/**
 * Measures fleet-wide limits: a static split, an owner VM per team, and escrow,
 * under identical arrivals at 0.9 of each team's rate. A refusal is wrongful if
 * a single token bucket for the whole fleet would have admitted the request.
 */

import { SeededRandom } from '@cuminvale/common'
import { EscrowLimiter, OwnerLimiter, StaticSplitLimiter, TokenBucket } from '@cuminvale/limits'
import type { VmId } from '@cuminvale/common'
import { LimitsFleet, configurationOf, teamName } from './limitsFleet.js'
import type { MeasuredDeployment, MeasureRow, MeasureScenario } from './measureScenario.js'
import { quantile } from './quantile.js'
import { SpendingLedger } from './spendingLedger.js'
import type { FleetLimiter, LimiterDependencies, SimulatedPlan } from './limitsFleet.js'

const regionsOf: Record<MeasuredDeployment, readonly string[]> = {
  cooperativa: ['lombardia', 'lombardia', 'lombardia', 'veneto', 'veneto', 'veneto', 'emilia', 'emilia'],
  talahib: ['luzon', 'luzon', 'luzon', 'visayas', 'visayas', 'visayas', 'mindanao', 'mindanao']
}

const plans: readonly SimulatedPlan[] = [
  { ratePerSecond: 40_000, burst: 80_000 },
  { ratePerSecond: 10_000, burst: 20_000 },
  { ratePerSecond: 5_000, burst: 10_000 }
]
const offeredShare = 0.9
const smallestRequestTokens = 100
const largestRequestTokens = 700
const warmUpMilliseconds = 15_000
const measuredMilliseconds = 60_000
const shiftMilliseconds = 5_000
const crashedVm = 1
/** Time until the VM list no longer contains the crashed VM. */
const listRemovalMilliseconds = 2_000
const tailQuantile = 0.99

/** Adapts the static split, which exchanges no messages, to the interface of the simulated fleet. */
class StaticFleetLimiter extends StaticSplitLimiter implements FleetLimiter {
  readonly tickMilliseconds = 1_000

  adoptList (names: ReadonlySet<VmId>): void {
    if (names.size === 0) return
    this.listedVmCount = names.size
    this.rebalance()
  }

  receive (): [] {
    return []
  }

  tick (): [] {
    return []
  }

  private listedVmCount = 1

  constructor ({ clock, self }: LimiterDependencies) {
    super({ clock, region: self.region, vmCountInRegion: () => this.listedVmCount })
  }
}

interface Policy {
  readonly name: string
  readonly create: (parts: LimiterDependencies) => FleetLimiter
}

const policies: readonly Policy[] = [
  { name: 'static split', create: (parts) => new StaticFleetLimiter(parts) },
  { name: 'owner VM', create: (parts) => new OwnerLimiter(parts) },
  { name: 'escrow', create: (parts) => new EscrowLimiter(parts) }
]

interface Scenario {
  readonly name: string
  /** Number of VMs over which a team's requests are spread at any time. */
  readonly vmsPerTeam: number
  readonly crashesVm: boolean
}

const scenarios: readonly Scenario[] = [
  { name: 'through one VM', vmsPerTeam: 1, crashesVm: false },
  { name: 'through some VMs', vmsPerTeam: 3, crashesVm: false },
  { name: 'through all VMs', vmsPerTeam: 8, crashesVm: false },
  { name: 'one VM just dead, through some VMs', vmsPerTeam: 3, crashesVm: true },
  { name: 'one VM just dead, through all VMs', vmsPerTeam: 8, crashesVm: true }
]

interface Counts {
  withinRateRequests: number
  wrongfulRefusals: number
  readonly waits: number[]
  readonly ledger: SpendingLedger
}

class LimitsRun {
  private readonly random: SeededRandom
  private readonly fleet: LimitsFleet
  private readonly counts: Counts[] = plans.map(() => ({ withinRateRequests: 0, wrongfulRefusals: 0, waits: [], ledger: new SpendingLedger() }))
  private readonly referenceBuckets: TokenBucket[]
  private readonly firstVmOfTeams: number[]
  private isMeasuring = false

  constructor (policy: Policy, private readonly scenario: Scenario, regions: readonly string[], seed: number) {
    this.random = new SeededRandom(seed)
    this.fleet = new LimitsFleet({
      random: new SeededRandom(seed + 1),
      regions,
      configuration: configurationOf(1, regions, plans),
      createLimiter: policy.create,
      listLagMilliseconds: 1_000,
      clockDriftShare: 0.0005
    })
    this.referenceBuckets = plans.map(({ ratePerSecond, burst }) => new TokenBucket({ ratePerSecond, capacity: burst }, 0))
    this.firstVmOfTeams = plans.map(() => 0)
    this.fleet.list([...regions.keys()])
    this.fleet.clock.advance(1_000)
    for (const index of regions.keys()) this.fleet.start(index)
  }

  run (): Pick<MeasureRow, 'tailLatencyMilliseconds' | 'worstTeamShare' | 'wrongfulRefusalShare' | 'overspendTokens'> {
    plans.forEach((_, team) => this.arrive(team))
    this.shiftTraffic()
    this.fleet.clock.advance(warmUpMilliseconds)
    this.isMeasuring = true
    if (this.scenario.crashesVm) this.crashVm()
    this.fleet.clock.advance(measuredMilliseconds)
    const servedShares = this.counts.map(({ withinRateRequests, wrongfulRefusals }) => 1 - wrongfulRefusals / Math.max(1, withinRateRequests))
    const waits = this.counts.flatMap(({ waits: all }) => all)
    const total = (field: 'withinRateRequests' | 'wrongfulRefusals'): number => this.counts.reduce((sum, counts) => sum + counts[field], 0)
    return {
      tailLatencyMilliseconds: quantile(waits, tailQuantile),
      worstTeamShare: Math.min(...servedShares),
      wrongfulRefusalShare: total('wrongfulRefusals') / Math.max(1, total('withinRateRequests')),
      overspendTokens: Math.max(0, ...this.counts.map(({ ledger }, team) => ledger.largestOverspendTokens(plans[team] as SimulatedPlan)))
    }
  }

  private crashVm (): void {
    this.fleet.crash(crashedVm)
    const alive = [...this.fleet.options.regions.keys()].filter((index) => index !== crashedVm)
    this.fleet.clock.schedule(listRemovalMilliseconds, () => this.fleet.list(alive))
  }

  private shiftTraffic (): void {
    plans.forEach((_, team) => { this.firstVmOfTeams[team] = Math.floor(this.random.next() * this.fleet.options.regions.length) })
    if (this.scenario.crashesVm && !this.isMeasuring) this.firstVmOfTeams.fill(crashedVm)
    this.fleet.clock.schedule(shiftMilliseconds, () => this.shiftTraffic())
  }

  private arrive (team: number): void {
    const { ratePerSecond } = plans[team] as SimulatedPlan
    const requestsPerMillisecond = ratePerSecond * offeredShare / 1_000 / ((smallestRequestTokens + largestRequestTokens) / 2)
    const gapMilliseconds = -Math.log(1 - this.random.next()) / requestsPerMillisecond
    this.fleet.clock.schedule(gapMilliseconds, () => {
      this.request(team)
      this.arrive(team)
    })
  }

  private request (team: number): void {
    const tokens = Math.round(smallestRequestTokens + this.random.next() * (largestRequestTokens - smallestRequestTokens))
    const vm = this.pickVm(team)
    const arrivedAt = this.fleet.clock.monotonic()
    const isWithinRate = this.referenceBuckets[team]?.take(tokens, arrivedAt) === true
    const counts = this.counts[team] as Counts
    const isMeasured = this.isMeasuring
    if (isMeasured && isWithinRate) counts.withinRateRequests += 1
    this.fleet.vms[vm]?.limiter.chargeOrWait(teamName(team), tokens, (result) => {
      const now = this.fleet.clock.monotonic()
      if (result.isOk) counts.ledger.record(now, tokens)
      if (!isMeasured) return
      if (result.isOk) counts.waits.push(now - arrivedAt)
      else if (isWithinRate) counts.wrongfulRefusals += 1
    })
  }

  private pickVm (team: number): number {
    const { length } = this.fleet.options.regions
    const first = this.firstVmOfTeams[team] ?? 0
    const vm = (first + Math.floor(this.random.next() * this.scenario.vmsPerTeam)) % length
    return this.fleet.isRunning(vm) ? vm : (vm + 1) % length
  }
}

export const limitsMeasure: MeasureScenario = {
  decision: 'limits',
  run: (deployment, seed) => scenarios.flatMap((scenario) => policies.map((policy): MeasureRow => ({
    decision: 'limits',
    policy: policy.name,
    scenario: scenario.name,
    cost: null,
    sentAwayShare: null,
    ...new LimitsRun(policy, scenario, regionsOf[deployment], seed).run()
  })))
}
