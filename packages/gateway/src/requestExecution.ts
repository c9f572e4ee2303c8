/**
 * Execution of one admitted request in the gateway process: chooses a target,
 * sends the request, retries it if that is allowed, resumes a broken stream and
 * enforces the deadline. A request that may have run is answered as failed,
 * never as refused. The daemon package has an execution module of its own.
 */

import { RefusalReason, refuse } from '@cuminvale/common'
import { PlacementKind, RefusalCause, RequestKind } from '@cuminvale/serving'
import { AnswerRelay } from './answerRelay.js'
import { CallFailureKind } from './errors.js'
import { AnswerFailureKind } from './answerSink.js'
import { headerValue } from './headerList.js'
import { declinedRefusal, recordData, recordEnd, recordLocalAnswer, silenceOf, targetOf } from './attempts.js'
import { AttemptStarter } from './attemptStarter.js'
import { PeerWait } from './peerWait.js'
import { PreviousAttempt, RequestAttempts } from './requestAttempts.js'
import { StreamVersion } from './streamVersion.js'
import { TargetExclusions } from './targetExclusions.js'
import { declineFailureWeight, heldRetryMilliseconds, maximumAttemptsNotRun, minimumRetryMilliseconds, misdirectedStatus, silenceFailureWeight } from './constants.js'
import type { Refusal } from '@cuminvale/common'
import type { AdmittedRequest, PeerStanding, Placement, SoftwareVersion } from '@cuminvale/serving'
import type { AnswerFraming } from './answerFraming.js'
import type { AnswerSink } from './answerSink.js'
import type { AttemptStarterOptions } from './attemptStarter.js'
import type { AttemptHandler } from './attemptListeners.js'
import type { Attempt, ForwardAttempt, LocalAttempt } from './attempts.js'
import type { CallFailure } from './errors.js'
import type { ForwardedHead } from './forwardFrames.js'

export interface RequestExecutionOptions extends Omit<AttemptStarterOptions, 'handler' | 'onStarted'> {
  /** Number of sends to upstreams that the request has left. */
  readonly attemptsLeft: number
  /** Id of the event after which a stream is resumed; undefined for a new one. */
  readonly resumeAfter?: string | undefined
  /** Software version that the stream began at, if its caller or another VM has events of it. */
  readonly softwareVersion?: SoftwareVersion | undefined
  readonly sink: AnswerSink
  readonly onEnded: (execution: RequestExecution) => void
}

export class RequestExecution implements AttemptHandler {
  /** Logged: how the request ended; `detail` says why. */
  outcome = 'under-way'
  detail = ''
  sends = 0
  target = ''
  /** Software of the last upstream of this region that the request was sent to. */
  softwareVersion: SoftwareVersion | undefined
  firstAnswerAt: number | undefined
  /** Predicted time from the send of the last attempt to its first answer. */
  predictedMilliseconds = 0
  /** Prompt tokens that the upstream was predicted to read; undefined if the request went to no upstream of this region. */
  unreadTokens: number | undefined
  retryAfterMilliseconds: number | undefined
  /** Why the request was refused, or ended before its time by this VM; undefined otherwise. */
  endReason: RefusalReason | undefined
  /** Whether the VM of the last forward that broke was known to stop; undefined if none broke. */
  brokenForwardPeer: PeerStanding | undefined
  /** Why the last placement found no target while upstreams took work; undefined if it found one. */
  refusalCause: RefusalCause | undefined
  /** What marked the end of the answer; undefined if none was complete. */
  framing: AnswerFraming | undefined
  /** Bytes of an event stream after its last complete event, at its end. */
  partialEventBytes = 0
  /** Attempts whose target fell silent. */
  silences = 0
  /** Monotonic time at which a retry is due that waits to learn of a crash. */
  private heldRetryAt: number | undefined
  private attemptsLeft: number
  /** Attempts that never ran: no connection was made, or the other region refused the request. */
  private attemptsNotRun = 0
  private isOver = false
  private lastDataAt = 0
  /** Whether reading is paused until the caller takes more; the upstream is not silent then. */
  private isWaitingForCaller = false
  private readonly version: StreamVersion
  private readonly excluded = new TargetExclusions()
  private readonly relay: AnswerRelay
  private readonly starter: AttemptStarter
  private readonly peerWait: PeerWait
  private readonly attempts: RequestAttempts

