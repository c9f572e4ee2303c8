/**
 * Passes an upstream's answer on to its sink: a short one once it is whole, a
 * resumable stream in whole events, anything else as it comes. One answer may
 * be put together from several runs.
 */

import { RequestKind } from '@cuminvale/serving'
import { EventCutter } from './eventCutter.js'
import { HeldAnswer } from './heldAnswer.js'
import type { Route } from '@cuminvale/serving'
import type { AnswerSink, FailureKind } from './answerSink.js'

export class AnswerRelay {
  /** Status that was passed on; 0 before. */
  status = 0
  private held: HeldAnswer | undefined
  private readonly cutter: EventCutter | undefined

  constructor (private readonly sink: AnswerSink, private readonly route: Route) {
    this.cutter = route.kind === RequestKind.Stream && route.isResumable ? new EventCutter() : undefined
  }

  /** Whether another run may still answer: nothing was passed on, or what was can be gone on with. */
  get mayStartAnew (): boolean {
    return this.status === 0 || this.cutter !== undefined
  }

  /** Id of the last event that was passed on. */
  get lastEventId (): string | undefined {
    return this.cutter?.lastEventId
  }

  /** Forgets what was not passed on of a run, before another one answers. */
  startAnew (): void {
    this.held = undefined
    this.cutter?.dropPartial()
  }

  /** False where the answer was begun by an earlier run that this one can't go on with. */
  head (status: number, headers: readonly string[]): boolean {
    if (this.route.kind === RequestKind.Safe) this.held = new HeldAnswer(status, headers)
    // The caller has the first run's head already; only a successful run can go on in its body.
    else if (this.status !== 0) return isSuccess(status)
    else this.passHead(status, headers)
    return true
  }

  /** False where no more can be taken for now. */
  data (chunk: Buffer): boolean {
    if (this.held !== undefined) {
      this.held.push(chunk)
      if (this.held.isOverlong) this.passHeld()
      return true
    }
    if (this.cutter === undefined || !isSuccess(this.status)) return this.sink.data(chunk)
    const whole = this.cutter.push(chunk)
    return whole === undefined || this.sink.data(whole)
  }

  end (): void {
    this.passHeld()
    const rest = this.cutter?.rest()
    if (rest !== undefined) this.sink.data(rest)
    this.sink.end()
  }

  /** Ends without the answer: as a failure, or broken off where it was begun. */
  fail (kind: FailureKind, detail: string): void {
    if (this.status !== 0) this.sink.breakOff()
    else this.sink.fail(kind, detail)
  }

  private passHead (status: number, headers: readonly string[]): void {
    this.status = status
    this.sink.head(status, headers)
  }

  private passHeld (): void {
    const { held } = this
    if (held === undefined) return
    this.held = undefined
    this.passHead(held.status, held.headers)
    held.passBody(this.sink)
  }
}

const isSuccess = (status: number): boolean => status >= 200 && status < 300
