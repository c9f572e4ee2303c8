/**
 * Serves requests that gateway processes of other regions forward, and answers
 * in frames. The regions of a request are checked again here. A request is
 * forwarded only once.
 */

import { RefusalReason, refuse } from '@cuminvale/common'
import { CountedBody } from './countedBody.js'
import { forwardReadTimeoutMilliseconds, maximumForwardBytes, noRoomRetryMilliseconds } from './constants.js'
import { describeError } from './errors.js'
import { startExecution } from './startExecution.js'
import { forwardingVmHeader } from './forwardCall.js'
import { continuesStream } from './continuesStream.js'
import { formatHeader, messageFormat, readFormat } from './messageFormat.js'
import { FrameKind, encodeFrame, encodePackedFrame, decodeForward } from './forwardFrames.js'
import type { Refusal } from '@cuminvale/common'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { SoftwareVersion } from '@cuminvale/serving'
import type { CallerMemory, MemoryHolder } from './callerMemory.js'
import type { AnswerSink, AnswerFailureKind } from './answerSink.js'
import type { RequestLog } from './requestLog.js'
import type { GatewayState } from './gatewayState.js'

/** Characters of another VM's name that are logged. */
const maximumLoggedNameLength = 64

interface ForwardOrigin {
  /** VM that forwards, for the log; undefined for builds that don't name it. */
  readonly vm: string | undefined
  /** Its message format. */
  readonly format: number
}

class ForwardAnswerSink implements AnswerSink {
  constructor (private readonly response: ServerResponse) {}

  head (status: number, headers: readonly string[], softwareVersion?: SoftwareVersion): void {
    this.response.write(encodePackedFrame(FrameKind.Head, { status, headers, softwareVersion }))
  }

  data (chunk: Buffer): boolean {
    return this.response.write(encodeFrame(FrameKind.Data, chunk))
  }

  end (): void {
    this.response.end(encodeFrame(FrameKind.End))
  }

  refuse (refusal: Refusal): void {
    this.response.end(encodePackedFrame(FrameKind.Refused, refusal))
  }

  fail (kind: AnswerFailureKind, detail: string): void {
    this.response.end(encodePackedFrame(FrameKind.Failed, { kind, detail }))
  }

  abort (): void {
    this.response.destroy()
  }
}

/** The sum of what callers and other VMs send takes all of its memory. */
class NoRoomError extends Error {
  override readonly name = 'NoRoomError'
}

interface ReadForward {
  readonly message: Buffer
  /** Counts the message until it is released; undefined for a short one. */
  readonly holder: MemoryHolder | undefined
}

/** Rejects with a NoRoomError, after which the request has not run and never will. */
const readBody = async (request: IncomingMessage, memory: CallerMemory): Promise<ReadForward> => await new Promise((resolve, reject) => {
  const body = new CountedBody({ request, memory, maximumBytes: maximumForwardBytes, onNoRoom: () => fail(new NoRoomError('no room')) })
  const timer = setTimeout(() => fail(new Error(`it did not come within ${forwardReadTimeoutMilliseconds} ms`)), forwardReadTimeoutMilliseconds)
  const fail = (error: Error): void => {
    clearTimeout(timer)
    body.drop()
    reject(error)
  }
  const failAsTooLong = (): void => fail(new RangeError(`it is longer than ${maximumForwardBytes} bytes`))
  if (memory.isFull) return fail(new NoRoomError('no room'))
  if (body.isTooLong) return failAsTooLong()
  request.on('data', (chunk: Buffer) => {
    if (!body.append(chunk)) failAsTooLong()
  })
  request.on('end', () => {
    clearTimeout(timer)
    const { bytes, holder } = body.take()
    resolve({ message: bytes, holder })
  })
  request.on('close', () => fail(new Error('the connection was closed')))
  request.on('error', fail)
})

export class ForwardServer {
  constructor (private readonly state: GatewayState, private readonly requestLog: RequestLog) {}

  handle (request: IncomingMessage, response: ServerResponse): void {
    response.on('error', () => { /* 'close' follows and ends the execution */ })
    const sender = request.headers[forwardingVmHeader]
    const origin = { vm: typeof sender === 'string' ? sender.slice(0, maximumLoggedNameLength) : undefined, format: readFormat(request.headers[formatHeader]) }
    this.state.recordPeerFormat('forward', origin.format)
    readBody(request, this.state.callerMemory).then(({ message, holder }) => {
      if (response.destroyed) return holder?.release()
      if (holder !== undefined) response.once('close', () => holder.release())
      this.runOrRefuse(message, response, origin)
    }).catch((error: Error) => {
      if (error instanceof NoRoomError) return this.refuseUnread(response)
      this.state.log.warn('forward-unreadable', { detail: error.message })
      response.destroy()
    })
  }

  /** Refuses a request of which a part was read; the rest is discarded with its connection. */
  private refuseUnread (response: ServerResponse): void {
    response.writeHead(200, { [formatHeader]: messageFormat, connection: 'close' })
    new ForwardAnswerSink(response).refuse(refuse(RefusalReason.QueueFull, 'the other VM has no memory for the request', { retryAfterMilliseconds: noRoomRetryMilliseconds }))
  }

  /** Refuses a request that a fault keeps from its execution; until then it was not sent. */
  private runOrRefuse (message: Buffer, response: ServerResponse, origin: ForwardOrigin): void {
    try {
      this.run(message, response, origin)
    } catch (error) {
      this.state.log.error('request-error', { detail: describeError(error) })
      new ForwardAnswerSink(response).refuse(refuse(RefusalReason.NotReady, 'a fault of the other VM'))
    }
  }

  private run (message: Buffer, response: ServerResponse, { vm: sender, format }: ForwardOrigin): void {
    const { envelope, body } = decodeForward(message, format)
    const { state } = this
    response.writeHead(200, { [formatHeader]: messageFormat })
    response.write(encodeFrame(FrameKind.Received, Buffer.from(envelope.request.attempt)))
    const yieldsToMoreUrgent = state.configuration?.yieldsToMoreUrgent(envelope.request.route, envelope.request.service) ?? false
    const request = { ...envelope.request, yieldsToMoreUrgent }
    const sink = new ForwardAnswerSink(response)
    if (request.regions?.has(state.settings.region) === false) {
      return sink.refuse(refuse(RefusalReason.RegionNotAllowed, 'this region is not a home of the request'))
    }
    const { resumeAfter, softwareVersion } = envelope
    // A VM of an earlier version doesn't name the version that a stream must go on at.
    if (softwareVersion === undefined && (resumeAfter !== undefined || continuesStream(request))) {
      return sink.refuse(refuse(RefusalReason.NoUpstream, 'the version at which the stream began was not named'))
    }
    const receivedAt = state.clock.monotonic()
    startExecution(response, {
      state,
      request,
      body,
      deadlineAt: receivedAt + envelope.remainingMilliseconds,
      firstAnswerDueAt: receivedAt + envelope.onTimeMilliseconds,
      mayForward: false,
      attemptsLeft: envelope.attemptsLeft,
      resumeAfter,
      softwareVersion,
      sink,
      onEnded: (execution) => this.requestLog.ended(execution, { receivedAt, isForwarded: true, sender })
    })
  }
}
