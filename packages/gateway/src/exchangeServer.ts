/**
 * HTTP server that knows its exchanges: requests that are not read to their
 * end, or whose answers were not handed to the operating system. Node's own
 * server counts a connection as idle as soon as its answer was ended, although
 * bytes of it may wait for a slow caller.
 */

import { Server, STATUS_CODES } from 'node:http'
import { Socket } from 'node:net'
import { ConnectionHolding } from './connectionHolding.js'
import { PacedReading, ReadingTurns } from './pacedReading.js'
import { halfClosedTimeoutMilliseconds, maximumDiscardedBodyBytes, maximumOpenRequests, refusedConnectionTimeoutMilliseconds } from './constants.js'
import type { CallerMemory } from './callerMemory.js'
import type { IncomingMessage, RequestListener, ServerOptions, ServerResponse } from 'node:http'

/** As Node's: a request that was sent within the promised time still finds the connection open. */
const idleTimeoutMarginMilliseconds = 1_000
/** Time from the accepting of a connection within which its first request comes: a round trip and some. */
const firstRequestMilliseconds = 500
/** Time for which the connections are accepted that wait as the server is to stop listening. */
const maximumAcceptingMilliseconds = 300

interface Connection {
  readonly exchanges: Set<ServerResponse>
  readonly reading: PacedReading
  readonly holding: ConnectionHolding
  readonly openedAt: number
  /** Bytes read by the end of the last request; undefined before it. More bytes are the begin of another request. */
  bytesReadAtEnd: number | undefined
  /** Time of the end of the last exchange. */
  idleSince: number
  /** Whether an answer has announced that the connection closes after it. */
  isClosing: boolean
  /** Whether nothing more can be read, so that the connection closes after the answers to the requests that were read. */
  isUnreadable: boolean
  /** Whether its last answer and the end of its side were sent, and it waits for the caller to close the other side. */
  isHalfClosed: boolean
  /** Whether another protocol is spoken on it. */
  isUpgraded: boolean
}

export interface ExchangeServerOptions extends ServerOptions {
  /** Whether another listener takes connections over that ask for an upgrade. */
  readonly acceptsUpgrades?: boolean
  /** Number of connections beyond which one that waits for a request is closed for each new one. */
  readonly maximumConnections?: number
  /** Closes a connection on which a request is open; false if none may be. Asked when there is none that waits. */
  readonly makeRoom?: () => boolean
  /** Whether requests may be read that were sent before the answers to earlier ones of their connection. */
  readonly mayReadAhead?: () => boolean
  /** What counts connections, open requests and unread answers; they aren't counted if undefined. */
  readonly memory?: CallerMemory | undefined
}

/** Statuses by the code of the error that ended the reading, as Node's; any other error means a malformed request. */
const statusByReadError: Readonly<Record<string, number>> = { ERR_HTTP_REQUEST_TIMEOUT: 408, HPE_CHUNK_EXTENSIONS_OVERFLOW: 413, HPE_HEADER_OVERFLOW: 431 }
const malformedStatus = 400
/** Part of the connections that may be open beyond their limit while others are being closed. */
const closingShare = 0.25
/** Time by which a connection that has had a request is preferred to one that has had none, and that to one whose answer was sent. */
const usedConnectionMilliseconds = 10_000
const expectationFailedStatus = 417

export class ExchangeServer extends Server {
  private readonly openConnections = new Map<Socket, Connection>()
  private readonly turns: ReadingTurns
  private acceptedCount = 0
  /** Time from the end of an answer within which its connection doesn't count as idle, since the next request may be on its way. */
  nextRequestMilliseconds = 0