  constructor (private readonly options: RequestExecutionOptions) {
    this.attemptsLeft = options.attemptsLeft
    const { sink, request, resumeAfter, state } = options
    this.relay = new AnswerRelay({ sink, route: request.route, held: state.heldBytes, resumeAfter, takenUpAfter: headerValue(request.head.headers, 'last-event-id'), holdsHead: options.mayForward })
    this.version = new StreamVersion({ state, request, relay: this.relay, isOfCaller: options.mayForward, softwareVersion: options.softwareVersion })
    this.attempts = new RequestAttempts({ forecasts: state.forecasts, service: request.service })
    this.peerWait = new PeerWait(options)
    this.starter = new AttemptStarter({ ...options, handler: this, onStarted: (attempt) => this.onStarted(attempt) })
  }

  /** Status that was passed on; 0 if none was. */
  get status (): number {
    return this.relay.status
  }

  /** Memory that the part of the answer takes that was not passed on, in bytes. */
  get heldBytes (): number {
    return this.relay.heldBytes
  }

  get request (): AdmittedRequest {
    return this.options.request
  }

  start (): void {
    // A first send earns retries. It counts only at the VM that the caller sent the request to, so that a forwarded request counts once.
    if (this.options.mayForward) this.options.state.retries.started(this.request.service)
    this.place()
  }

  /** Ends the execution after the caller disconnected; all attempts except those of orders are cancelled. */
  onCallerDisconnected (): void {
    if (this.isOver) return
    this.outcome = 'caller-left'
    // An order that was sent is left to finish: if it were cancelled, its outcome would be unknown.
    this.finish(this.request.route.kind !== RequestKind.Order || this.attempts.current === undefined)
  }

  /** Ends the execution before its time: refuses a request that was not sent, and fails any other; an answer that was begun is seen to be incomplete. */
  abandon (refusal: Refusal): void {
    if (this.isOver) return
    if (!this.attempts.mayBeRunning) return this.refuse(refusal)
    this.outcome = 'abandoned'
    this.endReason = refusal.reason
    this.detail = refusal.detail
    this.relay.fail(AnswerFailureKind.UpstreamBroke, this.detail)
    this.finish(true)
  }

  /** Continues reading the answer after the response to the caller has drained; unrelated to resuming a broken stream. */
  resume (): void {
    if (this.isWaitingForCaller) this.lastDataAt = this.now
    this.isWaitingForCaller = false
    this.attempts.current?.call.resume()
  }

  /** Enforces the deadline, places a request that waited for peers, and retries a repeatable request elsewhere if its target is silent. */
  check (now: number): void {
    if (this.isOver) return
    if (now >= this.options.deadlineAt) return this.handleDeadline()
    const attempt = this.attempts.current
    if (attempt?.kind === 'local') this.options.state.signs.noticeSilence(attempt, now)
    if (this.heldRetryAt !== undefined) {
      if (now >= this.heldRetryAt) this.sendHeldRetry()
      return
    }
    if (attempt === undefined && this.peerWait.hasStarted) return this.place()
    if (attempt === undefined || !this.request.isRepeatable || this.isWaitingForCaller) return
    // Their targets were only silent, and the one in their place may still decline the request.
    if (!this.starter.mayOverlap) this.attempts.endOverlap(now).forEach((aborted) => this.excluded.remove(aborted))
    const silence = silenceOf(attempt, this.request.route, this.lastDataAt, now)
    if (silence !== undefined) this.handleSilence(attempt, silence)
  }

