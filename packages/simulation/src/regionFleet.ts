/**
 * Regions of unequal size with one VM each, for measurements of spillover to
 * other regions. Each pair of regions shares a link, digests lag, and daily
 * peaks fall at different hours.
 */

import {
  SeededRandom, toFailureDomainId, toModelName, toRegionId, toRequestId, toRevision, toRouteName, toTeamId, toUpstreamId, toVmId, PriorityClass
} from '@cuminvale/common'
import { FairQueue, defaultFairQueueBounds } from '@cuminvale/admission'
import { LinkBudget, PredictedLatencyChooser, RegionDigests, RoutingChoiceKind, UpstreamTable, estimatedForwardBytes } from '@cuminvale/routing'
import type { QueuedRequest } from '@cuminvale/admission'
import type { RegionId, UpstreamId } from '@cuminvale/common'
import type { Upstream } from '@cuminvale/documents'
import type { SpilloverPolicy, RoutingChoice, RoutingRequest } from '@cuminvale/routing'
import { BatchRunner } from './batchRunner.js'
import { exponentialVariate } from './statistics.js'
import { VirtualClock } from './virtualClock.js'

export interface RegionFleetOptions {
  readonly seed: number
  /** Number of slots in each region. */
  readonly slots: readonly number[]
  readonly linkMegabitsPerSecond: number
  readonly runMilliseconds: number
  /** Offered load of each region relative to its slots, averaged over the run. */
  readonly meanLoad: number
  readonly makeAway: (random: SeededRandom, link: LinkBudget) => SpilloverPolicy
}

interface Job extends QueuedRequest {
  readonly arrivedAt: number
  readonly home: number
  readonly isHomeBound: boolean
  readonly routing: RoutingRequest
  crossings: number
}

interface Region {
  readonly index: number
  readonly name: RegionId
  readonly table: UpstreamTable
  readonly slots: number
  readonly engines: ReadonlyMap<UpstreamId, BatchRunner>
  readonly queue: FairQueue<Job>
  readonly digests: RegionDigests
  readonly link: LinkBudget
  readonly chooser: PredictedLatencyChooser
  readonly random: SeededRandom
}

/** Each region has one engine per this many slots. */
const slotsPerEngine = 16
const route = toRouteName('drafting')
const model = toModelName('writer')
const team = toTeamId('binders')
const failureDomain = toFailureDomainId('fd-1')
const latencyMilliseconds = 55
const digestIntervalMilliseconds = 2_000
const tickMilliseconds = 20
const deadlineMilliseconds = 10_000
const homeBoundShare = 0.18
const promptTokens = 1_000
const outputTokens = 100
/** Time of a request in a full engine, from which the arrival rate is derived. */
const serviceMilliseconds = 2_900
/** Half the distance between peak and trough, relative to the mean. */
const peakAmplitudeShare = 0.8
const bytesPerMegabit = 125_000

const nameOf = (index: number): RegionId => toRegionId(`region-${index}`)

export class RegionFleet {
  readonly clock = new VirtualClock()
  readonly firstTokenMilliseconds: number[] = []
  readonly servedByRegion: number[]
  readonly offeredByRegion: number[]
  offered = 0
  forwardedCount = 0
  refused = 0
  linkBytes = 0
  usefulTokens = 0
  readonly violations: string[] = []
  private readonly regions: readonly Region[]
  private readonly linkFreeAt = new Map<string, number>()

  constructor (private readonly options: RegionFleetOptions) {
    this.regions = options.slots.map((slots, index) => this.createRegion(index, slots))
    this.servedByRegion = options.slots.map(() => 0)
    this.offeredByRegion = options.slots.map(() => 0)
  }

  get computeMilliseconds (): number {
    return this.regions.flatMap(({ engines }) => [...engines.values()])
      .reduce((sum, { computeMilliseconds }) => sum + computeMilliseconds, 0)
  }

