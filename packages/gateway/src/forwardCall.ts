/**
 * A request that the gateway process forwards to a VM of another region. That
 * VM confirms receipt at once, so that a lost connection can be told apart from
 * a slow answer.
 */

import { AnswerFraming } from './answerFraming.js'
import { CallFailure, CallFailureKind } from './errors.js'
import { AnswerFailureKind } from './answerSink.js'
import { FrameKind, FrameDecoder, encodeForward, isKnownFrame } from './forwardFrames.js'
import { formatHeader, messageFormat, readFormat } from './messageFormat.js'
import { readAnswerFrame } from './answerFrames.js'
import { DetachedCalls } from './detachedCalls.js'
import { detachedRunTimeoutMilliseconds, discardedAnswerTimeoutMilliseconds, forwardReceiptTimeoutMilliseconds, maximumDiscardedAnswerBytes } from './constants.js'
import type { Clock, Refusal, VmId } from '@cuminvale/common'
import type { AdmittedRequest, AttemptId, SoftwareVersion } from '@cuminvale/serving'
import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher, Pool } from 'undici'
import type { CallerMemory, MemoryHolder } from './callerMemory.js'
import type { Frame, ForwardedHead } from './forwardFrames.js'
import type { DetachOptions } from './upstreamCall.js'

export const forwardPath = '/forward'
/** Names the VM that forwards, for the log of the other VM. A header, since VMs of earlier versions refuse longer envelopes and ignore unknown headers. */
export const forwardingVmHeader = 'x-forwarding-vm'

export interface ForwardCallListener {
  onForwardedHead (head: ForwardedHead): void
  /** False if the caller can't take more for now. */
  onData (chunk: Buffer): boolean
  onEnd (framing: AnswerFraming): boolean
  onForwardedRefusal (refusal: Refusal): void
  onForwardedFailure (kind: AnswerFailureKind, detail: string): void
  onFailure (failure: CallFailure): void
}

export interface ForwardCallOptions {
  readonly clock: Clock
  readonly pool: Pool
  readonly listener: ForwardCallListener
  readonly sender: VmId
  readonly roundTripMilliseconds: number
  readonly memory: CallerMemory
}

export interface ForwardOptions {
  readonly request: AdmittedRequest
  readonly body: Buffer | null
  readonly remainingMilliseconds: number
  /** Time left until the first answer is due by the route's objective; negative if it has passed. */
  readonly onTimeMilliseconds: number
  readonly attemptsLeft: number
  readonly resumeAfter: string | undefined
  /** Software version that a stream must go on at. */
  readonly softwareVersion: SoftwareVersion | undefined
}

export class ForwardCall implements Dispatcher.DispatchHandler {
  private readonly reader = new FrameDecoder()
  private readonly timeLimits: DetachedCalls
  private readonly limitedCall = { abort: (): void => this.close() }
  private controller: Dispatcher.DispatchController | undefined
  /** Whether the listener is called no more. */
  private isOver = false
  private isAnswered = false
  /** Bytes that were read after that. */
  private discardedBytes = 0
  private isReceiptConfirmed = false
  private isAborted = false
  private sentAt = 0
  private attempt: AttemptId | undefined
  /** Counts the message, which holds the body once more. */
  private readonly holder: MemoryHolder
  /** Message format of the VM that answers. */
  private answerFormat: number = messageFormat

  constructor (private readonly options: ForwardCallOptions) {
    this.timeLimits = new DetachedCalls(options.clock)
    this.holder = options.memory.hold({ canGiveWay: () => false, giveWay: () => { /* never */ } })
  }

  send ({ request, body, remainingMilliseconds, onTimeMilliseconds, attemptsLeft, resumeAfter, softwareVersion }: ForwardOptions): void {
    this.sentAt = this.options.clock.monotonic()
    this.attempt = request.attempt
    const envelope = { request, remainingMilliseconds, onTimeMilliseconds, attemptsLeft, resumeAfter, softwareVersion }
    const message = encodeForward(envelope, body)
    this.holder.grow(message.length)
    this.options.pool.dispatch({ method: 'POST', path: forwardPath, headers: [forwardingVmHeader, this.options.sender, formatHeader, String(messageFormat)], body: message }, this)
  }

