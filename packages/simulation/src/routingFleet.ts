/**
 * Several VMs that choose among the same model engines, for measurements. Load
 * reports lag, cache events arrive late or are lost, and engines fail and return
 * with empty caches.
 */

import {
  PriorityClass, SeededRandom, toFailureDomainId, toModelName, toRegionId, toRevision, toRouteName, toTeamId, toUpstreamId
} from '@cuminvale/common'
import { FixedBlockHasher, PrefixEventKind, RoutingChoiceKind, UpstreamTable } from '@cuminvale/routing'
import type { Configuration, Upstream } from '@cuminvale/documents'
import type { PrefixEvent, PrefixCacheIndex, RoutingRequest, UpstreamChooser } from '@cuminvale/routing'
import { BatchRunner } from './batchRunner.js'
import { exponentialVariate } from './statistics.js'
import { VirtualClock } from './virtualClock.js'

export interface RoutingFleetOptions {
  readonly seed: number
  readonly vmCount: number
  readonly runnerCount: number
  readonly slots: number
  readonly cacheBlocks: number
  readonly requestsPerSecond: number
  readonly reportLagMilliseconds: number
  readonly runMilliseconds: number
  /** Number of runners that fail, and the times at which they fail and return. */
  readonly outage?: { readonly runners: number, readonly fromMilliseconds: number, readonly untilMilliseconds: number }
  readonly createRouting: (clock: VirtualClock, random: SeededRandom, vm: number) => VmRouting
}

export interface VmRouting {
  readonly chooser: UpstreamChooser
  readonly prefixCacheIndex?: PrefixCacheIndex
}

interface FleetVm extends VmRouting {
  readonly table: UpstreamTable
  readonly waiting: Job[]
}

interface Job {
  readonly arrivedAt: number
  readonly routing: RoutingRequest
  readonly blocks: readonly number[]
  readonly vm: FleetVm
  attempt: number
  answered: boolean
}

interface Runner {
  readonly name: UpstreamId
  engine: BatchRunner
  readonly events: PrefixEvent[]
  readonly jobs: Set<Job>
  failed: boolean
}

type UpstreamId = ReturnType<typeof toUpstreamId>

const region = toRegionId('local')
const route = toRouteName('drafting')
const model = toModelName('writer')
const reportIntervalMilliseconds = 250
const eventLagMilliseconds = 2_000
/** One cache event out of this many is lost. */
const eventLossInterval = 50
const tickMilliseconds = 20
const failureDetectionMilliseconds = 300
const outputTokens = 40
const teamCount = 5
const documentCount = 60
const systemCharacters = 2_048
const documentCharacters = 4_096
const questionCharacters = 200
const charactersPerToken = 4
const textRadix = 36
const textChunkEnd = 10

const randomText = (seed: number, characters: number): string => {
  const random = new SeededRandom(seed)
  let generated = ''
  while (generated.length < characters) generated += random.next().toString(textRadix).slice(2, textChunkEnd)
  return generated.slice(0, characters)
}

const upstreamOf = (index: number, slots: number): Upstream => ({
  name: toUpstreamId(`u-${index}`),
  region,
  failureDomain: toFailureDomainId(`fd-${index % 2}`),
  address: `http://127.0.0.1:${index + 1}`,
  routes: [route],
  models: [model],
  slots,
  checksFencing: false,
  leaving: false
})

const configurationOf = (upstreams: readonly Upstream[]): Configuration => ({
  revision: toRevision(1),
  teams: new Map(),
  plans: new Map([]),
  keys: new Map(),
  routes: new Map(),
  upstreams: new Map(upstreams.map((upstream) => [upstream.name, upstream]))
})