  run (): void {
    this.regions.forEach((region) => this.scheduleArrival(region))
    this.runEvery(digestIntervalMilliseconds, () => this.sendDigests())
    this.runEvery(tickMilliseconds, () => this.regions.forEach((region) => this.tick(region)))
    this.clock.advance(this.options.runMilliseconds + 2 * deadlineMilliseconds)
  }

  private runEvery (milliseconds: number, task: () => void): void {
    this.clock.schedule(milliseconds, () => {
      task()
      this.runEvery(milliseconds, task)
    })
  }

  /** Load by the hour of a simulated day that lasts as long as the run; each region is at a different hour. */
  private currentLoad (region: Region): number {
    const dayFraction = this.clock.monotonic() / this.options.runMilliseconds + region.index / this.regions.length
    return this.options.meanLoad * (1 + peakAmplitudeShare * Math.sin(2 * Math.PI * dayFraction))
  }

  private scheduleArrival (region: Region): void {
    const arrivalsPerMillisecond = Math.max(0.05, this.currentLoad(region)) * region.slots / serviceMilliseconds
    this.clock.schedule(exponentialVariate(region.random, 1 / arrivalsPerMillisecond), () => {
      if (this.clock.monotonic() > this.options.runMilliseconds) return
      this.submitRequest(region)
      this.scheduleArrival(region)
    })
  }

  private submitRequest (region: Region): void {
    const now = this.clock.monotonic()
    const isHomeBound = region.random.next() < homeBoundShare
    this.offered += 1
    this.offeredByRegion[region.index] = (this.offeredByRegion[region.index] ?? 0) + 1
    this.acceptRequest(region, {
      id: toRequestId(`r-${this.offered}`),
      team,
      pool: 'pool',
      priority: PriorityClass.Interactive,
      weight: 1,
      cost: promptTokens + outputTokens,
      enqueuedAt: now,
      arrivedAt: now,
      deadlineAt: now + deadlineMilliseconds,
      home: region.index,
      isHomeBound,
      crossings: 0,
      routing: {
        team,
        route,
        model,
        mayCrossBorder: true,
        excluded: new Set(),
        promptTokens,
        outputTokens,
        prompt: '',
        allowedRegions: isHomeBound ? [region.name] : this.regions.map(({ name }) => name)
      }
    })
  }

  private acceptRequest (region: Region, job: Job): void {
    const choice = region.queue.length === 0 ? this.choose(region, job) : undefined
    if (choice !== undefined && this.execute(region, job, choice)) return
    this.refused += region.queue.enqueue(job).length
    this.startQueued(region)
  }

  private tick (region: Region): void {
    this.refused += region.queue.expire().length
    this.startQueued(region)
  }

  private startQueued (region: Region): void {
    for (;;) {
      let choice: RoutingChoice | undefined
      const job = region.queue.dequeue((candidate) => {
        choice = this.choose(region, candidate)
        return choice.kind === RoutingChoiceKind.Run || choice.kind === RoutingChoiceKind.Forward
      })
      if (job === undefined || choice === undefined) return
      this.execute(region, job, choice)
    }
  }

  private choose (region: Region, { routing }: Job): RoutingChoice {
    return region.chooser.choose(routing, {
      region: region.name,
      upstreams: region.table.servingViews(region.name, routing),
      remoteRegions: this.remoteRegions(region, routing),
      localWaitMilliseconds: region.queue.expectedWaitMilliseconds('pool')
    })
  }

  /** Carries out a choice; returns false if the request must wait. */
  private execute (region: Region, job: Job, choice: RoutingChoice): boolean {
    if (choice.kind === RoutingChoiceKind.Forward) this.forward(region, job, choice.region)
    else if (choice.kind === RoutingChoiceKind.Run) this.start(region, job, choice.upstream)
    else return false
    return true
  }

  private remoteRegions (region: Region, request: RoutingRequest) {
    return this.regions.filter(({ index }) => index !== region.index).map(({ name }) => ({
      region: name, vms: [toVmId(`vm-${name}`)], freeSlots: region.digests.freeSlots(name, request), latencyMilliseconds
    }))
  }

