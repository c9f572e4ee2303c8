/**
 * A small model of a region for tests of placement: callers with prompts that
 * share parts, VMs that choose upstreams by reports of a certain age, and
 * engines that read prompts in chunks between the tokens of other requests and
 * keep what they have read. Times are in milliseconds of a manual clock.
 */

import { ManualClock, SeededRandom } from '@cuminvale/common'
import { PlacementChooser } from './placement.js'
import { RegionForecasts } from './regionForecasts.js'
import { UpstreamTable } from './upstreamTable.js'
import { admitted, announced, engineService, head, north, regionOf, route } from './testSupport.js'
import type { Random, UpstreamId } from '@cuminvale/common'
import type { Prediction } from './prediction.js'
import type { InFlightLoad, UpstreamState } from './upstreamState.js'
import type { PromptPart, PromptPartId, RequestTokens, Service } from './types.js'

/** One kind of request. Each shared part is one of a number of parts of that length. */
export interface ModelledRequests {
  readonly perSecond: number
  readonly sharedParts: ReadonlyArray<{ readonly tokens: number, readonly count: number }>
  readonly ownTokens: number
  readonly outputTokens: number
  readonly objectiveMilliseconds: number
}

export interface PlacementModelOptions {
  readonly vms: number
  readonly upstreams: number
  readonly slots: number
  /** Requests that may wait at an engine beside those that run. */
  readonly queue: number
  readonly memoryTokens: number
  readonly stepMilliseconds: number
  readonly stepMillisecondsPerRequest: number
  readonly prefillTokensPerMillisecond: number
  readonly chunkTokens: number
  readonly tokensPerEvent: number
  /** Time between two reports of a VM's own work to the others. */
  readonly reportIntervalMilliseconds: number
  readonly requests: readonly ModelledRequests[]
  readonly seconds: number
  readonly seed: number
}

export interface PlacementOutcome {
  /** Share of the answers that met their objective, of all requests. */
  readonly onTime: number
  readonly rejected: number
  /** The same shares by kind of request. */
  readonly kinds: ReadonlyArray<{ readonly onTime: number, readonly rejected: number, readonly errorMedian: number, readonly errorP90: number }>
  /** Share of the prompt tokens that were shared and read again. */
  readonly reread: number
  /** Requests at the busiest engine, against the mean. */
  readonly imbalance: number
}

interface ModelRequest {
  readonly kind: ModelledRequests
  readonly parts: readonly PromptPart[]
  readonly promptTokens: number
  readonly sentAt: number
  readonly isCounted: boolean
  readonly upstream: UpstreamState
  readonly pendingTokens: number
  readonly prediction: Prediction
  readonly tokens: RequestTokens | undefined
  unreadTokens: number
  firstEventAt: number | undefined
  producedTokens: number
}

interface ModelVm {
  readonly table: UpstreamTable
  readonly placement: PlacementChooser
  /** Long prompt parts sent since the last report, by upstream. */
  readonly sentParts: Map<string, PromptPartId[]>
}

const warmUpSeconds = 4
/** As in the gateway, shorter parts are not reported. */
const minimumReportedTokens = 500

class ModelEngine {
  readonly waiting: ModelRequest[] = []
  readonly running: ModelRequest[] = []
  stepEndsAt = 0
  arrivals = 0
  rereadTokens = 0
  promptTokens = 0
  /** Least recently used part first. */
  private readonly cached = new Map<string, number>()
  private readonly everRead: Set<string>

  constructor (private readonly options: PlacementModelOptions, everRead: Set<string>) {
    this.everRead = everRead
  }

  /** Takes a request, or rejects it if too many wait. */
  accept (request: ModelRequest): boolean {
    this.arrivals += 1
    if (this.waiting.length >= this.options.queue) return false
    this.waiting.push(request)
    return true
  }

  /** Runs a step that begins now: some prompt tokens are read, and each request that has been read produces a token. */
  step (now: number): readonly ModelRequest[] {
    const { slots, stepMilliseconds, stepMillisecondsPerRequest, prefillTokensPerMillisecond, chunkTokens } = this.options
    while (this.running.length < slots) {
      const next = this.waiting.shift()
      if (next === undefined) break
      next.unreadTokens = this.read(next)
      this.running.push(next)
    }
    if (this.running.length === 0) return []
    let chunk = chunkTokens
    for (const request of this.running) {
      const tokens = Math.min(chunk, request.unreadTokens)
      request.unreadTokens -= tokens
      chunk -= tokens
    }
    const produced = this.running.filter(({ unreadTokens }) => unreadTokens === 0)
    produced.forEach((request) => { request.producedTokens += 1 })
    this.stepEndsAt = now + Math.max(stepMilliseconds + stepMillisecondsPerRequest * produced.length, (chunkTokens - chunk) / prefillTokensPerMillisecond)
    return produced
  }