  onHead (attempt: LocalAttempt, status: number, rawHeaders: Readonly<Record<string, string | string[] | undefined>>): void {
    const { state } = this.options
    const answer = state.codec.decodeAnswer(status, rawHeaders)
    const flaw = attempt.call.flawOf(answer, this.request, attempt.upstream.naming)
    if (flaw !== undefined) return this.handleBrokenAttempt(attempt, flaw)
    recordLocalAnswer(attempt, this.now)
    state.starts.recordAnswer(attempt.upstream, attempt.call.connectionOpenedAt)
    if (answer.load !== undefined) attempt.upstream.recordReportedLoad(answer.load)
    state.recordRequests(attempt.upstream, answer, { isMisdirected: status === misdirectedStatus })
    if (answer.isDeclined || status === misdirectedStatus) return this.handleDeclined(attempt, status)
    this.attempts.mayHaveRun = true
    if (status < 300) state.recordFirstAnswer(attempt, answer.load?.pace)
    if (status >= 200 && status < 300 && !answer.isSealed) return this.handleBrokenAttempt(attempt, 'a success without its seal')
    if (status >= 500) {
      attempt.upstream.failed()
      if (this.handleFailedAnswer(attempt, `status ${status}`)) return
    } else {
      attempt.upstream.succeeded()
      state.signs.reachable(attempt.upstream, attempt.sentAt)
    }
    this.relayHead(attempt, status, answer.headers)
  }

  onData (attempt: Attempt, chunk: Buffer): boolean {
    const isTaken = this.relay.data(chunk)
    recordData(attempt, this.now, { isTaken })
    if (attempt.kind === 'local') this.options.state.starts.recordAnswer(attempt.upstream, attempt.call.connectionOpenedAt)
    if (this.relay.hasProgressed) {
      this.reinstate(attempt)
      attempt.isRetryDenied = false
      this.lastDataAt = this.now
    }
    this.version.dataPassedOn(attempt)
    if (!isTaken) this.isWaitingForCaller = true
    const flaw = this.relay.flawInData
    if (flaw !== undefined) this.handleBrokenAttempt(attempt, flaw)
    return isTaken || flaw !== undefined
  }

  onEnd (attempt: Attempt, framing: AnswerFraming): boolean {
    this.reinstate(attempt)
    this.framing = framing
    this.partialEventBytes = this.relay.partialEventBytes
    const flaw = this.relay.flawAtEnd(framing)
    if (flaw !== undefined) {
      this.handleBrokenAttempt(attempt, flaw)
      return false
    }
    this.relay.end()
    this.version.wholePassedOn()
    this.outcome = 'answered'
    if (this.status < 300) recordEnd(attempt, this.request.route, this.options.state)
    this.options.state.crashDetector.recordCompletion(this.request, this.options.body, { status: this.status })
    this.finish(false)
    return true
  }

  onFailure (attempt: Attempt, failure: CallFailure): void {
    if (failure.kind !== CallFailureKind.Broken) return this.handleNotSent(attempt, failure)
    this.options.state.recordFailedForward(attempt, this.request.service)
    this.handleBrokenAttempt(attempt, failure.message)
  }

  /** The other VM states that the request has not run there and never will. */
  onForwardedRefusal (attempt: ForwardAttempt, refusal: Refusal): void {
    const wasSilent = this.attempts.isSilent(attempt)
    this.attempts.end(attempt)
    this.options.state.recordForwardRefusal(attempt, this.request.service, refusal)
    this.excluded.addRefusing(attempt, refusal)
    this.attemptsLeft += attempt.granted
    if (wasSilent) return
    this.attemptsNotRun += 1
    if (this.attemptsNotRun >= maximumAttemptsNotRun || refusal.reason === RefusalReason.CrashSuspect) return this.refuseOrFail(refusal)
    this.place(refusal)
  }

  onForwardedHead (attempt: ForwardAttempt, { status, headers, softwareVersion }: ForwardedHead): void {
    attempt.softwareVersion = softwareVersion
    this.options.state.recordForwardAnswer(attempt, this.request.service)
    this.attempts.mayHaveRun = true
    if (status >= 500 && this.handleFailedAnswer(attempt, `status ${status} from another region`)) return
    this.relayHead(attempt, status, headers)
  }

