/**
 * Model of a fleet whose VMs are replaced a few at a time, for tests of StopPlan
 * and AnswerDurations. Callers hold streams at VMs, keep their connections, and
 * often send the next request as soon as a stream has ended. Times are in
 * milliseconds.
 */

import { SeededRandom, toRouteName } from '@cuminvale/common'
import { AnswerDurations } from './answerDurations.js'
import { StopPlan } from './stopPlan.js'

export const RollPolicy = {
  /** All that is read is begun, and cut at the end of the grace. */
  ServeAll: 'serve-all',
  RefuseAll: 'refuse-all',
  Plan: 'plan'
} as const
export type RollPolicy = typeof RollPolicy[keyof typeof RollPolicy]

export interface RollModelOptions {
  readonly seed: number
  readonly vms: number
  /** VMs that stop at the same time. */
  readonly atOnce: number
  readonly policy: RollPolicy
  /** Batches of VMs that are replaced; all of them if undefined. */
  readonly batches?: number | undefined
  /** Spread of the logarithm of a stream's time around its prediction. */
  readonly spread?: number
  /** Time from the signal for which requests count as sent to a VM whose stop their callers could not know of. */
  readonly unknowingMilliseconds: number
}

export interface RollModelOutcome {
  readonly requests: number
  /** Streams cut by a stop that had begun before it was known, and all others. */
  readonly earlyCuts: number
  readonly lateCuts: number
  /** Refusals of streams, and of those that would have ended in time. */
  readonly refusals: number
  readonly needlessRefusals: number
  /** Requests that were served nowhere in the end. */
  readonly unserved: number
  /** Largest mean load of the VMs that take requests, relative to the load before the roll. */
  readonly peakLoad: number
  readonly rollSeconds: number
}

interface Stream {
  readonly caller: Caller
  readonly sentAt: number
  isOver: boolean
}

interface Vm {
  plan: StopPlan | undefined
  isUp: boolean
  isListening: boolean
  durations: AnswerDurations
  readonly streams: Set<Stream>
}

interface Caller {
  kept: Vm | undefined
  entries: readonly Vm[]
  entriesAt: number
}

interface Request {
  readonly predicted: number
  readonly milliseconds: number
  readonly deadlineAt: number
  readonly refusedBy: Set<Vm>
}

const callersPerVm = 8
const streamRange = { minimum: 200, maximum: 20_000 } as const
const deadlineMilliseconds = 25_000
const graceMilliseconds = 8_000
const reserveMilliseconds = 800
const listenMilliseconds = 2_500
const entriesLifetimeMilliseconds = 2_000
const connectMilliseconds = 5
const retryMilliseconds = 50
const restartMilliseconds = 1_500
const checkMilliseconds = 50
const warmUpMilliseconds = 30_000
/** Share of the streams after which the caller sends the next request at once. */
const atOnceShare = 0.7
const meanPauseMilliseconds = 1_000
const defaultSpread = 0.3
const route = { name: toRouteName('streams'), kind: 'stream', objectiveMilliseconds: 500 } as const

export const playRollModel = (options: RollModelOptions): RollModelOutcome => new RollModel(options).play()

class RollModel {
  private readonly random: SeededRandom
  private readonly events: Array<Array<() => void> | undefined> = []
  private readonly vms: readonly Vm[]
  private now = 0
  private rolledAt: number | undefined
  private calmLoad = 0
  private calmSamples = 0
  private readonly counts = { requests: 0, earlyCuts: 0, lateCuts: 0, refusals: 0, needlessRefusals: 0, unserved: 0, peakLoad: 0 }

  constructor (private readonly options: RollModelOptions) {
    this.random = new SeededRandom(options.seed)
    this.vms = Array.from({ length: options.vms }, () => ({ plan: undefined, isUp: true, isListening: true, durations: new AnswerDurations(), streams: new Set<Stream>() }))
  }

  play (): RollModelOutcome {
    for (let index = 0; index < this.vms.length * callersPerVm; index += 1) {
      const caller: Caller = { kept: undefined, entries: [], entriesAt: -Infinity }
      this.in(this.random.next() * meanPauseMilliseconds, () => this.send(caller))
    }
    this.in(warmUpMilliseconds, () => this.rollBatch(0))
    this.sampleLoad()
    while (this.rolledAt === undefined) {
      for (const run of this.events[this.now] ?? []) run()
      this.events[this.now] = undefined
      this.now += 1
    }
    return { ...this.counts, rollSeconds: (this.rolledAt - warmUpMilliseconds) / 1_000 }
  }

  private in (milliseconds: number, run: () => void): void {
    const at = this.now + Math.max(1, Math.round(milliseconds))
    const bucket = this.events[at]
    if (bucket === undefined) this.events[at] = [run]
    else bucket.push(run)
  }

  private send (caller: Caller): void {
    this.counts.requests += 1
    const { minimum, maximum } = streamRange
    const predicted = minimum * (maximum / minimum) ** this.random.next()
    const normal = Math.sqrt(-2 * Math.log(1 - this.random.next())) * Math.cos(2 * Math.PI * this.random.next())
    const milliseconds = Math.min(maximum, Math.max(minimum, predicted * Math.exp((this.options.spread ?? defaultSpread) * normal)))
    this.place(caller, { predicted, milliseconds, deadlineAt: this.now + deadlineMilliseconds, refusedBy: new Set() })
  }