  private forward (from: Region, job: Job, to: RegionId): void {
    const target = this.regions.find(({ name }) => name === to) as Region
    const bytes = estimatedForwardBytes(job.routing)
    job.crossings += 1
    this.forwardedCount += 1
    this.linkBytes += bytes
    if (job.isHomeBound || job.crossings > 1) this.violations.push(`${job.id} crossed ${job.crossings} borders, home bound ${job.isHomeBound}`)
    from.digests.sent(to, job.routing)
    from.link.spend(to, bytes)
    const routing = { ...job.routing, mayCrossBorder: false, allowedRegions: [to] }
    this.clock.schedule(this.transferMilliseconds(from, target, bytes), () => this.acceptRequest(target, { ...job, routing }))
  }

  /** One-way time over the shared link, on which transfers queue behind each other. */
  private transferMilliseconds (from: Region, to: Region, bytes: number): number {
    const key = `${from.index}-${to.index}`
    const now = this.clock.monotonic()
    const transmissionMilliseconds = bytes / (this.options.linkMegabitsPerSecond * bytesPerMegabit / 1_000)
    const freeAt = Math.max(now, this.linkFreeAt.get(key) ?? 0) + transmissionMilliseconds
    this.linkFreeAt.set(key, freeAt)
    return freeAt - now + latencyMilliseconds
  }

  private start (region: Region, job: Job, upstream: UpstreamId): void {
    region.table.beginRequest(upstream)
    region.chooser.sent(job.routing, upstream)
    region.engines.get(upstream)?.submit({
      priority: job.priority,
      promptTokens,
      outputTokens,
      blocks: [],
      onFirstToken: () => this.firstTokenMilliseconds.push(this.clock.monotonic() - job.arrivedAt + job.crossings * latencyMilliseconds),
      onEnd: () => {
        region.table.endRequest(upstream, true)
        this.usefulTokens += job.cost
        this.servedByRegion[job.home] = (this.servedByRegion[job.home] ?? 0) + 1
        this.startQueued(region)
      }
    })
  }

  private sendDigests (): void {
    for (const from of this.regions) {
      const occupancy = from.table.servingViews(from.name, { route, model }).reduce((sum, view) => sum + view.occupancy, 0)
      const freeSlots = Math.max(0, from.slots - occupancy - from.queue.length)
      for (const to of this.regions) {
        if (to === from) continue
        this.clock.schedule(latencyMilliseconds, () => to.digests.receive(from.name, [{ route, model, freeSlots }]))
      }
    }
  }

  private createRegion (index: number, slots: number): Region {
    const { clock, options } = this
    const name = nameOf(index)
    const random = new SeededRandom(options.seed * 1_000 + index)
    const upstreams = Array.from({ length: slots / slotsPerEngine }, (_, engine): Upstream => ({
      name: toUpstreamId(`u-${index}-${engine}`),
      region: name,
      failureDomain,
      address: 'http://127.0.0.1:1',
      routes: [route],
      models: [model],
      slots: slotsPerEngine,
      checksFencing: false,
      leaving: false
    }))
    const table = new UpstreamTable(clock)
    table.configure({
      revision: toRevision(1), teams: new Map(), plans: new Map(), keys: new Map(), routes: new Map(), upstreams: new Map(upstreams.map((upstream) => [upstream.name, upstream]))
    })
    const link = new LinkBudget({ clock, linkMegabitsPerSecond: options.linkMegabitsPerSecond, share: 0.5, vmCount: () => 1 })
    return {
      index,
      name,
      table,
      slots,
      random,
      link,
      engines: new Map(upstreams.map((upstream) => [upstream.name, new BatchRunner({ clock, slots: slotsPerEngine, cacheBlocks: 1 })])),
      queue: new FairQueue({ ...defaultFairQueueBounds, clock, teamShare: 1 }),
      digests: new RegionDigests({ clock, vmCount: () => 1 }),
      chooser: new PredictedLatencyChooser({ clock, random, failureDomain, spillover: options.makeAway(random, link), vmCount: () => 1 })
    }
  }
}