export class RoutingFleet {
  readonly clock = new VirtualClock()
  readonly firstTokenMilliseconds: number[] = []
  readonly firstTokenAfterRestoreMilliseconds: number[] = []
  promptTokens = 0
  cachedTokens = 0
  usefulTokens = 0
  offered = 0
  private readonly random: SeededRandom
  private readonly vms: readonly FleetVm[]
  private readonly runners: readonly Runner[]
  private readonly hasher = new FixedBlockHasher()
  private readonly systemPrompts = Array.from({ length: teamCount }, (_, index) => randomText(index + 1, systemCharacters))
  private readonly documents = Array.from({ length: documentCount }, (_, index) => randomText(1_000 + index, documentCharacters))
  private readonly blockNumbers = new Map<string, number>()
  private readonly blockDigests: string[] = []

  constructor (private readonly options: RoutingFleetOptions) {
    this.random = new SeededRandom(options.seed)
    const upstreams = Array.from({ length: options.runnerCount }, (_, index) => upstreamOf(index, options.slots))
    this.runners = upstreams.map((upstream) => this.createRunner(upstream.name))
    this.vms = Array.from({ length: options.vmCount }, (_, index) => {
      const table = new UpstreamTable(this.clock)
      table.configure(configurationOf(upstreams))
      return { ...options.createRouting(this.clock, new SeededRandom(options.seed * 100 + index), index), table, waiting: [] }
    })
  }

  get computeMilliseconds (): number {
    return this.runners.reduce((sum, { engine }) => sum + engine.computeMilliseconds, 0)
  }

  run (): void {
    const { outage, runMilliseconds } = this.options
    this.scheduleArrival()
    this.runEvery(reportIntervalMilliseconds, () => this.report())
    this.runEvery(tickMilliseconds, () => this.vms.forEach((vm) => this.sendWaiting(vm)))
    if (outage !== undefined) {
      const failing = this.runners.slice(0, outage.runners)
      this.clock.schedule(outage.fromMilliseconds, () => failing.forEach((runner) => this.fail(runner)))
      this.clock.schedule(outage.untilMilliseconds, () => failing.forEach((runner) => this.restore(runner)))
    }
    this.clock.advance(runMilliseconds * 1.5)
  }

  private runEvery (milliseconds: number, task: () => void): void {
    this.clock.schedule(milliseconds, () => {
      task()
      this.runEvery(milliseconds, task)
    })
  }

  private scheduleArrival (): void {
    this.clock.schedule(exponentialVariate(this.random, 1_000 / this.options.requestsPerSecond), () => {
      if (this.clock.monotonic() > this.options.runMilliseconds) return
      this.submitRequest()
      this.scheduleArrival()
    })
  }

  private submitRequest (): void {
    const team = Math.floor(this.random.next() ** 2 * teamCount)
    const document = Math.floor(this.random.next() ** 2 * documentCount)
    this.offered += 1
    const prompt = `${this.systemPrompts[team] ?? ''}${this.documents[document] ?? ''}${randomText(this.offered + 50_000, questionCharacters)}`
    const vm = this.vms[Math.floor(this.random.next() * this.vms.length)] as FleetVm
    const routing: RoutingRequest = {
      team: toTeamId(`team-${team}`),
      route,
      model,
      allowedRegions: [region],
      mayCrossBorder: false,
      excluded: new Set(),
      promptTokens: prompt.length / charactersPerToken,
      outputTokens,
      prompt
    }
    const blocks = this.hasher.hashPrefixes(prompt).map(({ digest }) => this.blockNumberOf(digest))
    vm.waiting.push({ arrivedAt: this.clock.monotonic(), routing, blocks, vm, attempt: 0, answered: false })
    this.sendWaiting(vm)
  }

  private blockNumberOf (digest: string): number {
    const existing = this.blockNumbers.get(digest)
    if (existing !== undefined) return existing
    this.blockNumbers.set(digest, this.blockDigests.length)
    this.blockDigests.push(digest)
    return this.blockDigests.length - 1
  }

  private sendWaiting (vm: FleetVm): void {
    for (let job = vm.waiting[0]; job !== undefined; job = vm.waiting[0]) {
      const upstreams = vm.table.servingViews(region, job.routing)
      const choice = vm.chooser.choose(job.routing, { region, upstreams, remoteRegions: [], localWaitMilliseconds: 0 })
      if (choice.kind !== RoutingChoiceKind.Run) return
      vm.waiting.shift()
      this.send(job, this.runners.find(({ name }) => name === choice.upstream) as Runner)
    }
  }

