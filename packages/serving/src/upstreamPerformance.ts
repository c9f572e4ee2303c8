/**
 * Performance of one upstream: the unit times of its service, corrected by this
 * upstream's answers and by the pace that it reports. Without answers the
 * corrections fade, so that an upstream that was slow is tried again.
 */

import { ServicePerformance, effectiveTokens } from './servicePerformance.js'
import type { Clock } from '@cuminvale/common'
import type { Prediction } from './prediction.js'
import type { RequestHead } from './types.js'

export interface PerformanceObservation {
  readonly prediction: Prediction
  /** Time from the send to the first answer. */
  readonly observedMilliseconds: number
  /** Pace that the answer reported, if it did; see ReportedLoad. */
  readonly pace?: number | undefined
}

/** Unit times of an upstream at this moment. */
export interface UnitTimes {
  /** Time from the end of reading to the first event of an engine, or run time of a plain request. */
  readonly fixedMilliseconds: number
  /** Time in which a token is read, without attention to a context. */
  readonly perTokenMilliseconds: number
  /** Time for which the mean of the requests that this VM sends holds a slot. */
  readonly meanSlotMilliseconds: number
  /** Ratio of the time of an output to that at the service. */
  readonly outputFactor: number
}

/** Weight of an answer; an upstream that becomes slow shows within about fifteen answers. */
const answerWeight = 0.12
/** Largest deviation of one answer that counts. */
const maximumDeviation = Math.log(3)
const correctionRange = { minimum: Math.log(0.25), maximum: Math.log(8) } as const
/** Least sum of squared shares by which a step is divided. */
const minimumShareSum = 0.4
/** Time without answers in which a correction falls to a third. */
const fadeMilliseconds = 25_000
const outputWeight = 0.08
const outputRatioRange = { minimum: 0.2, maximum: 8 } as const
const paceWeight = 0.03
const paceRange = { minimum: 0.05, maximum: 20 } as const
/** Bounds of the factor by which a reported pace changes predictions. */
const paceFactorRange = { minimum: 0.7, maximum: 2.5 } as const
/** Share of the deviation that counts if the pace is faster than usual: VMs that all preferred the fastest upstream would end its advantage. */
const fasterPaceShare = 0.5
/** Time for which derived values are kept; fading and the age of a pace change little in it. */
const refreshMilliseconds = 10

const clamp = (value: number, { minimum, maximum }: { readonly minimum: number, readonly maximum: number }): number => Math.min(maximum, Math.max(minimum, value))

export class UpstreamPerformance {
  /** Logarithms of the ratios to the unit times of the service, as of the last answer. */
  private fixedCorrection = 0
  private tokenCorrection = 0
  private expectedOutput = 0
  private observedOutput = 0
  private recordedAt: number
  private meanPace = 1
  private paceCount = 0
  private pace: { readonly value: number, readonly at: number } | undefined
  private refreshedAt = -Infinity
  private readonly current: { -readonly [Name in keyof UnitTimes]: UnitTimes[Name] } = { fixedMilliseconds: 0, perTokenMilliseconds: 0, meanSlotMilliseconds: 0, outputFactor: 1 }

  constructor (private readonly clock: Clock, readonly service: ServicePerformance = new ServicePerformance()) {
    this.recordedAt = clock.monotonic()
  }

  /** Current unit times; predictions read them together, since each look at the clock costs as much as the rest. */
  get times (): UnitTimes {
    this.refresh()
    return this.current
  }

  /** Time from the end of reading to the first event of an engine. */
  get firstEventMilliseconds (): number {
    return this.times.fixedMilliseconds
  }

  /** Run time of a request of a plain service. */
  get plainRunMilliseconds (): number {
    return this.times.fixedMilliseconds
  }

  readingMilliseconds (promptTokens: number, unreadTokens: number): number {
    return effectiveTokens(promptTokens, unreadTokens) * this.times.perTokenMilliseconds
  }

  /** Time for which a request holds its slot. */
  slotMilliseconds (tokens: RequestHead['tokens']): number {
    const { fixedMilliseconds, outputFactor } = this.times
    return fixedMilliseconds + this.service.outputMilliseconds(tokens) * outputFactor
  }

  /** How much slower the upstream is than its service, for the log. */
  get slowness (): number {
    const { fixedMilliseconds, perTokenMilliseconds } = this.times
    return Math.sqrt(fixedMilliseconds / this.service.fixedMilliseconds * perTokenMilliseconds / this.service.perTokenMilliseconds)
  }