  onForwardedFailure (attempt: ForwardAttempt, kind: AnswerFailureKind, detail: string): void {
    this.attempts.mayHaveRun = true
    if (kind === AnswerFailureKind.TimedOut && attempt === this.attempts.current) {
      this.attempts.end(attempt)
      return this.handleDeadline()
    }
    this.handleBrokenAttempt(attempt, detail)
  }

  private get now (): number {
    return this.options.state.clock.monotonic()
  }

  private get crashRefusal (): Refusal | undefined {
    return this.options.state.crashDetector.refusalOf(this.request, this.options.body)
  }

  private place (lastRefusal?: Refusal): void {
    const { crashRefusal } = this
    if (crashRefusal !== undefined) return this.refuseOrFail(crashRefusal)
    const placement = this.starter.chooseTarget(this.excluded, this.version.required)
    if (placement.kind !== PlacementKind.Refuse) return this.sendByPlacement(placement)
    if (lastRefusal === undefined && !placement.isPaused && placement.cause !== RefusalCause.Stop && this.peerWait.startOrContinue(this.now)) return
    this.refusalCause = placement.cause
    this.refuseOrFail(this.starter.refusalOf(placement, lastRefusal))
  }

  private sendByPlacement (placement: Exclude<Placement, { kind: 'refuse' }>): void {
    if (placement.kind === PlacementKind.Run) this.sendTo(placement)
    else this.forwardTo(placement)
  }

  private sendTo (placement: Extract<Placement, { kind: 'run' }>): void {
    this.attemptsLeft -= 1
    this.predictedMilliseconds = Math.round(placement.prediction.milliseconds)
    this.unreadTokens = placement.prediction.unreadTokens
    this.starter.startLocal(placement, this.resumeAfter)
  }

  private forwardTo (placement: Extract<Placement, { kind: 'forward' }>): void {
    this.predictedMilliseconds = Math.round(placement.milliseconds)
    // One attempt is kept for a retry by this VM, in case the other VM becomes silent. If only one is left, it is granted.
    const grantedAttempts = Math.max(1, this.attemptsLeft - 1)
    this.attemptsLeft -= grantedAttempts
    if (this.starter.startForward({ placement, grantedAttempts, resumeAfter: this.resumeAfter, softwareVersion: this.version.required, excludedVms: this.excluded.vms }) !== undefined) return
    this.attemptsLeft += grantedAttempts
    this.excluded.regions.add(placement.region)
    this.place()
  }

  private onStarted (attempt: Attempt): void {
    this.attempts.start(attempt)
    this.sends += 1
    this.target = targetOf(attempt)
    this.softwareVersion = attempt.kind === 'local' ? attempt.upstream.announced.softwareVersion : undefined
  }

  /** Id of the event after which the next attempt resumes the stream. */
  private get resumeAfter (): string | undefined {
    return this.relay.lastEventId ?? this.options.resumeAfter
  }

  /** Passes on the head of an answer; its attempt has then replaced those that are silent. */
  private relayHead (attempt: Attempt, status: number, headers: readonly string[]): void {
    if (!this.relay.canTake(status, headers)) return this.handleUnusableResumption(attempt, status)
    this.reinstate(attempt)
    this.firstAnswerAt ??= this.now
    this.attempts.answer(attempt)
    // What an earlier attempt has sent of an event or a body is no part of this answer.
    this.relay.discardUnsent()
    this.relay.head(status, headers, this.version.of(attempt))
    this.version.headPassedOn(attempt)
  }

  /** Handles an answer that can't continue the stream like one that says that the upstream failed; other upstreams may go on. */
  private handleUnusableResumption (attempt: Attempt, status: number): void {
    const detail = `status ${status} on resume`
    attempt.call.abort()
    if (this.handleFailedAnswer(attempt, detail)) return
    this.detail = detail
    this.failRequest(AnswerFailureKind.UpstreamBroke)
  }

