/**
 * One request of the gateway process on one upstream connection.
 */

import { isAnswerStatus, isInterimStatus } from '@cuminvale/common'
import { AnswerFraming, framingOf } from './answerFraming.js'
import { firstBlockBytes } from './blockBuffer.js'
import { CallFailure, CallFailureKind } from './errors.js'
import { detachedRunTimeoutMilliseconds, discardedAnswerTimeoutMilliseconds, maximumDiscardedAnswerBytes, misdirectedStatus, refusedStatus } from './constants.js'
import type { AdmittedRequest, AnswerNaming } from '@cuminvale/serving'
import type { Dispatcher } from 'undici'
import type { MemoryHolder } from './callerMemory.js'
import type { AnswerHead } from './types.js'
import type { UpstreamConnection, UpstreamConnections } from './upstreamConnections.js'

export interface UpstreamCallListener {
  onHead (status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void
  /** False if the caller can't take more for now. */
  onData (chunk: Buffer): boolean
  /** False if the answer is incomplete in spite of its framing. */
  onEnd (framing: AnswerFraming): boolean
  onFailure (failure: CallFailure): void
}

export interface UpstreamCallOptions {
  readonly method: string
  readonly path: string
  readonly headers: string[]
  readonly body: Buffer | null
}

export interface DetachOptions {
  /** Time within which the answer must begin. */
  readonly answerTimeoutMilliseconds?: number
}

/** Errors with which undici rejects a request before it connects. */
const unwritableCodes: ReadonlySet<string> = new Set(['UND_ERR_INVALID_ARG', 'UND_ERR_NOT_SUPPORTED'])

/** Whether an answer of this status can state that the request has not run. */
const isRefusal = (status: number): boolean => (status >= 400 && status < 500) || status === refusedStatus

export class UpstreamCall implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined
  /** Asked once the connection is open; false if the request must not be written any more. */
  mayWrite: () => boolean = () => true
  private isWithheld = false
  private isOver = false
  private isDetached = false
  private isAnswered = false
  private isFirstOnConnection = false
  private mayReuse = true
  /** Bytes of the body that were read after the listener was detached. */
  private discardedBytes = 0
  private framing: AnswerFraming = AnswerFraming.Length
  private bodyBytes = 0
  /** Counts the body once nobody else does, as the client keeps it until the answer. */
  private holder: MemoryHolder | undefined

  constructor (
    private readonly connections: UpstreamConnections,
    private readonly connection: UpstreamConnection,
    private readonly listener: UpstreamCallListener
  ) {}

  send ({ method, path, headers, body }: UpstreamCallOptions): void {
    this.bodyBytes = this.connection.uploadBytes = body?.length ?? 0
    this.connection.overhead.mark()
    this.connection.client.dispatch({ method: method as Dispatcher.HttpMethod, path, headers, body }, this)
  }

  /** Monotonic time at which the connection of the call was made. */
  get connectionOpenedAt (): number {
    return this.connection.openedAt
  }

  /** Whether the request was written to a connection. */
  get isUnderWay (): boolean {
    return this.controller !== undefined
  }

  /** Why the answer that has begun is not taken for that of the request; undefined if it is. After an unproven refusal the connection is closed: if it was a copy, the answer itself would follow. */
  flawOf ({ status, attempt: named, isDeclined, promisesNotRun }: AnswerHead, { attempt, isRepeatable }: AdmittedRequest, naming: AnswerNaming): string | undefined {
    const { isFirstOnConnection } = this
    const isSuccess = status >= 200 && status < 300
    this.mayReuse = isFirstOnConnection || named !== undefined || isSuccess
    if (!naming.accepts({ attempt, isRepeatable, named, isSuccess, isFirstOnConnection })) return named === undefined ? 'the answer names no attempt' : 'the answer names another attempt'
    if (isDeclined && !isRefusal(status)) return `status ${status} with the mark of a request that has not run`
    // Passed on, it would promise what the upstream has not said.
    return !isDeclined && promisesNotRun && !isRepeatable && status !== misdirectedStatus ? `status ${status} without the mark of a request that has not run` : undefined
  }