  private send (job: Job, runner: Runner): void {
    job.vm.table.beginRequest(runner.name)
    if (runner.failed) {
      this.clock.schedule(failureDetectionMilliseconds, () => this.retry(job, runner))
      return
    }
    job.vm.chooser.sent?.(job.routing, runner.name)
    job.attempt += 1
    const { attempt } = job
    runner.jobs.add(job)
    this.promptTokens += job.routing.promptTokens
    this.cachedTokens += runner.engine.cachedTokens(job.blocks)
    runner.engine.submit({
      priority: PriorityClass.Interactive,
      promptTokens: job.routing.promptTokens,
      outputTokens,
      blocks: job.blocks,
      onFirstToken: () => { if (job.attempt === attempt) this.recordFirstToken(job) },
      onEnd: () => { if (job.attempt === attempt) this.end(job, runner) }
    })
  }

  private recordFirstToken (job: Job): void {
    if (job.answered) return
    job.answered = true
    const waitedMilliseconds = this.clock.monotonic() - job.arrivedAt
    this.firstTokenMilliseconds.push(waitedMilliseconds)
    if (job.arrivedAt >= (this.options.outage?.untilMilliseconds ?? Infinity)) this.firstTokenAfterRestoreMilliseconds.push(waitedMilliseconds)
  }

  private end (job: Job, runner: Runner): void {
    runner.jobs.delete(job)
    job.vm.table.endRequest(runner.name, true)
    this.usefulTokens += job.routing.promptTokens + outputTokens
    this.sendWaiting(job.vm)
  }

  private retry (job: Job, runner: Runner): void {
    job.vm.table.endRequest(runner.name, false)
    job.vm.waiting.unshift(job)
    this.sendWaiting(job.vm)
  }

  private fail (runner: Runner): void {
    runner.failed = true
    for (const job of runner.jobs) {
      job.attempt += 1
      this.retry(job, runner)
    }
    runner.jobs.clear()
  }

  private restore (runner: Runner): void {
    runner.engine = this.createEngine(runner.events)
    runner.events.push({ sequence: runner.events.length + 1, kind: PrefixEventKind.Cleared, prefix: '' })
    runner.failed = false
  }

  private createRunner (name: UpstreamId): Runner {
    const events: PrefixEvent[] = []
    return { name, engine: this.createEngine(events), events, jobs: new Set(), failed: false }
  }

  private createEngine (events: PrefixEvent[]): BatchRunner {
    const publish = (kind: PrefixEvent['kind']) => (block: number): void => {
      events.push({ sequence: events.length + 1, kind, prefix: this.blockDigests[block] ?? '' })
    }
    return new BatchRunner({
      clock: this.clock,
      slots: this.options.slots,
      cacheBlocks: this.options.cacheBlocks,
      onStored: publish(PrefixEventKind.Stored),
      onRemoved: publish(PrefixEventKind.Removed)
    })
  }

  /** Samples the load of every runner; the VMs receive the sample after the lag. */
  private report (): void {
    for (const runner of this.runners) {
      if (runner.failed) continue
      const sample = { running: runner.engine.running, queued: runner.engine.queued, leaving: false, ageMilliseconds: this.options.reportLagMilliseconds }
      this.clock.schedule(this.options.reportLagMilliseconds, () => this.vms.forEach(({ table }) => table.report(runner.name, sample)))
      this.deliverCacheEvents(runner)
    }
  }

  private deliverCacheEvents (runner: Runner): void {
    const publishedCount = runner.events.length
    this.clock.schedule(eventLagMilliseconds, () => {
      for (const { prefixCacheIndex: prefixes } of this.vms) {
        const firstIndex = prefixes?.lastEventSequence(runner.name) ?? publishedCount
        const events = runner.events.slice(firstIndex, publishedCount).filter(({ sequence }) => sequence % eventLossInterval !== 0)
        prefixes?.applyEvents(runner.name, events)
      }
    })
  }
}
