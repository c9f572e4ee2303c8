/**
 * Performance of the upstreams of one service, learned from all their answers
 * to this VM: the prior of each upstream. Unit times are kept as logarithms,
 * since observations scatter by factors.
 */

import { PaceCorrelation } from './paceCorrelation.js'
import type { RequestHead, ServiceName } from './types.js'

/** Unit times of a service, in milliseconds, with the number of answers that they rest on. */
export interface LearnedPerformance {
  readonly answers: number
  readonly fixedMilliseconds: number
  readonly perTokenMilliseconds: number
  readonly perHintedTokenMilliseconds: number
  readonly perMaximumTokenMilliseconds: number
}

/** Service and figures of LearnedPerformance in their order, for a message. */
export type PackedPerformance = readonly [ServiceName, number, number, number, number, number]

/** What an answer took, by parts. The parts are those of the prediction; tokens are effective tokens. */
export interface TimeParts {
  readonly observedMilliseconds: number
  /** Effective tokens of the request that the upstream read. */
  readonly tokens: number
  /** Estimated work ahead of the request: the time that its wait would be if the estimate were right. */
  readonly workAheadMilliseconds: number
}

/**
 * Context tokens at which attention costs as much as the rest of reading a
 * token. It follows from the size of a model; what is off is absorbed by the
 * learned time per token.
 */
const attentionContextTokens = 44_000
/** Used until answers come; they have no weight against the first answer. */
export const neutralPerformance: LearnedPerformance = {
  answers: 0, fixedMilliseconds: 40, perTokenMilliseconds: 0.015, perHintedTokenMilliseconds: 10, perMaximumTokenMilliseconds: 5
}
const unitTimeRanges = {
  fixed: { minimum: 0.2, maximum: 5_000 },
  perToken: { minimum: 1e-4, maximum: 5 },
  perOutputToken: { minimum: 0.01, maximum: 2_000 }
} as const
/** Weight of an answer once many have been seen; the prior follows within some fifty answers. */
const settledWeight = 0.02
/** Weight, relative to that of an unqueued answer, of one that waited for others: its queueing is only estimated. */
const queuedWeight = 0.15
/** The same for a plain service. */
const plainQueuedWeight = 0.5
/** Longest predicted share of waiting with which an answer shows the times of the request itself. */
const unqueuedWaitShare = 0.25
/** Within 0.3 to 3, the factor made up for a wrong run time instead of correcting it, and waits were predicted at half (0.87 instead of 0.91 on time beside a peaking team in roomModel.test.ts). */
const queueFactorRange = { minimum: 0.8, maximum: 1.25 } as const
/** Largest deviation that counts once the prior has settled; queues that weren't known cause greater ones. */
const settledDeviation = Math.log(1.5)
const initialDeviation = Math.log(20)
const answersUntilSettled = 6
/** Least sum of squared shares by which a step is divided; an answer that mostly waited for a slot then changes little. */
const minimumShareSum = 0.4
const outputWeight = 0.03
/** Weight of the first answers that waited in the ratio of wait to work ahead; its neutral value is a good estimate. */
const initialQueueWeight = 0.3
/** Weight of later ones; the error of the estimate changes with the load. */
const settledQueueWeight = 0.05
/** Largest ratio of observed to expected output time that counts; a caller that reads slowly holds an answer up. */
const maximumOutputRatio = 6
const initialOutputRatio = 50
/** Answers that a received prior counts for at most, so that own observations soon correct it. */
const maximumReceivedAnswers = 20
/** Milliseconds of output assumed per request before any was sent. */
const neutralOutputMilliseconds = 600

const clamp = (value: number, { minimum, maximum }: { readonly minimum: number, readonly maximum: number }): number => Math.min(maximum, Math.max(minimum, value))

/** Tokens to read, with the context of each: the time is proportional to them. */
export const effectiveTokens = (promptTokens: number, unreadTokens: number): number =>
  unreadTokens * (1 + Math.max(0, promptTokens - unreadTokens / 2) / attentionContextTokens)