  /** Cancels the call and closes its connection; the listener is not called again. */
  abort (): void {
    if (this.isOver) return
    this.finish()
    this.connections.drop(this.connection)
  }

  /**
   * Detaches the listener, and lets the call finish so that its connection can be
   * reused: a run until its answer begins, an answer as long as it is short.
   */
  detach ({ answerTimeoutMilliseconds = detachedRunTimeoutMilliseconds }: DetachOptions = {}): void {
    if (this.isOver) return
    this.isDetached = true
    this.holdBody()
    if (this.isOver) return
    this.connections.detachedCalls.add(this, this.isAnswered ? discardedAnswerTimeoutMilliseconds : answerTimeoutMilliseconds)
    this.controller?.resume()
  }

  /** Continues reading the answer after the listener could take no more. */
  resume (): void {
    if (!this.isOver) this.controller?.resume()
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    if (!this.mayWrite()) {
      this.isWithheld = true
      return controller.abort(new Error('the upstream takes no more requests for now'))
    }
    this.controller = controller
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void {
    // Undici would go on to take any status below 200 for that of an interim answer.
    if (!isAnswerStatus(status) && !isInterimStatus(status)) return controller.abort(new CallFailure(CallFailureKind.Broken, `status ${status} is none of HTTP, or was not asked for`))
    this.framing = framingOf(status, headers)
    this.connection.isCloseDelimited = this.framing === AnswerFraming.Close
    if (this.isOver || status < 200) return
    this.isAnswered = true
    this.isFirstOnConnection = !this.connection.hasAnswered
    this.connection.hasAnswered = true
    this.connection.overhead.mark()
    if (!this.isDetached) return this.listener.onHead(status, headers)
    // Nobody checks whose answer it is.
    this.mayReuse = this.isFirstOnConnection
    this.connections.detachedCalls.add(this, discardedAnswerTimeoutMilliseconds)
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.isOver) return
    this.connection.overhead.recordBody(chunk.length)
    if (this.isDetached) return this.discard(chunk)
    if (!this.listener.onData(chunk)) controller.pause()
  }

  onResponseEnd (): void {
    if (this.isOver) return
    const { wasReset, wasEnded } = this.connection
    if (wasReset || (wasEnded && this.framing === AnswerFraming.Chunks)) return this.fail(CallFailureKind.Broken, 'the connection ended before the answer did')
    this.finish()
    this.connection.overhead.mark()
    const isWhole = this.isDetached || this.listener.onEnd(this.framing)
    // The next request would wait behind the rest of this one.
    const isWritten = this.connection.socket?.writableLength === 0
    if (isWhole && this.mayReuse && isWritten) this.connections.release(this.connection)
    else this.connections.drop(this.connection)
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    if (!this.isOver) this.fail(this.failureKindOf(error), error.message)
  }

  private failureKindOf ({ code = '' }: Error & { readonly code?: string }): CallFailureKind {
    if (this.isWithheld) return CallFailureKind.Withheld
    if (this.controller !== undefined) return CallFailureKind.Broken
    return unwritableCodes.has(code) ? CallFailureKind.Unwritable : CallFailureKind.NotSent
  }

  private discard (chunk: Buffer): void {
    this.discardedBytes += chunk.length
    if (this.discardedBytes > maximumDiscardedAnswerBytes) this.abort()
  }

  private holdBody (): void {
    if (this.bodyBytes <= firstBlockBytes) return
    this.holder ??= this.connections.memory.hold({ canGiveWay: () => true, giveWay: () => this.abort() })
    this.holder.holdWhole(this.bodyBytes)
  }

  private finish (): void {
    this.isOver = true
    this.holder?.release()
    this.connections.detachedCalls.delete(this)
  }

  private fail (kind: CallFailureKind, detail: string): void {
    this.finish()
    this.connections.drop(this.connection)
    if (!this.isDetached) this.listener.onFailure(new CallFailure(kind, detail))
  }
}