  remove (request: ModelRequest): void {
    this.running.splice(this.running.indexOf(request), 1)
  }

  /** Tokens of the prompt that are not cached; they are cached from then on. */
  private read ({ parts, promptTokens }: ModelRequest): number {
    let unread = promptTokens
    let isCached = true
    parts.forEach(({ id, tokens }, index) => {
      isCached &&= this.cached.has(id)
      if (isCached) unread -= tokens
      else if (index < parts.length - 1 && this.everRead.has(id)) this.rereadTokens += tokens
      this.cached.delete(id)
      this.cached.set(id, tokens)
      this.everRead.add(id)
    })
    this.promptTokens += promptTokens
    let kept = [...this.cached.values()].reduce((sum, tokens) => sum + tokens, 0)
    for (const [id, tokens] of this.cached) {
      if (kept <= this.options.memoryTokens) break
      this.cached.delete(id)
      kept -= tokens
    }
    return Math.max(1, unread)
  }
}

/** Plays the model and returns what callers saw after a warm-up. */
export const playPlacementModel = (options: PlacementModelOptions): PlacementOutcome => {
  const clock = new ManualClock()
  const random = new SeededRandom(options.seed)
  const names = Array.from({ length: options.upstreams }, (_, index) => `i-${index}`)
  const everRead = new Set<string>()
  const engines = new Map(names.map((name) => [name, new ModelEngine(options, everRead)] as const))
  const vms = Array.from({ length: options.vms }, () => createVm(options, clock, random, names))
  const counts = new Map(options.requests.map((kind) => [kind, { asked: 0, onTime: 0, rejected: 0, errors: [] as number[] }]))
  const endMilliseconds = options.seconds * 1_000
  const warmUpMilliseconds = warmUpSeconds * 1_000
  for (let now = 0; now < endMilliseconds; now += 1) {
    clock.advance(1)
    if (now % options.reportIntervalMilliseconds === 0) exchangeReports(vms, names)
    for (const engine of engines.values()) {
      while (engine.stepEndsAt <= now && engine.running.length + engine.waiting.length > 0) {
        for (const request of engine.step(Math.max(now, engine.stepEndsAt))) {
          if (request.producedTokens === options.tokensPerEvent) {
            recordFirstEvent(request, now, engine, options.slots)
            request.firstEventAt = now
            const count = counts.get(request.kind)
            if (request.isCounted) count?.errors.push(errorOf(now - request.sentAt, request.prediction.milliseconds))
            if (count !== undefined && request.isCounted && now - request.sentAt <= request.kind.objectiveMilliseconds) count.onTime += 1
          }
          if (request.producedTokens >= request.kind.outputTokens) {
            engine.remove(request)
            request.upstream.ownInFlight -= 1
            if (request.firstEventAt !== undefined) request.upstream.performance.recordOutput(request.tokens, now - request.firstEventAt)
          }
        }
      }
    }
    for (const kind of options.requests) {
      for (let expected = kind.perSecond / 1_000; expected > 0; expected -= 1) {
        if (random.next() >= expected) continue
        const isCounted = now >= warmUpMilliseconds && now < endMilliseconds - 1_000
        const count = counts.get(kind)
        const isSent = send(kind, { vms, engines, random, now, isCounted })
        if (count === undefined || !isCounted) continue
        count.asked += 1
        if (!isSent) count.rejected += 1
      }
    }
  }
  const arrivals = [...engines.values()].map((engine) => engine.arrivals)
  const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0)
  const asked = sum([...counts.values()].map((count) => count.asked))
  return {
    onTime: sum([...counts.values()].map(({ onTime }) => onTime)) / asked,
    rejected: sum([...counts.values()].map(({ rejected }) => rejected)) / asked,
    kinds: [...counts.values()].map((count) => ({ onTime: count.onTime / count.asked, rejected: count.rejected / count.asked, errorMedian: percentile(count.errors, 0.5), errorP90: percentile(count.errors, 0.9) })),
    reread: sum([...engines.values()].map((engine) => engine.rereadTokens)) / sum([...engines.values()].map((engine) => engine.promptTokens)),
    imbalance: Math.max(...arrivals) / (sum(arrivals) / arrivals.length)
  }
}

/** The larger of observed and predicted time, divided by the smaller, minus 1. */
const errorOf = (observed: number, predicted: number): number => Math.max(observed / predicted, predicted / observed) - 1

const percentile = (values: readonly number[], share: number): number => [...values].sort((first, second) => first - second)[Math.floor(values.length * share)] ?? 0