export class ServicePerformance {
  fixedMilliseconds = neutralPerformance.fixedMilliseconds
  perTokenMilliseconds = neutralPerformance.perTokenMilliseconds
  /** Mean time for which the requests that this VM sends hold their slot while they produce output. */
  meanOutputMilliseconds = neutralOutputMilliseconds
  /** Ratio of the wait to the estimated work ahead, which is too high where VMs assume that others send as much as themselves. */
  queueFactor = 1
  readonly paceCorrelation = new PaceCorrelation()
  /** Answers by which each unit time was determined, each counted with the share of the unit time in the answer's. */
  private fixedAnswers = 0
  private tokenAnswers = 0
  private queueAnswers = 0
  private readonly hinted = new OutputTime(neutralPerformance.perHintedTokenMilliseconds)
  private readonly maximum = new OutputTime(neutralPerformance.perMaximumTokenMilliseconds)
  private sends = 0

  get answers (): number {
    return this.fixedAnswers + this.tokenAnswers
  }

  /** The learned unit times for another VM; undefined before the first answer. */
  get learned (): LearnedPerformance | undefined {
    if (this.answers === 0) return undefined
    return {
      answers: Math.ceil(this.answers),
      fixedMilliseconds: this.fixedMilliseconds,
      perTokenMilliseconds: this.perTokenMilliseconds,
      perHintedTokenMilliseconds: this.hinted.perToken,
      perMaximumTokenMilliseconds: this.maximum.perToken
    }
  }

  /** Takes the prior of another VM unless this VM has seen as many answers itself. */
  receive ({ answers, fixedMilliseconds, perTokenMilliseconds, perHintedTokenMilliseconds, perMaximumTokenMilliseconds }: LearnedPerformance): void {
    const isValid = [answers, fixedMilliseconds, perTokenMilliseconds, perHintedTokenMilliseconds, perMaximumTokenMilliseconds].every((value) => Number.isFinite(value) && value > 0)
    const receivedAnswers = Math.min(maximumReceivedAnswers, answers)
    if (!isValid || receivedAnswers <= this.answers) return
    this.fixedMilliseconds = clamp(fixedMilliseconds, unitTimeRanges.fixed)
    this.perTokenMilliseconds = clamp(perTokenMilliseconds, unitTimeRanges.perToken)
    this.fixedAnswers = receivedAnswers / 2
    this.tokenAnswers = receivedAnswers / 2
    this.hinted.receive(perHintedTokenMilliseconds)
    this.maximum.receive(perMaximumTokenMilliseconds)
  }

  readingMilliseconds (promptTokens: number, unreadTokens: number): number {
    return effectiveTokens(promptTokens, unreadTokens) * this.perTokenMilliseconds
  }

  /** Expected time of the output of a request: by the caller's estimate, else by the maximum, whose mean errors are part of the learned times. */
  outputMilliseconds (tokens: RequestHead['tokens']): number {
    if (tokens === undefined) return this.meanOutputMilliseconds
    const { output, outputHint } = tokens
    return outputHint === undefined ? output * this.maximum.perToken : Math.min(outputHint, output) * this.hinted.perToken
  }

  recordSend (tokens: RequestHead['tokens']): void {
    if (tokens === undefined) return
    this.sends += 1
    this.meanOutputMilliseconds += Math.max(settledWeight, 1 / (this.sends + 1)) * (this.outputMilliseconds(tokens) - this.meanOutputMilliseconds)
  }

  /** Records a complete output and the time that it took. */
  recordOutput (tokens: RequestHead['tokens'], milliseconds: number): void {
    if (tokens === undefined) return
    const { output, outputHint } = tokens
    if (outputHint === undefined) this.maximum.record(output, milliseconds)
    else this.hinted.record(Math.min(outputHint, output), milliseconds)
  }