  /**
   * With refuseConnection, a new connection for which it returns an answer gets
   * that answer and is closed, without anything being read as a request.
   */
  constructor ({ acceptsUpgrades = false, memory, maximumConnections = Infinity, makeRoom = () => false, mayReadAhead = () => true, ...options }: ExchangeServerOptions, handle: RequestListener, refuseConnection?: () => string | undefined) {
    // Node would answer such requests by itself, unseen.
    super({ ...options, requireHostHeader: false })
    this.turns = new ReadingTurns(mayReadAhead)
    // No peer sends more before its upgrade was answered.
    if (acceptsUpgrades) this.on('upgrade', (_request, socket) => this.beginUpgrade(socket as Socket))
    this.on('connection', (socket: Socket) => {
      this.acceptedCount += 1
      const exchanges = new Set<ServerResponse>()
      const reading = new PacedReading({
        socket,
        turns: this.turns,
        mayRead: () => this.mayRead(socket),
        isInBody: () => lastOf(exchanges)?.req.complete === false,
        hasOpenRequest: () => exchanges.size > 0,
        onLongHead: (bytes) => holding.recordLongHead(bytes)
      })
      const holding = new ConnectionHolding({ socket, exchanges, memory })
      this.openConnections.set(socket, { exchanges, reading, holding, openedAt: performance.now(), bytesReadAtEnd: undefined, idleSince: -Infinity, isClosing: false, isUnreadable: false, isHalfClosed: false, isUpgraded: false })
      socket.once('close', () => this.onClose(socket))
      if (!holding.open() || !this.hasPlace({ maximumConnections, makeRoom })) socket.destroy()
    })
    if (refuseConnection !== undefined) this.screenConnections(refuseConnection)
    this.on('clientError', (error: NodeJS.ErrnoException, socket) => this.onReadError(error, socket as Socket))
    const handleExchange: RequestListener = (request, response) => {
      if (!this.beginExchange(request, response)) return
      const status = unhandledStatus(request)
      if (status === undefined) handle(request, response)
      else this.answerUnhandled(response, status)
    }
    // With the listener of 'checkContinue', the body is asked for by the handler.
    for (const event of ['request', 'checkContinue', 'checkExpectation']) this.on(event, handleExchange)
  }

  /** Runs before the listener of Node's server, which begins to parse. */
  private screenConnections (refuseConnection: () => string | undefined): void {
    const listeners = this.listeners('connection')
    this.removeAllListeners('connection')
    this.on('connection', (socket: Socket) => {
      const answer = refuseConnection()
      if (answer !== undefined) return refuseUnread(socket, answer)
      for (const listener of listeners) listener.call(this, socket)
    })
  }

  get exchangeCount (): number {
    let count = 0
    for (const { exchanges, isHalfClosed } of this.openConnections.values()) count += isHalfClosed ? 0 : exchanges.size
    return count
  }

  /** Connections on which a part of a request was read, or on which the first or the next one may be on its way. */
  get awaitedCount (): number {
    const now = performance.now()
    return [...this.openConnections].filter(([socket, connection]) => this.isAwaited(socket, connection, now)).length
  }

  get connectionCount (): number {
    return this.openConnections.size
  }

  /** Answers that were not handed to the operating system, on connections that can still send them. */
  get unsentAnswers (): readonly ServerResponse[] {
    return [...this.openConnections.values()].flatMap(({ exchanges, isHalfClosed }) => isHalfClosed ? [] : [...exchanges].filter(({ writableFinished }) => !writableFinished))
  }

  /** Connections whose answers were sent, and whose callers haven't closed them yet. */
  get halfClosedCount (): number {
    return [...this.openConnections.values()].filter(({ isHalfClosed }) => isHalfClosed).length
  }

  /** Counts the part of an answer that waits to be sent. */
  recordUnsent (response: ServerResponse): void {
    this.openConnections.get(response.req.socket)?.holding.recordUnsent()
  }

  /** Resets the connections whose callers have read nothing of their answers for a time. */
  resetUnread (milliseconds: number): void {
    const now = performance.now()
    for (const [socket, { exchanges, holding }] of this.openConnections) {
      if (exchanges.size > 0 && holding.unreadMilliseconds(now) > milliseconds) socket.resetAndDestroy()
    }
  }

  /** Resolves once no connection waits to be accepted, or after a time. The event loop accepts only one or a few each time that it polls. */
  async acceptWaiting (): Promise<void> {
    const until = performance.now() + maximumAcceptingMilliseconds
    for (let known = -1; known !== this.acceptedCount && performance.now() < until;) {
      known = this.acceptedCount
      await polled()
    }
  }

  /** Closes the connections that have had an exchange, are in none and await none; Node calls this too when the server stops listening. */
  override closeIdleConnections (): void {
    const now = performance.now()
    for (const [socket, connection] of this.openConnections) {
      const { exchanges, bytesReadAtEnd, isHalfClosed } = connection
      if (exchanges.size === 0 && !isHalfClosed && bytesReadAtEnd !== undefined && !this.isAwaited(socket, connection, now)) socket.destroy()
    }
  }

  /**
   * Whether the answer may announce that its connection closes, which is so if no
   * later request was read there. Requests that come after that are ignored:
   * their answers could not be sent. Once the answer was sent, only this side of
   * the connection is closed (RFC 9112, section 9.6).
   */
  announceClose (response: ServerResponse): boolean {
    const connection = this.openConnections.get(response.req.socket)
    if (connection === undefined || lastOf(connection.exchanges) !== response) return false
    connection.isClosing = true
    const { socket } = response.req
    // Node calls this after the answer.
    socket.destroySoon = () => halfClose(socket, connection, halfClosedTimeoutMilliseconds)
    return true
  }