  private place (caller: Caller, request: Request): void {
    const { kept } = caller
    const vm = kept ?? this.chooseEntry(caller, request)
    if (vm === undefined || this.now >= request.deadlineAt) {
      this.counts.unserved += 1
      return this.in(meanPauseMilliseconds, () => this.send(caller))
    }
    if (kept === undefined && (!vm.isUp || !vm.isListening)) {
      request.refusedBy.add(vm)
      return this.in(connectMilliseconds, () => this.place(caller, request))
    }
    if (this.begins(vm, request)) return this.begin(caller, vm, request)
    this.counts.refusals += 1
    if (vm.plan !== undefined && this.now + request.milliseconds <= vm.plan.endsAt) this.counts.needlessRefusals += 1
    caller.kept = undefined
    request.refusedBy.add(vm)
    this.in(retryMilliseconds + connectMilliseconds, () => this.place(caller, request))
  }

  private begins ({ plan, durations }: Vm, { predicted, deadlineAt }: Request): boolean {
    const { policy } = this.options
    if (plan === undefined || policy === RollPolicy.ServeAll) return true
    return policy === RollPolicy.Plan && plan.serves({ now: this.now, deadlineAt, boundMilliseconds: durations.boundMilliseconds(route, predicted) })
  }

  private chooseEntry (caller: Caller, { refusedBy }: Request): Vm | undefined {
    if (this.now - caller.entriesAt > entriesLifetimeMilliseconds) {
      caller.entriesAt = this.now
      caller.entries = this.vms.filter(({ isUp, plan }) => isUp && plan === undefined)
    }
    const choices = caller.entries.filter((vm) => !refusedBy.has(vm))
    return choices[Math.floor(this.random.next() * choices.length)]
  }

  private begin (caller: Caller, vm: Vm, { predicted, milliseconds }: Request): void {
    const stream: Stream = { caller, sentAt: this.now, isOver: false }
    vm.streams.add(stream)
    // The head of an answer tells whether the connection is kept; it comes soon after the request.
    caller.kept = vm.plan === undefined ? vm : undefined
    this.in(milliseconds, () => {
      if (stream.isOver) return
      stream.isOver = true
      vm.streams.delete(stream)
      vm.durations.record(route, predicted, milliseconds)
      this.proceed(caller)
    })
  }

  private proceed (caller: Caller): void {
    if (this.random.next() < atOnceShare) return this.send(caller)
    this.in(-meanPauseMilliseconds * Math.log(1 - this.random.next()), () => {
      // Idle connections of a VM that stops are closed.
      if (caller.kept?.plan !== undefined || caller.kept?.isUp === false) caller.kept = undefined
      this.send(caller)
    })
  }

  private rollBatch (first: number): void {
    const { atOnce, batches = Infinity } = this.options
    const batch = this.vms.slice(first, first + atOnce)
    if (batch.length === 0 || first >= atOnce * batches) {
      this.rolledAt = this.now
      return
    }
    let left = batch.length
    for (const vm of batch) this.stop(vm, () => { if (--left === 0) this.rollBatch(first + atOnce) })
  }

  private stop (vm: Vm, onReady: () => void): void {
    const plan = vm.plan = new StopPlan({ signalledAt: this.now, graceMilliseconds, reserveMilliseconds })
    this.in(listenMilliseconds, () => { vm.isListening = false })
    const check = (): void => {
      if (vm.isListening || (vm.streams.size > 0 && this.now < plan.endsAt)) return this.in(checkMilliseconds, check)
      for (const stream of vm.streams) this.cut(stream, plan)
      vm.streams.clear()
      vm.isUp = false
      this.in(restartMilliseconds, () => {
        Object.assign(vm, { plan: undefined, isUp: true, isListening: true, durations: new AnswerDurations() })
        onReady()
      })
    }
    this.in(checkMilliseconds, check)
  }

  private cut (stream: Stream, { signalledAt }: StopPlan): void {
    stream.isOver = true
    stream.caller.kept = undefined
    if (stream.sentAt - signalledAt <= this.options.unknowingMilliseconds) this.counts.earlyCuts += 1
    else this.counts.lateCuts += 1
    this.proceed(stream.caller)
  }

  private sampleLoad (): void {
    const taking = this.vms.filter(({ isUp, plan }) => isUp && plan === undefined)
    const load = taking.reduce((sum, { streams }) => sum + streams.size, 0) / Math.max(1, taking.length)
    if (this.now >= warmUpMilliseconds) {
      this.counts.peakLoad = Math.max(this.counts.peakLoad, load / (this.calmLoad / this.calmSamples))
    } else if (this.now >= warmUpMilliseconds / 2) {
      this.calmLoad += load
      this.calmSamples += 1
    }
    this.in(checkMilliseconds * 4, () => this.sampleLoad())
  }
}
