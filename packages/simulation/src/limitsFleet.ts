/**
 * Simulated VMs that each run a limiter and read a lagging VM list. Their clocks
 * drift and can be suspended. Used by the soak suite and the measurements.
 */

import { toFailureDomainId, toIncarnationId, toPlanName, toRegionId, toRevision, toTeamId, toVmId } from '@cuminvale/common'
import type { Clock, Random, RegionId, TeamId, VmId } from '@cuminvale/common'
import type { Configuration } from '@cuminvale/documents'
import type { RateLimit, LoanPeer, TeamLimiter } from '@cuminvale/limits'
import type { LimitMessage, PeerIdentity, PeerProtocol } from '@cuminvale/messages'
import { FakeLink } from './fakeLink.js'
import { SuspendableClock } from './suspendableClock.js'
import { VirtualClock } from './virtualClock.js'
import { VmClock } from './vmClock.js'
import type { FakeVm } from './fakeLink.js'

export type FleetLimiter = TeamLimiter & PeerProtocol<LimitMessage> & {
  /** Adopts the listed VMs of the limiter's region. */
  adoptList (names: ReadonlySet<VmId>, askedAt: number): void
}

export interface LimiterDependencies {
  readonly clock: Clock
  readonly random: Random
  readonly self: PeerIdentity
  readonly peers: () => readonly LoanPeer[]
}

export interface LimitsFleetOptions {
  readonly random: Random
  /** Region of each VM, by VM index. */
  readonly regions: readonly string[]
  readonly configuration: Configuration
  readonly createLimiter: (parts: LimiterDependencies) => FleetLimiter
  readonly listLagMilliseconds: number
  readonly clockDriftShare: number
}

export interface LimitsVm extends FakeVm {
  readonly clock: SuspendableClock
  readonly limiter: FleetLimiter
}

const listPollMilliseconds = 500
const localDelayMilliseconds = 1
const interRegionDelayMilliseconds = 55
/** A peer counts as unreachable this long after its crash. */
const unreachableAfterMilliseconds = 3_000

interface ListVersion {
  readonly at: number
  readonly names: ReadonlySet<VmId>
}

export const nameOf = (index: number): VmId => toVmId(`vm-${index}`)

export class LimitsFleet {
  readonly clock = new VirtualClock()
  readonly link: FakeLink
  readonly vms: LimitsVm[] = []
  configuration: Configuration
  private incarnationCount = 0
  private listVersions: ListVersion[] = []
  /** VMs that cannot read the VM list. */
  readonly vmsWithoutList = new Set<VmId>()
  private readonly crashedAt = new Map<VmId, number>()

  constructor (readonly options: LimitsFleetOptions) {
    const { random } = options
    this.configuration = options.configuration
    this.link = new FakeLink({ clock: this.clock, random, localDelayMilliseconds, interRegionDelayMilliseconds })
    this.listVersions = [{ at: 0, names: new Set() }]
  }

  regionOf (index: number): RegionId {
    return toRegionId(this.options.regions[index] ?? 'none')
  }

  /** Starts a VM in place of its earlier incarnation, if any. */
  start (index: number): void {
    this.incarnationCount += 1
    const { random, createLimiter, clockDriftShare, regions } = this.options
    const rate = 1 + clockDriftShare * (2 * index / Math.max(1, regions.length - 1) - 1)
    const clock = new SuspendableClock(new VmClock({ base: this.clock, rate }))
    const self: PeerIdentity = {
      vm: nameOf(index),
      incarnation: toIncarnationId(`i-${index}-${this.incarnationCount}`),
      region: this.regionOf(index),
      failureDomain: toFailureDomainId(`fd-${index}`)
    }
    const limiter = createLimiter({ clock, random, self, peers: () => this.peersOf(self.vm) })
    limiter.configure(this.configuration)
    const vm: LimitsVm = {
      identity: self, clock, limiter, protocols: new Map([['limits' as const, limiter as PeerProtocol<never>]])
    }
    this.vms[index] = vm
    this.crashedAt.delete(self.vm)
    this.link.attach(vm)
    this.pollList(vm)
  }

  crash (index: number): void {
    this.link.detach(nameOf(index))
    this.crashedAt.set(nameOf(index), this.clock.monotonic())
  }

  isRunning (index: number): boolean {
    return this.link.isAttached(nameOf(index))
  }

  /** Publishes a new version of the VM list; VMs see it after the lag. */
  list (indices: readonly number[]): void {
    this.listVersions.push({ at: this.clock.monotonic(), names: new Set(indices.map(nameOf)) })
  }

  configure (configuration: Configuration): void {
    this.configuration = configuration
    for (const vm of this.vms) this.link.runOn(vm.identity.vm, () => vm.limiter.configure(configuration))
  }

  /** Pauses a VM and stops its monotonic clock until it resumes. */
  suspend (index: number): void {
    this.vms[index]?.clock.suspend()
    this.link.pause(nameOf(index))
  }

  resume (index: number): void {
    this.vms[index]?.clock.resume()
    this.link.resume(nameOf(index))
  }

  private peersOf (self: VmId): readonly LoanPeer[] {
    const now = this.clock.monotonic()
    return this.vms.flatMap(({ identity }) => {
      const crashTime = this.crashedAt.get(identity.vm)
      const isUnreachable = crashTime !== undefined && now - crashTime > unreachableAfterMilliseconds
      return identity.vm === self || isUnreachable ? [] : [{ vm: identity.vm, region: identity.region }]
    })
  }

  private pollList (vm: LimitsVm): void {
    const { random, listLagMilliseconds } = this.options
    const askedAt = vm.clock.monotonic()
    const snapshotAt = this.clock.monotonic() - random.next() * listLagMilliseconds
    const names = [...this.listVersions].reverse().find(({ at }) => at <= snapshotAt)?.names ?? this.listVersions[0]?.names
    const local = new Set([...names ?? []].filter((name) => this.regionOf(Number(name.slice(3))) === vm.identity.region))
    const isCurrent = (): boolean => this.vms.includes(vm) && this.link.isAttached(vm.identity.vm)
    if (!this.vmsWithoutList.has(vm.identity.vm)) {
      this.clock.schedule(localDelayMilliseconds, () => {
        if (isCurrent()) this.link.runOn(vm.identity.vm, () => vm.limiter.adoptList(local, askedAt))
      })
    }
    this.clock.schedule(listPollMilliseconds, () => {
      if (isCurrent()) this.link.runOn(vm.identity.vm, () => this.pollList(vm))
    })
  }
}

export interface SimulatedPlan extends RateLimit {
  readonly regionShares?: Readonly<Record<string, number>>
}

export const teamName = (index: number): TeamId => toTeamId(`team-${index}`)

/** A configuration with one team per plan. */
export const configurationOf = (revision: number, regions: readonly string[], plans: readonly SimulatedPlan[]): Configuration => ({
  revision: toRevision(revision),
  teams: new Map(plans.map((_, index) => [teamName(index), { name: teamName(index), plan: toPlanName(`plan-${index}`) }])),
  plans: new Map(plans.map((plan, index) => [toPlanName(`plan-${index}`), {
    name: toPlanName(`plan-${index}`),
    routes: [],
    models: [],
    regions: [...new Set(regions)].map(toRegionId),
    rateTokensPerSecond: plan.ratePerSecond,
    burstTokens: plan.burst,
    weight: 1,
    ...(plan.regionShares === undefined ? {} : { regionShares: plan.regionShares })
  }])),
  keys: new Map(),
  routes: new Map(),
  upstreams: new Map()
})