  /** Closes the answers that waited for an earlier one: Node gives them no socket, and thus no 'close'. */
  private onClose (socket: Socket): void {
    const connection = this.openConnections.get(socket)
    const exchanges = connection?.exchanges ?? []
    connection?.holding.release()
    this.openConnections.delete(socket)
    for (const response of exchanges) {
      if (response.socket !== null || response.writableFinished) continue
      response.destroy()
      response.emit('close')
    }
  }

  /** Refuses what could not be read, as Node does, but only after the answers to earlier requests: it would be taken for one of them. */
  private onReadError ({ code = '' }: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.openConnections.get(socket)
    const isOpen = socket.writable && !socket.readableEnded
    if (connection !== undefined && isOpen && hasReadRequest(connection)) {
      connection.isClosing = true
      connection.isUnreadable = true
      return
    }
    const hasAnswer = [...connection?.exchanges ?? []].some(({ headersSent }) => headersSent)
    const status = statusByReadError[code] ?? malformedStatus
    if (socket.writable && !hasAnswer) socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nConnection: close\r\n\r\n`)
    closeUnreadable(socket, connection)
  }

  private isAwaited (socket: Socket, { exchanges, reading, openedAt, bytesReadAtEnd, idleSince, isHalfClosed }: Connection, now: number): boolean {
    if (exchanges.size > 0 || isHalfClosed) return false
    // The bytes of the next request were read, and wait to be parsed.
    if (reading.isPaused) return true
    if (bytesReadAtEnd === undefined) return socket.bytesRead > 0 || now - openedAt <= firstRequestMilliseconds
    return socket.bytesRead !== bytesReadAtEnd || now - idleSince < this.nextRequestMilliseconds
  }

  private beginUpgrade (socket: Socket): void {
    const connection = this.openConnections.get(socket)
    if (connection === undefined) return
    connection.isUpgraded = true
    connection.reading.end()
  }

  /** Whether the connection that was just accepted has a place, after others were closed if need be. */
  private hasPlace ({ maximumConnections, makeRoom }: { readonly maximumConnections: number, readonly makeRoom: () => boolean }): boolean {
    if (this.openConnections.size <= maximumConnections) return true
    const leastNeeded = this.leastNeeded
    if (leastNeeded !== undefined) {
      leastNeeded.destroy()
      return true
    }
    // Its connection is closed some time after its answer.
    return makeRoom() && this.openConnections.size <= maximumConnections * (1 + closingShare)
  }

  /**
   * The connection that can be closed at the least loss: one whose answer was sent
   * and whose caller hasn't closed it, one that has had no request, or one that
   * waits for the next, the oldest first; undefined if there is none but the newest.
   */
  private get leastNeeded (): Socket | undefined {
    let chosen: { readonly socket: Socket, readonly since: number } | undefined
    const newest = [...this.openConnections.keys()].at(-1)
    for (const [socket, { exchanges, reading, openedAt, idleSince, bytesReadAtEnd, isHalfClosed, isUpgraded }] of this.openConnections) {
      const isBusy = !isHalfClosed && (exchanges.size > 0 || reading.isPaused)
      if (isBusy || isUpgraded || socket === newest || socket.destroyed) continue
      const since = isHalfClosed ? openedAt - usedConnectionMilliseconds : bytesReadAtEnd === undefined ? openedAt : idleSince + usedConnectionMilliseconds
      if (chosen === undefined || since < chosen.since) chosen = { socket, since }
    }
    return chosen?.socket
  }

  /** Whether more may be parsed: what ends the last request, or a further one. */
  private mayRead (socket: Socket): boolean {
    const connection = this.openConnections.get(socket)
    if (connection === undefined) return true
    const { exchanges, isClosing } = connection
    return lastOf(exchanges)?.req.complete === false || (!isClosing && exchanges.size < maximumOpenRequests)
  }

  /** Answers as Node does. */
  private answerUnhandled (response: ServerResponse, status: number): void {
    response.req.resume()
    const headers = this.announceClose(response) ? { connection: 'close' } : {}
    response.writeHead(status, { ...headers, 'content-length': 0 }).end()
  }

  /** False if the request is to be ignored. */
  private beginExchange (request: IncomingMessage, response: ServerResponse): boolean {
    const { socket } = request
    const connection = this.openConnections.get(socket)
    if (connection === undefined || connection.isClosing) {
      // An unread body would stop the reading of the connection.
      request.resume()
      return false
    }
    connection.exchanges.add(response)
    connection.reading.beginRequest()
    connection.holding.begin({ hasSentAhead: connection.reading.hasSentAhead })
    if (hasBody(request)) {
      // Node calls this after the answer, which may be a refusal that comes before the end of the body.
      socket.destroySoon = () => {
        if (request.complete) Socket.prototype.destroySoon.call(socket)
        else halfClose(socket, connection, halfClosedTimeoutMilliseconds)
      }
    }
    let partsUnderWay = 2
    const endPart = (): void => {
      partsUnderWay -= 1
      if (partsUnderWay > 0) return
      connection.exchanges.delete(response)
      connection.holding.end()
      connection.reading.resume()
      connection.idleSince = performance.now()
      if (connection.isUnreadable && !hasReadRequest(connection)) closeUnreadable(socket, connection)
    }
    request.once('close', () => {
      connection.bytesReadAtEnd = socket.bytesRead
      endPart()
    })
    response.once('close', endPart)
    const promisedIdleMilliseconds = this.keepAliveTimeout
    response.once('finish', () => keepIdleTime(socket, promisedIdleMilliseconds))
    return true
  }
}

/** Sends the answer and its end. */
const refuseUnread = (socket: Socket, answer: string): void => {
  socket.on('error', () => { /* 'close' follows */ })
  socket.write(answer)
  discardUntilClosed(socket, refusedConnectionTimeoutMilliseconds)
}

/** Closes a connection on which nothing more can be read, visibly incomplete if an answer is under way. */
const closeUnreadable = (socket: Socket, connection: Connection | undefined): void => {
  if (connection === undefined || connection.exchanges.size > 0 || !socket.writable) socket.destroy()
  else halfClose(socket, connection, refusedConnectionTimeoutMilliseconds)
}

/** Ends this side of a connection after its last answer. */
const halfClose = (socket: Socket, connection: Connection, timeoutMilliseconds: number): void => {
  if (connection.isHalfClosed) return
  connection.isClosing = true
  connection.isHalfClosed = true
  connection.reading.end()
  socket.removeAllListeners('data')
  discardUntilClosed(socket, timeoutMilliseconds)
}

/**
 * Ends this side of a connection. What the caller sends is discarded until its
 * end, within a time and a number of bytes: closing with unread data would reset
 * the connection, and the caller could lose the answer.
 */
const discardUntilClosed = (socket: Socket, timeoutMilliseconds: number): void => {
  const maximumBytes = socket.bytesRead + maximumDiscardedBodyBytes
  const timer = setTimeout(() => socket.destroy(), timeoutMilliseconds)
  socket.on('close', () => clearTimeout(timer))
  socket.on('data', () => { if (socket.bytesRead > maximumBytes) socket.destroy() })
  socket.resume()
  socket.end()
}

/** Resolves after the event loop has accepted and read what waited in the kernel. */
export const polled = async (): Promise<void> => await new Promise((resolve) => {
  // The first turn may come before the sockets are polled.
  setImmediate(() => setImmediate(resolve))
})

const hasBody = ({ headers }: IncomingMessage): boolean => headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined

const lastOf = (exchanges: ReadonlySet<ServerResponse>): ServerResponse | undefined => {
  let last: ServerResponse | undefined
  for (const exchange of exchanges) last = exchange
  return last
}

/** Status of a request that breaks the protocol (RFC 9110, sections 7.2 and 10.1.1); undefined for others. */
const unhandledStatus = ({ headers, httpVersion }: IncomingMessage): number | undefined => {
  if (httpVersion === '1.1' && headers.host === undefined) return malformedStatus
  return headers.expect === undefined || headers.expect.toLowerCase() === '100-continue' ? undefined : expectationFailedStatus
}

const hasReadRequest = ({ exchanges }: Connection): boolean => [...exchanges].some(({ req }) => req.complete)

/** Node starts the idle time of a connection with the current limit, although the answer's head has promised that of its own time. */
const keepIdleTime = (socket: Socket, promisedMilliseconds: number): void => {
  const { timeout } = socket
  // Node sets no timeout while another request is under way on the connection.
  if (timeout !== undefined && timeout > 0 && timeout < promisedMilliseconds) socket.setTimeout(promisedMilliseconds + idleTimeoutMarginMilliseconds)
}
