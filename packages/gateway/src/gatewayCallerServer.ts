/**
 * HTTP server of the gateway process for callers: admits requests by the
 * configuration and the team's rate, reads their bodies and starts their
 * executions. The caller server of cuminvaled is in the daemon package.
 */

import { STATUS_CODES } from 'node:http'
import { RefusalReason, millisecondsPerSecond, refuse } from '@cuminvale/common'
import { AnswerFailureKind } from './answerSink.js'
import { BodyReading } from './bodyReading.js'
import { connectionLimitsOf } from './connectionLimits.js'
import { CutAnswers } from './cutAnswers.js'
import { continuesStream } from './continuesStream.js'
import { discardBody } from './discardBody.js'
import { ExchangeServer, polled } from './exchangeServer.js'
import { describeError } from './errors.js'
import { startExecution } from './startExecution.js'
import { findTakenUpStream } from './findTakenUpStream.js'
import { ReadRequest } from './readRequest.js'
import { RequestIntake } from './requestIntake.js'
import { headerCheckIntervalMilliseconds, leavingNextRequestMilliseconds, maximumDiscardedBodyBytes, callerBacklog, maximumRequestHeaderBytes, startingRateRetryMilliseconds, unknownOriginRetryMilliseconds } from './constants.js'
import type { Refusal } from '@cuminvale/common'
import type { AdmittedRequest, RequestHead, SoftwareVersion } from '@cuminvale/serving'
import type { GatewayMetrics } from './gatewayMetrics.js'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { AnswerSink } from './answerSink.js'
import type { RequestLog } from './requestLog.js'
import type { GatewayState } from './gatewayState.js'

const statusByFailure = { [AnswerFailureKind.UpstreamBroke]: 502, [AnswerFailureKind.TimedOut]: 504 } as const

interface ChargedRequest {
  readonly request: AdmittedRequest
  readonly body: Buffer | null
  readonly receivedAt: number
  /** Software version that a stream must go on at. */
  readonly softwareVersion: SoftwareVersion | undefined
}

const overloadedRefusal = refuse(RefusalReason.QueueFull, 'more requests than the processor can serve')
const overloadedText = `${overloadedRefusal.detail}\n`

const encodeSeconds = (milliseconds: number): string => (milliseconds / millisecondsPerSecond).toFixed(2)

interface CallerAnswerSinkOptions {
  readonly state: GatewayState
  readonly server: ExchangeServer
  readonly cutAnswers: CutAnswers
  /** Whether the connection closes after the answer. */
  readonly closes: boolean
}

class CallerAnswerSink implements AnswerSink {
  constructor (private readonly response: ServerResponse, private readonly options: CallerAnswerSinkOptions) {}

  head (status: number, headers: readonly string[]): void {
    this.response.writeHead(status, this.withConnectionClose(headers))
  }

  data (chunk: Buffer): boolean {
    const isTaken = this.response.write(chunk)
    if (!isTaken) this.options.server.recordUnsent(this.response)
    return isTaken
  }

  end (): void {
    this.response.end()
  }

  refuse (refusal: Refusal): void {
    const headers = ['content-type', 'text/plain']
    if (refusal.retryAfterMilliseconds !== undefined && Number.isFinite(refusal.retryAfterMilliseconds)) {
      headers.push('retry-after', encodeSeconds(refusal.retryAfterMilliseconds))
    }
    this.close(this.options.state.codec.statusOf(refusal), headers, refusal.detail)
  }

  fail (kind: AnswerFailureKind, detail: string): void {
    this.close(statusByFailure[kind], ['content-type', 'text/plain'], detail)
  }

  abort (): void {
    this.options.cutAnswers.record(this.response)
    const { chunkedEncoding, socket } = this.response
    // Without chunks, a caller of HTTP/1.0 takes an orderly close for the end of the answer. One that waits for an earlier answer has no socket, and sends nothing.
    if (chunkedEncoding || socket === null) this.response.destroy()
    else socket.resetAndDestroy()
  }

  private close (status: number, headers: string[], text: string): void {
    const body = Buffer.from(`${text}\n`)
    headers.push('content-length', String(body.length))
    this.response.writeHead(status, this.withConnectionClose(headers))
    this.response.end(body)
  }

  /** Adds `connection: close` to the last answer of a connection, also while this VM shuts down, so that callers connect to another one. */
  private withConnectionClose (headers: readonly string[]): string[] {
    const { state, server, closes } = this.options
    return (closes || state.isLeaving) && server.announceClose(this.response) ? [...headers, 'connection', 'close'] : [...headers]
  }
}

export class GatewayCallerServer {
  private readonly server: ExchangeServer
  private readonly cutAnswers: CutAnswers
  private readonly intake: RequestIntake
  /** The last request that was started on each connection. */
  private readonly lastStarted = new WeakMap<Socket, { readonly response: ServerResponse, readonly deadlineAt: number }>()
  /** Whether limits of a configuration are in force, rather than those of Node. */
  private hasLimits = false