  /** Corrects the unit times in proportion to their shares in the predicted time, so that short and long prompts each determine theirs. */
  record ({ observedMilliseconds, tokens, workAheadMilliseconds }: TimeParts): void {
    const tokenMilliseconds = tokens * this.perTokenMilliseconds
    const waitMilliseconds = workAheadMilliseconds * this.queueFactor
    const predicted = this.fixedMilliseconds + tokenMilliseconds + waitMilliseconds
    const fixedShare = this.fixedMilliseconds / predicted
    const tokenShare = tokenMilliseconds / predicted
    const waitShare = waitMilliseconds / predicted
    const shareSum = Math.max(minimumShareSum, fixedShare ** 2 + tokenShare ** 2 + waitShare ** 2)
    const maximumDeviation = this.answers < answersUntilSettled ? initialDeviation : settledDeviation
    const logRatio = Math.log(Math.max(0.1, observedMilliseconds) / predicted)
    const deviation = clamp(logRatio, { minimum: -maximumDeviation, maximum: maximumDeviation })
    // The work ahead of a plain request is a multiple of the run time, so that a wait shows the run time too.
    const isPlain = tokens === 0
    const weight = waitShare <= unqueuedWaitShare ? 1 : isPlain ? plainQueuedWeight : queuedWeight
    const fixedPart = isPlain ? fixedShare + waitShare : fixedShare
    this.fixedAnswers += weight * fixedPart
    this.tokenAnswers += weight * tokenShare
    this.queueAnswers += waitShare
    const fixedStep = weight * weightAfter(this.fixedAnswers) * fixedPart / shareSum * deviation
    const tokenStep = weight * weightAfter(this.tokenAnswers) * tokenShare / shareSum * deviation
    const queueStep = Math.max(settledQueueWeight, Math.min(initialQueueWeight, weightAfter(this.queueAnswers))) * waitShare / shareSum * deviation
    this.queueFactor = clamp(this.queueFactor * Math.exp(queueStep), queueFactorRange)
    this.fixedMilliseconds = clamp(this.fixedMilliseconds * Math.exp(fixedStep), unitTimeRanges.fixed)
    this.perTokenMilliseconds = clamp(this.perTokenMilliseconds * Math.exp(tokenStep), unitTimeRanges.perToken)
  }
}

/** Weight of an answer by the answers seen with it: the first ones replace the neutral values. */
const weightAfter = (answers: number): number => Math.min(1, Math.max(settledWeight, 1 / Math.max(1, answers)))

/** Output time per stated token: the mean time over the mean of what was stated, which includes the mean error of the statements. */
class OutputTime {
  perToken: number
  private tokens = 0
  private milliseconds = 0
  private count = 0

  constructor (neutralPerToken: number) {
    this.perToken = neutralPerToken
  }

  receive (perToken: number): void {
    if (this.count === 0) this.perToken = clamp(perToken, unitTimeRanges.perOutputToken)
  }

  record (statedTokens: number, milliseconds: number): void {
    if (statedTokens <= 0) return
    this.count += 1
    const maximumRatio = this.count < answersUntilSettled ? initialOutputRatio : maximumOutputRatio
    const bounded = Math.min(milliseconds, statedTokens * this.perToken * maximumRatio)
    const weight = Math.max(outputWeight, 1 / this.count)
    this.tokens += weight * (statedTokens - this.tokens)
    this.milliseconds += weight * (bounded - this.milliseconds)
    this.perToken = clamp(this.milliseconds / this.tokens, unitTimeRanges.perOutputToken)
  }
}

export const packPerformance = (service: ServiceName, { answers, fixedMilliseconds, perTokenMilliseconds, perHintedTokenMilliseconds, perMaximumTokenMilliseconds }: LearnedPerformance): PackedPerformance =>
  [service, answers, fixedMilliseconds, perTokenMilliseconds, perHintedTokenMilliseconds, perMaximumTokenMilliseconds]

export const unpackPerformance = ([, answers, fixedMilliseconds, perTokenMilliseconds, perHintedTokenMilliseconds, perMaximumTokenMilliseconds]: PackedPerformance): LearnedPerformance =>
  ({ answers, fixedMilliseconds, perTokenMilliseconds, perHintedTokenMilliseconds, perMaximumTokenMilliseconds })
