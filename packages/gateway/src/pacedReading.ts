/**
 * Gives Node's parser what arrives on a connection in short pieces. Node parses
 * a read to its end, which may be a thousand requests or ten thousand chunks;
 * here the rest of a read stays in the socket while the connection may not be
 * read, and waits for its turn while others have something to parse.
 */

import type { Socket } from 'node:net'

/** At the begin of a request; ordinary heads take one or two pieces. */
const headPieceBytes = 1_024
const bodyPieceBytes = 4_096
/** Shorter heads are counted with their connection. */
const longHeadBytes = 8_192
/** Time for which the pieces of one read are parsed in a row. */
const sliceMilliseconds = 1
/** Time in a turn of the event loop for all connections that wait. */
const turnMilliseconds = 5
/** Time after which one connection may read requests ahead in any case. */
const maximumAheadWaitMilliseconds = 50
/** Interval of the check whether they may be read, while no connection is read. */
const aheadCheckMilliseconds = 5
/** Part of a request that is parsed as it comes, though other connections wait. */
const ordinaryRequestBytes = 65_536

/** Connections that have more to parse, each in its turn. */
export class ReadingTurns {
  private readonly waiting = new Set<PacedReading>()
  private immediate: NodeJS.Immediate | undefined
  private timer: NodeJS.Timeout | undefined
  private aheadReadAt = 0

  /** While mayReadAhead is false, requests that were sent ahead are read only now and then. */
  constructor (private readonly mayReadAhead: () => boolean) {}

  get hasWaiting (): boolean {
    return this.waiting.size > 0
  }

  add (reading: PacedReading): void {
    this.waiting.add(reading)
    this.serveNext()
  }

  delete (reading: PacedReading): void {
    this.waiting.delete(reading)
  }

  private serveNext (): void {
    clearTimeout(this.timer)
    this.immediate ??= setImmediate(() => this.serve())
  }

  private serve (): void {
    this.immediate = undefined
    let hasServed = false
    const until = performance.now() + turnMilliseconds
    for (const reading of [...this.waiting]) {
      if (reading.isAhead && !this.takesAhead()) continue
      this.waiting.delete(reading)
      reading.takeTurn()
      hasServed = true
      if (performance.now() >= until) break
    }
    if (this.waiting.size === 0) return
    if (hasServed) return this.serveNext()
    // An immediate would keep the event loop from waiting for the sockets.
    this.timer = setTimeout(() => this.serve(), aheadCheckMilliseconds)
  }

  private takesAhead (): boolean {
    const now = performance.now()
    if (!this.mayReadAhead() && now - this.aheadReadAt < maximumAheadWaitMilliseconds) return false
    this.aheadReadAt = now
    return true
  }
}

/** Whether Node's server waits until more of its answers were sent; its parser reads nothing then. */
const isPausedByServer = (socket: Socket & { readonly _paused?: boolean }): boolean => socket._paused === true

export interface PacedReadingOptions {
  readonly socket: Socket
  readonly turns: ReadingTurns
  /** Whether another piece may be parsed. */
  readonly mayRead: () => boolean
  /** Whether the next bytes are those of a body. */
  readonly isInBody: () => boolean
  /** Whether a request waits for its answer. */
  readonly hasOpenRequest: () => boolean
  /** Called when the head of a request is long, and goes on. */
  readonly onLongHead: (bytes: number) => void
}

export class PacedReading {
  private readonly parse: (chunk: Buffer) => void
  /** Whether it waits for its turn. */
  private isWaiting = false
  /** Whether what it holds is being parsed in its turn. */
  private hasTurn = false
  /** Whether it has paused the socket, until it may be read. */
  private isHeld = false
  /** Whether what is parsed next follows a request of the same read, or one that waits for its answer. */
  private followsRequest = false
  private hasEnded = false
  /** Bytes of the head of a request that isn't complete. */
  private headBytes = 0
  /** Bytes of the request that is being read. */
  private requestBytes = 0
  /** Whether a request has come on it before the answer to an earlier one was sent. */
  hasSentAhead = false

