/**
 * Learns by route how long requests take until their answers have ended, as a
 * high quantile of the ratio to the predicted time. The ratio makes up for what
 * predictions leave out, such as streams whose requests name no output tokens.
 */

import { RequestKind } from './types.js'
import type { Route } from './types.js'

type DurationRoute = Pick<Route, 'name' | 'kind' | 'objectiveMilliseconds'>

/** Answers of a route from which on the quantile is used. */
const settledAnswers = 40
/** Share of the answers that may take longer than the estimate. */
const exceededShare = 0.005
/** Factor for the error of the estimate itself, which few answers determine. */
const estimateAllowance = 1.1
/** Step of the logarithm of the ratio by an answer that took longer. */
const stepSize = 0.3
/** Multiple of the objective within which a request whose route has had few answers is expected to end, unless it is predicted to take longer or is a stream: the objective of a stream is the time to its first event. */
const unseenObjectives = 4
/** Routes for which durations are kept; the least recently used one is dropped first. */
const maximumRoutes = 1_024

interface RouteRatio {
  answers: number
  /** Logarithm of the largest ratio of the first answers, and of the quantile after them. */
  logRatio: number
}

export class AnswerDurations {
  private readonly ratios = new Map<DurationRoute['name'], RouteRatio>()

  /** Records a complete answer. */
  record ({ name }: DurationRoute, predictedMilliseconds: number, observedMilliseconds: number): void {
    const logRatio = Math.log(Math.max(1, observedMilliseconds) / Math.max(1, predictedMilliseconds))
    const known = this.ratios.get(name)
    if (known === undefined) return this.add(name, { answers: 1, logRatio })
    // The map is in the order of use.
    this.ratios.delete(name)
    this.ratios.set(name, known)
    known.answers += 1
    if (known.answers <= settledAnswers) known.logRatio = Math.max(known.logRatio, logRatio)
    else known.logRatio += stepSize * (logRatio > known.logRatio ? 1 - exceededShare : -exceededShare)
  }

  /** Time within which nearly all requests of a route end that were predicted to take a time; Infinity if that isn't known. */
  boundMilliseconds ({ name, kind, objectiveMilliseconds }: DurationRoute, predictedMilliseconds: number): number {
    const known = this.ratios.get(name)
    const seenMilliseconds = known === undefined ? 0 : Math.max(1, predictedMilliseconds) * Math.exp(known.logRatio) * estimateAllowance
    if (known !== undefined && known.answers >= settledAnswers) return seenMilliseconds
    return kind === RequestKind.Stream ? Infinity : Math.max(predictedMilliseconds, seenMilliseconds, objectiveMilliseconds * unseenObjectives)
  }

  private add (name: DurationRoute['name'], ratio: RouteRatio): void {
    const [oldest] = this.ratios.keys()
    if (this.ratios.size >= maximumRoutes && oldest !== undefined) this.ratios.delete(oldest)
    this.ratios.set(name, ratio)
  }
}