  /** Handles an answer that says that the upstream failed; false if it is to be passed on. */
  private handleFailedAnswer (attempt: Attempt, detail: string): boolean {
    const wasSilent = this.attempts.isSilent(attempt)
    if (!wasSilent) {
      if (this.request.isRepeatable && this.tryRetry(attempt, { detail, previous: PreviousAttempt.Detach })) return true
      if (!this.attempts.hasSilent) return false
    }
    attempt.call.detach()
    this.attempts.end(attempt)
    if (!wasSilent) this.returnToSilentAttempt()
    return true
  }

  private handleDeclined (attempt: LocalAttempt, status: number): void {
    attempt.upstream.failed(status === misdirectedStatus ? 0 : declineFailureWeight)
    const wasSilent = this.attempts.isSilent(attempt)
    // The rest of the answer is discarded, so that the connection can be reused.
    attempt.call.detach()
    this.attempts.end(attempt)
    this.excluded.add(attempt)
    if (status === misdirectedStatus) {
      // The addressed upstream is no longer there, so the send doesn't count.
      this.attemptsLeft += 1
      attempt.upstream.isReplaced = true
    }
    if (wasSilent) return
    // An earlier attempt was given up for this one, which has not run and so is none of those that the route allows.
    if (this.attempts.mayHaveRun && status !== misdirectedStatus && this.attemptsNotRun < maximumAttemptsNotRun) {
      this.attemptsNotRun += 1
      this.attemptsLeft += 1
    }
    const refusal = declinedRefusal(this.options.state, attempt, status)
    if (this.attemptsLeft <= 0 || !this.options.state.retries.tryTake(this.request.service)) return this.refuseOrFail(refusal)
    this.place(refusal)
  }

  private handleNotSent (attempt: Attempt, { kind, message: detail }: CallFailure): void {
    const wasSilent = this.attempts.isSilent(attempt)
    this.attempts.end(attempt)
    this.attemptsLeft += attempt.kind === 'local' ? 1 : attempt.granted
    if (attempt.kind === 'local' && kind === CallFailureKind.NotSent) this.options.state.signs.unreachable(attempt.upstream)
    // A single VM that takes no connection may just have ended.
    if (this.excluded.addUnsent(attempt)) this.options.state.recordFailedForward(attempt, this.request.service)
    if (wasSilent) return
    this.detail = detail
    this.attemptsNotRun += 1
    if (kind === CallFailureKind.Unwritable || this.attemptsNotRun >= maximumAttemptsNotRun) return this.refuseOrFail(refuse(RefusalReason.NoUpstream, detail))
    this.place()
  }

  /** Aborts an attempt that failed after it was sent. Retries the request if possible and fails it otherwise; it may have run. */
  private handleBrokenAttempt (attempt: Attempt, detail: string): void {
    attempt.call.abort()
    if (attempt.kind === 'forward') this.brokenForwardPeer = this.options.state.peers.standingOf(attempt.vm)
    this.attempts.mayHaveRun = true
    if (this.attempts.isAnswering(attempt)) this.relay.discardUnsent()
    if (attempt.kind === 'local') {
      this.options.state.signs.connectionBroke(attempt.upstream, attempt.sentAt)
      this.options.state.crashDetector.recordBrokenConnection(this.request, this.options.body, attempt.upstream.announced)
    }
    if (this.attempts.isSilent(attempt)) return this.attempts.end(attempt)
    const mustHold = this.options.state.crashDetector.mustHoldRetry(this.request)
    if (this.request.isRepeatable && this.tryRetry(attempt, { detail, previous: PreviousAttempt.Abort, mustHold })) return
    this.attempts.end(attempt)
    this.detail = detail
    if (this.returnToSilentAttempt()) return
    this.failRequest(AnswerFailureKind.UpstreamBroke)
  }

  private sendHeldRetry (): void {
    this.heldRetryAt = undefined
    if (this.options.state.retries.tryTake(this.request.service)) return this.place()
    if (!this.returnToSilentAttempt()) this.failRequest(AnswerFailureKind.UpstreamBroke)
  }