const createVm = (options: PlacementModelOptions, clock: ManualClock, random: Random, names: readonly string[]): ModelVm => {
  const service: Service = { ...engineService, coldRequestsPerSecond: 0, slots: options.slots, memoryTokens: options.memoryTokens }
  const table = new UpstreamTable({
    clock, regionOf, findService: () => service, neighbourReports: { neighbourCount: options.vms - 1, intervalMilliseconds: options.reportIntervalMilliseconds }
  })
  table.sync(names.map((name) => announced(name, { slots: options.slots })), new Set())
  const placement = new PlacementChooser({
    clock,
    random,
    region: north,
    upstreams: table,
    forecasts: new RegionForecasts(clock),
    softwareVersionOf: ({ announced: { softwareVersion } }) => softwareVersion,
    isReachedByNeighbours: () => false,
    brittleSharing: () => ({ count: 1, draw: 0, partOf: (total) => total }),
    findService: () => service,
    reachableRegions: () => [],
    allowsStart: (_service, { isCold, sends }) => !isCold || sends.allows(1),
    connectionLimit: () => Infinity,
    roundTripMilliseconds: () => 0
  })
  return { table, placement, sentParts: new Map() }
}

/** Each VM learns the sum of the others' work, and which parts they have sent where. */
const exchangeReports = (vms: readonly ModelVm[], names: readonly string[]): void => {
  for (const name of names) {
    const states = vms.map(({ table }) => table.find(name as UpstreamId)).filter((state) => state !== undefined)
    const total: InFlightLoad = {
      inFlight: states.reduce((sum, { ownInFlight }) => sum + ownInFlight, 0),
      pendingTokens: states.reduce((sum, { ownPendingTokens }) => sum + ownPendingTokens, 0)
    }
    const parts = new Set(vms.flatMap(({ sentParts }) => sentParts.get(name) ?? []))
    for (const state of states) {
      state.neighbourLoad = { inFlight: total.inFlight - state.ownInFlight, pendingTokens: total.pendingTokens - state.ownPendingTokens }
      state.recordParts([...parts])
    }
  }
  for (const { sentParts } of vms) sentParts.clear()
}

const send = (kind: ModelledRequests, { vms, engines, random, now, isCounted }: {
  vms: readonly ModelVm[], engines: ReadonlyMap<string, ModelEngine>, random: Random, now: number, isCounted: boolean
}): boolean => {
  const vm = vms[Math.floor(random.next() * vms.length)]
  if (vm === undefined) return false
  const shared = kind.sharedParts.map(({ tokens, count }, level) => ({ id: `${level}-${tokens}-${Math.floor(random.next() * count)}`, tokens }))
  const parts = [...shared, { id: `own-${now}-${random.next()}`, tokens: kind.ownTokens }] as unknown as readonly PromptPart[]
  const promptTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0)
  const request = admitted({
    head: head({ tokens: { prompt: promptTokens, output: kind.outputTokens }, parts }), route: route({ objectiveMilliseconds: kind.objectiveMilliseconds })
  })
  const placement = vm.placement.choose({
    request, remainingMilliseconds: 10_000, objectiveRemainingMilliseconds: kind.objectiveMilliseconds, mayForward: true, excludedUpstreams: new Set(), excludedRegions: new Set()
  })
  if (placement.kind !== 'run') return false
  const { upstream, prediction } = placement
  const modelled: ModelRequest = {
    kind, parts, promptTokens, sentAt: now, isCounted, upstream, pendingTokens: prediction.unreadTokens, prediction, tokens: request.head.tokens, unreadTokens: promptTokens, firstEventAt: undefined, producedTokens: 0
  }
  upstream.recordSend(prediction.unreadTokens)
  upstream.performance.service.recordSend(request.head.tokens)
  upstream.recordParts(parts.map(({ id }) => id))
  const { id } = upstream.announced
  vm.sentParts.set(id, [...vm.sentParts.get(id) ?? [], ...parts.filter(({ tokens }) => tokens >= minimumReportedTokens).map((part) => part.id)])
  if (engines.get(id)?.accept(modelled) !== true) return false
  upstream.ownInFlight += 1
  upstream.ownPendingTokens += prediction.unreadTokens
  return true
}

const recordFirstEvent = ({ upstream, pendingTokens, prediction, sentAt }: ModelRequest, now: number, engine: ModelEngine, slots: number): void => {
  upstream.ownPendingTokens -= pendingTokens
  upstream.performance.record({ prediction, observedMilliseconds: now - sentAt })
  upstream.recordReportedLoad({ running: engine.running.length, waiting: engine.waiting.length, slots })
}