  abort (): void {
    if (!this.isOver) this.close()
  }

  /** Detaches the listener, and lets the other VM finish: a run until its answer begins, an answer as long as it is short. */
  detach ({ answerTimeoutMilliseconds = detachedRunTimeoutMilliseconds }: DetachOptions = {}): void {
    if (this.isOver) return
    this.endListening(this.isAnswered ? discardedAnswerTimeoutMilliseconds : answerTimeoutMilliseconds)
    this.controller?.resume()
  }

  /** Continues reading the answer after the listener could take no more. */
  resume (): void {
    if (!this.isOver) this.controller?.resume()
  }

  /** Whether the other VM has confirmed that it received the request. */
  get isUnderWay (): boolean {
    return this.isReceiptConfirmed
  }

  /** Whether the confirmation of receipt from the other VM is overdue. */
  isReceiptOverdue (now: number): boolean {
    return !this.isReceiptConfirmed && now - this.sentAt > this.options.roundTripMilliseconds * 2 + forwardReceiptTimeoutMilliseconds
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.controller = controller
    if (this.isAborted) controller.abort(new CallFailure(CallFailureKind.Broken, 'forwarded call aborted'))
  }

  onResponseStart (_controller: Dispatcher.DispatchController, _status: number, headers: IncomingHttpHeaders): void {
    this.isReceiptConfirmed = true
    this.answerFormat = readFormat(headers[formatHeader])
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.isOver) return this.discard(chunk)
    for (const frame of this.reader.push(chunk)) {
      if (this.isOver) return
      if (!this.handleFrame(frame)) controller.pause()
    }
  }

  onResponseEnd (): void {
    this.holder.release()
    this.timeLimits.delete(this.limitedCall)
    if (this.isOver) return
    this.isOver = true
    this.options.listener.onFailure(new CallFailure(CallFailureKind.Broken, 'the forwarded answer ended without its end frame'))
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    this.holder.release()
    this.timeLimits.delete(this.limitedCall)
    if (this.isOver) return
    this.isOver = true
    const kind = this.controller === undefined ? CallFailureKind.NotSent : CallFailureKind.Broken
    this.options.listener.onFailure(new CallFailure(kind, error.message))
  }

  private endListening (timeoutMilliseconds: number): void {
    this.isOver = true
    this.timeLimits.add(this.limitedCall, timeoutMilliseconds)
  }

  private discard (chunk: Buffer): void {
    this.discardedBytes += chunk.length
    if (this.discardedBytes > maximumDiscardedAnswerBytes) this.close()
  }

  private close (): void {
    this.isOver = true
    this.isAborted = true
    this.holder.release()
    this.timeLimits.delete(this.limitedCall)
    this.controller?.abort(new CallFailure(CallFailureKind.Broken, 'forwarded call aborted'))
  }

  /** Fails the request on a frame that can't be read, or doesn't belong here; undici would close the connection on an exception, and the listener might wait for ever. */
  private handleFrame (frame: Frame): boolean {
    const answer = readAnswerFrame(frame, { attempt: this.attempt, isAnswered: this.isAnswered })
    const { listener } = this.options
    // A frame of a newer build that means nothing here; those that are known still tell how the answer ends.
    if (this.answerFormat > messageFormat && !isKnownFrame(frame)) return true
    switch (answer?.kind) {
      case FrameKind.Received:
        return true
      case FrameKind.Head: {
        this.isAnswered = true
        listener.onForwardedHead(answer.head)
        return true
      }
      case FrameKind.Data:
        return listener.onData(frame.content)
      case FrameKind.End:
        this.endListening(discardedAnswerTimeoutMilliseconds)
        listener.onEnd(AnswerFraming.EndFrame)
        return true
      case FrameKind.Refused:
        this.endListening(discardedAnswerTimeoutMilliseconds)
        listener.onForwardedRefusal(answer.refusal)
        return true
      case FrameKind.Failed:
        this.endListening(discardedAnswerTimeoutMilliseconds)
        listener.onForwardedFailure(answer.failure.kind, answer.failure.detail)
        return true
      default:
        this.close()
        listener.onForwardedFailure(AnswerFailureKind.UpstreamBroke, `a malformed or misplaced frame of kind ${frame.kind}`)
        return true
    }
  }
}