  record ({ prediction, observedMilliseconds, pace }: PerformanceObservation): void {
    const { promptTokens, unreadTokens, workAheadMilliseconds } = prediction
    if (pace !== undefined) this.recordPace(pace)
    this.fade()
    const tokens = effectiveTokens(promptTokens, unreadTokens)
    const usualMilliseconds = observedMilliseconds / this.paceDuring(observedMilliseconds)
    // What the corrections of the upstream explain isn't attributed to the service again.
    this.service.record({ observedMilliseconds: usualMilliseconds, tokens, workAheadMilliseconds })
    const fixed = this.service.fixedMilliseconds * Math.exp(this.fixedCorrection)
    const reading = this.service.perTokenMilliseconds * Math.exp(this.tokenCorrection) * tokens
    const predicted = fixed + reading + workAheadMilliseconds * this.service.queueFactor
    const fixedShare = fixed / predicted
    const tokenShare = reading / predicted
    const deviation = clamp(Math.log(Math.max(0.1, usualMilliseconds) / predicted), { minimum: -maximumDeviation, maximum: maximumDeviation })
    const step = answerWeight * deviation / Math.max(minimumShareSum, fixedShare ** 2 + tokenShare ** 2)
    this.fixedCorrection = clamp(this.fixedCorrection + step * fixedShare, correctionRange)
    this.tokenCorrection = clamp(this.tokenCorrection + step * tokenShare, correctionRange)
    this.refreshedAt = -Infinity
  }

  /** Records a complete output and the time that it took. */
  recordOutput (tokens: RequestHead['tokens'], milliseconds: number): void {
    const expected = this.service.outputMilliseconds(tokens)
    if (tokens === undefined || expected <= 0) return
    // The mean of the times over the mean of the expected ones; a mean of ratios would exceed it, since the callers' estimates scatter.
    if (this.expectedOutput === 0) this.expectedOutput = this.observedOutput = expected
    this.expectedOutput += outputWeight * (expected - this.expectedOutput)
    this.observedOutput += outputWeight * (Math.min(milliseconds, expected * outputRatioRange.maximum) - this.observedOutput)
    this.service.recordOutput(tokens, milliseconds)
    this.refreshedAt = -Infinity
  }

  private recordPace (reported: number): void {
    const now = this.clock.monotonic()
    const value = clamp(reported, paceRange)
    this.paceCount += 1
    this.meanPace += Math.max(paceWeight, 1 / (this.paceCount + 1)) * (value - this.meanPace)
    if (this.pace !== undefined) this.service.paceCorrelation.recordPair(this.pace.value / this.meanPace - 1, value / this.meanPace - 1, now - this.pace.at)
    this.pace = { value, at: now }
  }

  /** Factor by which the pace, as far as the last figure tells, stretched the time until that figure. */
  private paceDuring (milliseconds: number): number {
    if (this.pace === undefined || this.pace.at !== this.clock.monotonic()) return 1
    return (this.pace.value / this.meanPace) ** this.service.paceCorrelation.weight(milliseconds / 2)
  }

  private refresh (): void {
    const now = this.clock.monotonic()
    if (now - this.refreshedAt < refreshMilliseconds) return
    this.refreshedAt = now
    const remaining = Math.exp((this.recordedAt - now) / fadeMilliseconds)
    const { current, service } = this
    const pacing = this.pacingAt(now)
    current.fixedMilliseconds = service.fixedMilliseconds * Math.exp(this.fixedCorrection * remaining) * pacing
    current.perTokenMilliseconds = service.perTokenMilliseconds * Math.exp(this.tokenCorrection * remaining) * pacing
    current.outputFactor = this.outputRatio ** remaining * pacing
    current.meanSlotMilliseconds = current.fixedMilliseconds + service.meanOutputMilliseconds * current.outputFactor
  }

  private pacingAt (now: number): number {
    if (this.pace === undefined) return 1
    const deviation = this.pace.value / this.meanPace - 1
    const weight = this.service.paceCorrelation.weight(now - this.pace.at)
    return clamp(1 + deviation * weight * (deviation < 0 ? fasterPaceShare : 1), paceFactorRange)
  }

  private get outputRatio (): number {
    return this.expectedOutput === 0 ? 1 : clamp(this.observedOutput / this.expectedOutput, outputRatioRange)
  }

  /** Applies the fading since the last answer. */
  private fade (): void {
    const now = this.clock.monotonic()
    const remaining = Math.exp((this.recordedAt - now) / fadeMilliseconds)
    this.fixedCorrection *= remaining
    this.tokenCorrection *= remaining
    this.observedOutput = this.expectedOutput * this.outputRatio ** remaining
    this.recordedAt = now
  }
}