  /** For a socket on which Node's server has begun to parse. */
  constructor (private readonly options: PacedReadingOptions) {
    const { socket } = options
    this.parse = socket.listeners('data')[0] as (chunk: Buffer) => void
    socket.removeListener('data', this.parse)
    socket.on('data', this.receive)
    socket.once('close', () => this.end())
  }

  /** Whether bytes wait in the socket, and in the kernel. */
  get isPaused (): boolean {
    return this.isHeld || this.isWaiting
  }

  /** Whether what comes next was sent before the answer to an earlier request. */
  get isAhead (): boolean {
    const { isInBody, hasOpenRequest } = this.options
    return !isInBody() && (this.followsRequest || hasOpenRequest())
  }

  /** Called once the head of a request is complete. */
  beginRequest (): void {
    this.headBytes = this.requestBytes = 0
    if (this.followsRequest) this.hasSentAhead = true
    this.followsRequest = true
  }

  /** Reads on if the connection was held and may be read again. */
  resume (): void {
    if (!this.isHeld || this.isWaiting || this.hasEnded || !this.mayRead) return
    this.awaitTurn()
  }

  /** Parses no more; what comes is left to others. */
  end (): void {
    this.hasEnded = true
    this.isWaiting = this.isHeld = false
    this.options.socket.removeListener('data', this.receive)
    this.options.turns.delete(this)
  }

  /** Called by ReadingTurns. */
  takeTurn (): void {
    const { socket } = this.options
    this.isWaiting = false
    if (this.hasEnded || socket.destroyed || !this.mayRead) return
    this.hasTurn = true
    try {
      socket.resume()
      // Emits what the socket holds as data.
      socket.read()
    } finally {
      this.hasTurn = false
    }
  }

  private get mayRead (): boolean {
    return !isPausedByServer(this.options.socket) && this.options.mayRead()
  }

  private get mustWait (): boolean {
    return !this.hasTurn && (this.isAhead || (this.requestBytes > ordinaryRequestBytes && this.options.turns.hasWaiting))
  }

  private readonly receive = (chunk: Buffer): void => {
    const { socket, isInBody, onLongHead } = this.options
    if (this.isWaiting || !this.mayRead) return this.hold(chunk)
    if (this.mustWait) return this.holdForTurn(chunk)
    this.followsRequest = this.isAhead
    this.isHeld = false
    let until: number | undefined
    for (let offset = 0; ;) {
      const isBody = isInBody()
      const end = offset + (isBody ? bodyPieceBytes : headPieceBytes)
      const piece = offset === 0 && end >= chunk.length ? chunk : chunk.subarray(offset, end)
      offset += piece.length
      if (!isBody) this.headBytes += piece.length
      this.requestBytes += piece.length
      this.parse(piece)
      if (this.headBytes >= longHeadBytes) onLongHead(this.headBytes)
      if (offset === chunk.length) this.followsRequest = false
      if (offset === chunk.length || this.hasEnded || socket.destroyed) return
      const rest = chunk.subarray(offset)
      // Node has paused it until the body is read, and resumes it.
      if (socket.isPaused()) return socket.unshift(rest)
      if (!this.mayRead) return this.hold(rest)
      if (this.mustWait) return this.holdForTurn(rest)
      const now = performance.now()
      until ??= now + sliceMilliseconds
      if (now >= until) return this.holdForTurn(rest)
    }
  }

  private holdForTurn (rest: Buffer): void {
    this.hold(rest)
    this.awaitTurn()
  }

  private awaitTurn (): void {
    this.isWaiting = true
    this.options.turns.add(this)
  }

  /** In the socket, so that its end isn't seen before the rest was parsed. */
  private hold (rest: Buffer): void {
    const { socket } = this.options
    this.isHeld = true
    socket.pause()
    socket.unshift(rest)
  }
}