  constructor (private readonly state: GatewayState, private readonly requestLog: RequestLog, metrics: GatewayMetrics) {
    this.server = new ExchangeServer({
      memory: state.callerMemory,
      maximumConnections: connectionLimitsOf(state.settings).callers,
      makeRoom: () => state.callerMemory.giveWayOne(),
      mayReadAhead: () => !this.intake.hasWaiting,
      maxHeaderSize: maximumRequestHeaderBytes,
      connectionsCheckingInterval: headerCheckIntervalMilliseconds,
      noDelay: true
    }, (request, response) => this.guard(request, response, () => this.handle(request, response)), () => this.connectionRefusal())
    this.server.requestTimeout = 0
    this.cutAnswers = new CutAnswers(state)
    this.intake = new RequestIntake({
      state,
      metrics,
      start: (read) => this.guard(read.response.req, read.response, () => this.serve(read)),
      refuse: ({ response, request: { head, configurationVersion } }, refusal) => this.guard(response.req, response, () => {
        this.requestLog.refused(head, refusal, configurationVersion)
        this.sinkOf(response).refuse(refusal)
      }),
      onLeft: ({ request, receivedAt }) => this.requestLog.leftBeforePlacement(request, receivedAt)
    })
  }

  async listen (host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen({ host, port, backlog: callerBacklog }, () => resolve())
    })
  }

  get port (): number {
    const address = this.server.address()
    return address === null || typeof address === 'string' ? 0 : address.port
  }

  get exchangeCount (): number {
    return this.server.exchangeCount
  }

  /** Applies the configured timeouts for idle connections and for request heads. */
  applyTimeouts (): void {
    const limits = this.state.configuration?.document.limits
    if (limits === undefined) return
    this.server.keepAliveTimeout = limits.idleTimeoutMilliseconds
    const { headersTimeout } = this.server
    if (!this.hasLimits || limits.headerTimeoutMilliseconds >= headersTimeout) this.server.headersTimeout = limits.headerTimeoutMilliseconds
    // Heads that are under way were begun under the longer limit.
    else setTimeout(() => { this.server.headersTimeout = this.state.configuration?.document.limits.headerTimeoutMilliseconds ?? headersTimeout }, headersTimeout).unref()
    this.hasLimits = true
  }

  /** Number of connections on which a request is expected. */
  get awaitedCount (): number {
    return this.server.awaitedCount
  }

  /** Number of connections whose answers were sent, and whose callers haven't closed them yet. */
  get halfClosedCount (): number {
    return this.server.halfClosedCount
  }

  get connectionCount (): number {
    return this.server.connectionCount
  }

  /** Answers whose connections were closed before they were sent, while this VM stopped. */
  get cutAnswerCount (): number {
    return this.cutAnswers.count
  }

  /** Closes the connections with answers that were not sent. */
  cutUnsent (): void {
    for (const response of this.server.unsentAnswers) {
      this.cutAnswers.record(response)
      response.req.socket.destroy()
    }
  }

  /** Resets the connections whose callers read nothing of their answers for as long as they may be idle. */
  resetUnread (): void {
    const limits = this.state.configuration?.document.limits
    if (limits !== undefined) this.server.resetUnread(limits.idleTimeoutMilliseconds)
  }

  /** From now on, connections are closed only some time after their last answer. */
  awaitNextRequests (): void {
    this.server.nextRequestMilliseconds = leavingNextRequestMilliseconds
  }

  /** Closes idle connections, after what waits on them was read. */
  async closeIdle (): Promise<void> {
    await polled()
    this.server.closeIdleConnections()
  }

  /** Stops listening, after the connections that wait were accepted: the kernel resets the others. */
  async stopListening (): Promise<void> {
    await this.server.acceptWaiting()
    this.server.close()
    this.server.closeIdleConnections()
  }

  closeAll (): void {
    this.intake.close()
    this.server.close()
    this.server.closeAllConnections()
  }

  /** The answer to a new connection that is refused unread; undefined if it is accepted. */
  private connectionRefusal (): string | undefined {
    const retryAfterMilliseconds = this.intake.connectionRefusal()
    if (retryAfterMilliseconds === undefined) return undefined
    const status = this.state.codec.statusOf(overloadedRefusal)
    return `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nconnection: close\r\ncontent-type: text/plain\r\nretry-after: ${encodeSeconds(retryAfterMilliseconds)}\r\ncontent-length: ${overloadedText.length}\r\n\r\n${overloadedText}`
  }

  /** Runs a step of a request before its execution. If it throws, the request was not sent, and is refused. */
  private guard (request: IncomingMessage, response: ServerResponse, step: () => void): void {
    try {
      step()
    } catch (error) {
      this.state.log.error('request-error', { detail: describeError(error) })
      request.resume()
      if (response.headersSent) response.destroy()
      else this.sinkOf(response).refuse(refuse(RefusalReason.NotReady, 'a fault of the gateway'))
    }
  }

  private handle (request: IncomingMessage, response: ServerResponse): void {
    const { state } = this
    response.sendDate = false
    response.on('error', () => { /* 'close' follows and ends the execution */ })
    const now = state.clock.monotonic()
    const receivedAt = now - this.intake.unreadMilliseconds(now)
    const head = state.codec.decodeRequest(request)
    const { configuration } = state
    if (configuration === undefined) {
      return this.refuse(request, response, head, refuse(RefusalReason.NotReady, 'no configuration is known yet', { retryAfterMilliseconds: 300 }))
    }
    const admitted = configuration.admit(head, state.random, (route) => state.versions.targetsFor(route, head))
    if (admitted.isErr) return this.refuse(request, response, head, admitted.error)
    this.readBody(request, response, admitted.value, receivedAt)
  }

  private readBody (request: IncomingMessage, response: ServerResponse, admitted: AdmittedRequest, receivedAt: number): void {
    const body = new BodyReading({
      state: this.state,
      request,
      response,
      deadlineAt: receivedAt + Math.min(admitted.head.deadlineMilliseconds ?? Infinity, admitted.route.timeoutMilliseconds),
      onRefused: (refusal, { closes }) => this.refuse(request, response, admitted.head, refusal, { closes }),
      onRead: (bytes, holder) => {
        if (response.destroyed) return holder?.release()
        if (holder !== undefined) response.once('close', () => holder.release())
        this.guard(request, response, () => this.intake.take(new ReadRequest(response, admitted, bytes, receivedAt)))
      }
    })
    body.start()
  }

  private serve ({ response, request, body, receivedAt }: ReadRequest): void {
    const { state } = this
    const sink = this.sinkOf(response)
    const { team, charge, head } = request
    if (team !== undefined && !state.rateLimiter.trySpend(team, charge)) {
      const waitMilliseconds = state.rateLimiter.millisecondsUntilAvailable(team)
      const retryAfterMilliseconds = state.isDiscoveringPeers ? Math.min(waitMilliseconds, startingRateRetryMilliseconds) : waitMilliseconds
      const refusal = refuse(RefusalReason.RateExceeded, `team "${team.id}" has used its rate`, { retryAfterMilliseconds })
      this.requestLog.refused(head, refusal, request.configurationVersion)
      return sink.refuse(refusal)
    }
    const charged: ChargedRequest = { request, body, receivedAt, softwareVersion: undefined }
    if (!continuesStream(request)) return this.execute(response, sink, charged)
    findTakenUpStream(state, request).then((stream) => {
      if (response.destroyed) return this.refund(request)
      const { origin } = stream
      if (origin !== undefined) return this.execute(response, sink, { ...charged, request: { ...request, service: origin.service }, softwareVersion: origin.softwareVersion })
      this.refund(request)
      const refusal = refuse(RefusalReason.NoUpstream, `the version at which the stream began is not known: ${stream.reason}`, { retryAfterMilliseconds: unknownOriginRetryMilliseconds })
      this.requestLog.refused(head, refusal, request.configurationVersion)
      sink.refuse(refusal)
    }).catch((error: unknown) => {
      state.log.error('request-error', { detail: describeError(error) })
      response.destroy()
    })
  }

  private refund ({ team, charge }: AdmittedRequest): void {
    if (team !== undefined) this.state.rateLimiter.refund(team, charge)
  }

  private execute (response: ServerResponse, sink: CallerAnswerSink, { request, body, receivedAt, softwareVersion }: ChargedRequest): void {
    const { state } = this
    const { route, head } = request
    const deadlineAt = receivedAt + Math.min(head.deadlineMilliseconds ?? Infinity, route.timeoutMilliseconds)
    const { socket } = response.req
    const preceding = this.lastStarted.get(socket)
    const precedingEndsAt = preceding?.response.writableFinished === false ? preceding.deadlineAt : undefined
    this.lastStarted.set(socket, { response, deadlineAt: Math.max(deadlineAt, precedingEndsAt ?? -Infinity) })
    startExecution(response, {
      state,
      request,
      body,
      softwareVersion,
      deadlineAt,
      precedingEndsAt,
      firstAnswerDueAt: receivedAt + route.objectiveMilliseconds - state.attemptAges.waitedMilliseconds(route.name, head.deadlineMilliseconds),
      mayForward: true,
      attemptsLeft: route.maximumAttempts,
      sink,
      onEnded: (execution) => {
        if (execution.outcome === 'refused') this.refund(request)
        this.requestLog.ended(execution, { receivedAt, isForwarded: false })
      }
    })
  }

  private sinkOf (response: ServerResponse, { closes }: { readonly closes: boolean } = { closes: false }): CallerAnswerSink {
    return new CallerAnswerSink(response, { state: this.state, server: this.server, cutAnswers: this.cutAnswers, closes })
  }

  /** With closes, the connection is closed after the answer, and the rest of the body isn't read as one. */
  private refuse (request: IncomingMessage, response: ServerResponse, head: RequestHead, refusal: Refusal, { closes }: { readonly closes: boolean } = { closes: false }): void {
    discardBody(request, Math.max(maximumDiscardedBodyBytes, this.state.configuration?.document.limits.bodyBytes ?? 0))
    this.requestLog.refused(head, refusal, this.state.configuration?.version)
    this.sinkOf(response, { closes }).refuse(refusal)
  }
}