  /** Sends the request elsewhere as well; the answer is that of the attempt that is answered first. */
  private handleSilence (attempt: Attempt, detail: string): void {
    if (attempt.isRetryDenied) return
    // All requests that wait at an upstream notice the same silence; the first one ejects it.
    if (attempt.kind === 'local' && !attempt.upstream.isEjected) attempt.upstream.failed(attempt.upstream.lastAnswerAt > attempt.sentAt ? 1 : silenceFailureWeight)
    this.silences += 1
    this.options.state.recordFailedForward(attempt, this.request.service)
    if (!this.tryRetry(attempt, { detail, previous: PreviousAttempt.Keep })) attempt.isRetryDenied = true
  }

  /** Takes an answer of a silent attempt for that of the request, instead of one that was to replace it. */
  private reinstate (attempt: Attempt): void {
    if (this.attempts.reinstate(attempt)) this.recordReturnTo(attempt)
  }

  /** Waits for a silent attempt again, after those that were to replace it have failed; false if there is none. */
  private returnToSilentAttempt (): boolean {
    const attempt = this.attempts.returnToSilent()
    if (attempt !== undefined) this.recordReturnTo(attempt)
    return attempt !== undefined
  }

  private recordReturnTo (attempt: Attempt): void {
    this.heldRetryAt = undefined
    this.target = targetOf(attempt)
    this.lastDataAt = this.now
  }

  /**
   * Retries a repeatable request. False if an answer was begun that can't be
   * resumed, if no attempt or retry budget is left, if the deadline is too near,
   * or if no other target is available. With mustHold, the target is chosen only
   * when a crash would be known.
   */
  private tryRetry (attempt: Attempt, { detail, previous, mustHold = false }: { detail: string, previous: PreviousAttempt, mustHold?: boolean }): boolean {
    const { state } = this.options
    if (!this.relay.isRetryable || this.version.isUnknown || this.crashRefusal !== undefined) return false
    this.excluded.add(attempt)
    if (this.attemptsLeft <= 0 || this.options.deadlineAt - this.now < minimumRetryMilliseconds) return false
    // The running attempt is given up only if another target is available.
    const placement = mustHold ? undefined : this.starter.chooseTarget(this.excluded, this.version.required)
    if (placement?.kind === PlacementKind.Refuse || (placement !== undefined && !state.retries.tryTake(this.request.service))) return false
    if (previous === PreviousAttempt.Keep) {
      this.attempts.keepSilent(attempt)
    } else {
      this.attempts.mayHaveRun = true
      if (previous === PreviousAttempt.Detach) attempt.call.detach()
      else attempt.call.abort()
      this.attempts.end(attempt)
    }
    this.detail = detail
    if (placement === undefined) this.heldRetryAt = this.now + heldRetryMilliseconds
    else this.sendByPlacement(placement)
    return true
  }

  private handleDeadline (): void {
    if (!this.attempts.mayBeRunning) return this.refuse(refuse(RefusalReason.DeadlineExceeded, 'the time was over before it was sent'))
    this.detail = 'the time is over'
    this.failRequest(AnswerFailureKind.TimedOut)
  }

  private refuseOrFail (refusal: Refusal): void {
    if (this.returnToSilentAttempt()) return
    if (this.attempts.mayHaveRun) {
      this.detail = refusal.detail
      return this.failRequest(AnswerFailureKind.UpstreamBroke)
    }
    this.refuse(refusal)
  }

  private refuse (refusal: Refusal): void {
    this.outcome = 'refused'
    this.endReason = refusal.reason
    this.detail = refusal.detail
    this.retryAfterMilliseconds = refusal.retryAfterMilliseconds
    this.options.sink.refuse(refusal)
    this.finish(true)
  }

  private failRequest (kind: AnswerFailureKind): void {
    this.outcome = kind
    this.relay.fail(kind, this.detail)
    this.finish(true)
  }

  private finish (mustAbort: boolean): void {
    if (this.isOver) return
    this.isOver = true
    this.attempts.abortSilent()
    const attempt = this.attempts.current
    if (attempt !== undefined) {
      if (mustAbort) attempt.call.abort()
      else attempt.call.detach()
      this.attempts.end(attempt)
    }
    this.options.onEnded(this)
  }
}
