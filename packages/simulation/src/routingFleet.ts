/**
 * Several VMs that choose among the same model engines, for measurements:
 * lagging load reports, late and lost cache events, engines that fail and
 * come back cold.
 */

import {
  PriorityClass, SeededRandom, toFailureDomainId, toModelName, toRegionId, toRevision, toRouteName, toTeamId, toUpstreamId
} from '@cuminvale/common'
import { FixedBlockHasher, PrefixEventKind, RoutingChoiceKind, UpstreamTable } from '@cuminvale/routing'
import type { Configuration, Upstream } from '@cuminvale/documents'
import type { PrefixEvent, PrefixCacheIndex, RoutingRequest, UpstreamChooser } from '@cuminvale/routing'
import { BatchRunner } from './batchRunner.js'
import { exponential } from './statistics.js'
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
  /** Runners lost, from and until when. */
  readonly outage?: { readonly runners: number, readonly fromMilliseconds: number, readonly untilMilliseconds: number }
  readonly makeChooser: (clock: VirtualClock, random: SeededRandom, vm: number) => ChoosingVm
}

export interface ChoosingVm {
  readonly chooser: UpstreamChooser
  readonly prefixes?: PrefixCacheIndex
}

interface FleetVm extends ChoosingVm {
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
const reportMilliseconds = 250
const eventLagMilliseconds = 2_000
/** Every so many cache events, one is lost. */
const eventLossInterval = 50
const tickMilliseconds = 20
const failureNoticeMilliseconds = 300
const outputTokens = 40
const teamCount = 5
const documentCount = 60
const systemCharacters = 2_048
const documentCharacters = 4_096
const questionCharacters = 200
const charactersPerToken = 4
const digestRadix = 36
const digestCharacters = 10

const text = (seed: number, characters: number): string => {
  const random = new SeededRandom(seed)
  let made = ''
  while (made.length < characters) made += random.next().toString(digestRadix).slice(2, digestCharacters)
  return made.slice(0, characters)
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
  readonly firstToken: number[] = []
  readonly firstTokenAfterReturn: number[] = []
  promptTokens = 0
  cachedTokens = 0
  usefulTokens = 0
  offered = 0
  private readonly random: SeededRandom
  private readonly vms: readonly FleetVm[]
  private readonly runners: readonly Runner[]
  private readonly form = new FixedBlockHasher()
  private readonly systems = Array.from({ length: teamCount }, (_, index) => text(index + 1, systemCharacters))
  private readonly documents = Array.from({ length: documentCount }, (_, index) => text(1_000 + index, documentCharacters))
  private readonly digests = new Map<string, number>()
  private readonly digestNames: string[] = []

  constructor (private readonly options: RoutingFleetOptions) {
    this.random = new SeededRandom(options.seed)
    const upstreams = Array.from({ length: options.runnerCount }, (_, index) => upstreamOf(index, options.slots))
    this.runners = upstreams.map((upstream) => this.makeRunner(upstream.name))
    this.vms = Array.from({ length: options.vmCount }, (_, index) => {
      const table = new UpstreamTable(this.clock)
      table.configure(configurationOf(upstreams))
      return { ...options.makeChooser(this.clock, new SeededRandom(options.seed * 100 + index), index), table, waiting: [] }
    })
  }

  get computeMilliseconds (): number {
    return this.runners.reduce((sum, { engine }) => sum + engine.computeMilliseconds, 0)
  }

  run (): void {
    const { outage, runMilliseconds } = this.options
    this.arrive()
    this.every(reportMilliseconds, () => this.report())
    this.every(tickMilliseconds, () => this.vms.forEach((vm) => this.pump(vm)))
    if (outage !== undefined) {
      const lost = this.runners.slice(0, outage.runners)
      this.clock.schedule(outage.fromMilliseconds, () => lost.forEach((runner) => this.fail(runner)))
      this.clock.schedule(outage.untilMilliseconds, () => lost.forEach((runner) => this.restore(runner)))
    }
    this.clock.advance(runMilliseconds * 1.5)
  }

  private every (milliseconds: number, act: () => void): void {
    this.clock.schedule(milliseconds, () => {
      act()
      this.every(milliseconds, act)
    })
  }

  private arrive (): void {
    this.clock.schedule(exponential(this.random, 1_000 / this.options.requestsPerSecond), () => {
      if (this.clock.monotonic() > this.options.runMilliseconds) return
      this.offer()
      this.arrive()
    })
  }

  private offer (): void {
    const team = Math.floor(this.random.next() ** 2 * teamCount)
    const document = Math.floor(this.random.next() ** 2 * documentCount)
    this.offered += 1
    const prompt = `${this.systems[team] ?? ''}${this.documents[document] ?? ''}${text(this.offered + 50_000, questionCharacters)}`
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
    const blocks = this.form.hashPrefixes(prompt).map(({ digest }) => this.numberOf(digest))
    vm.waiting.push({ arrivedAt: this.clock.monotonic(), routing, blocks, vm, attempt: 0, answered: false })
    this.pump(vm)
  }

  private numberOf (digest: string): number {
    const held = this.digests.get(digest)
    if (held !== undefined) return held
    this.digests.set(digest, this.digestNames.length)
    this.digestNames.push(digest)
    return this.digestNames.length - 1
  }

  private pump (vm: FleetVm): void {
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
      this.clock.schedule(failureNoticeMilliseconds, () => this.retry(job, runner))
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
      onFirstToken: () => { if (job.attempt === attempt) this.noteFirstToken(job) },
      onEnd: () => { if (job.attempt === attempt) this.end(job, runner) }
    })
  }

  private noteFirstToken (job: Job): void {
    if (job.answered) return
    job.answered = true
    const waited = this.clock.monotonic() - job.arrivedAt
    this.firstToken.push(waited)
    if (job.arrivedAt >= (this.options.outage?.untilMilliseconds ?? Infinity)) this.firstTokenAfterReturn.push(waited)
  }

  private end (job: Job, runner: Runner): void {
    runner.jobs.delete(job)
    job.vm.table.endRequest(runner.name, true)
    this.usefulTokens += job.routing.promptTokens + outputTokens
    this.pump(job.vm)
  }

  private retry (job: Job, runner: Runner): void {
    job.vm.table.endRequest(runner.name, false)
    job.vm.waiting.unshift(job)
    this.pump(job.vm)
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
    runner.engine = this.makeEngine(runner.events)
    runner.events.push({ sequence: runner.events.length + 1, kind: PrefixEventKind.Cleared, prefix: '' })
    runner.failed = false
  }

  private makeRunner (name: UpstreamId): Runner {
    const events: PrefixEvent[] = []
    return { name, engine: this.makeEngine(events), events, jobs: new Set(), failed: false }
  }

  private makeEngine (events: PrefixEvent[]): BatchRunner {
    const publish = (kind: PrefixEvent['kind']) => (block: number): void => {
      events.push({ sequence: events.length + 1, kind, prefix: this.digestNames[block] ?? '' })
    }
    return new BatchRunner({
      clock: this.clock,
      slots: this.options.slots,
      cacheBlocks: this.options.cacheBlocks,
      onStored: publish(PrefixEventKind.Stored),
      onRemoved: publish(PrefixEventKind.Removed)
    })
  }

  /** Reads every runner now; the VMs see it after the lag. */
  private report (): void {
    for (const runner of this.runners) {
      if (runner.failed) continue
      const sample = { running: runner.engine.running, queued: runner.engine.queued, leaving: false, ageMilliseconds: this.options.reportLagMilliseconds }
      this.clock.schedule(this.options.reportLagMilliseconds, () => this.vms.forEach(({ table }) => table.report(runner.name, sample)))
      this.shareEvents(runner)
    }
  }

  private shareEvents (runner: Runner): void {
    const known = runner.events.length
    this.clock.schedule(eventLagMilliseconds, () => {
      for (const { prefixes } of this.vms) {
        const from = prefixes?.lastEventSequence(runner.name) ?? known
        const events = runner.events.slice(from, known).filter(({ sequence }) => sequence % eventLossInterval !== 0)
        prefixes?.applyEvents(runner.name, events)
      }
    })
  }
}
