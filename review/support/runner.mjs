/**
 * Stand-in of a runner. It reads requests one at a time on each connection,
 * answers 421 to those for another instance, runs as many at once as it has slots,
 * and stops at the deadline that it receives. A handler decides which bytes it writes.
 */

import { createServer } from 'node:net'
import { freePort, host } from './ports.mjs'

const headEnd = '\r\n\r\n'
const coldMilliseconds = 3_000
const queuePerSlot = 3

/** Parses one request of the bytes read; undefined while it is incomplete. */
const parseRequest = (bytes) => {
  const end = bytes.indexOf(headEnd)
  if (end < 0) return undefined
  const [line, ...fields] = bytes.toString('latin1', 0, end).split('\r\n')
  const [method, path] = line.split(' ')
  const headers = new Map(fields.map((field) => [field.slice(0, field.indexOf(':')).toLowerCase(), field.slice(field.indexOf(':') + 1).trim()]))
  const length = Number(headers.get('content-length') ?? 0)
  const bodyStart = end + headEnd.length
  if (bytes.length < bodyStart + length) return undefined
  return { request: { method, path, headers, id: headers.get('request-attempt-id'), body: bytes.subarray(bodyStart, bodyStart + length) }, rest: bytes.subarray(bodyStart + length) }
}

export const answerHead = (request, { status = '200 OK', seal = true, headers = [] } = {}) =>
  [`HTTP/1.1 ${status}`, `Request-Attempt-Id: ${request.id}`, ...seal ? [`Response-Seal: seal.${request.id}`] : [], ...request.load === undefined ? [] : [`Server-Load: ${request.load()}`], ...headers].join('\r\n') + headEnd

export const chunk = (text) => {
  const bytes = Buffer.from(text, 'latin1')
  return Buffer.concat([Buffer.from(`${bytes.length.toString(16)}\r\n`), bytes, Buffer.from('\r\n')])
}

export const lastChunk = '0\r\n\r\n'

export class Runner {
  port = 0
  connections = new Set()
  running = 0
  waiting = []
  coldUntil = 0

  /** The handler gets the request and the socket, and resolves once its answer is written. */
  constructor ({ id, service, zone, slots, record, handle }) {
    Object.assign(this, { id, service, zone, slots, record, handle })
    this.version = 'v1'
    this.born = Date.now()
    this.sequence = 0
    this.state = 'ready'
  }

  async start () {
    if (this.port === 0) this.port = await freePort()
    this.server = createServer({ noDelay: true }, (socket) => this.accept(socket))
    await new Promise((resolve) => this.server.listen(this.port, host, resolve))
  }

  stop () {
    this.server.close()
    for (const socket of this.connections) socket.destroy()
  }

  /** Starts again under the same id after a crash, cold, and with its count begun anew. */
  async restart (version) {
    Object.assign(this, { version, born: Date.now(), sequence: 0, waiting: [], coldUntil: performance.now() + coldMilliseconds })
    await this.start()
  }

  get coldRemaining () {
    return Math.max(0, Math.round(this.coldUntil - performance.now()))
  }

  entry () {
    this.sequence += 1
    const { service, port, zone, slots, state, version, sequence, born } = this
    return { service, address: `${host}:${port}`, zone, version, slots, state, coldRemainingMs: this.coldRemaining, stage: 'both', models: [{ name: 'm', version: 1, adapters: [] }], sequence, born }
  }

  accept (socket) {
    this.connections.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => this.connections.delete(socket))
    let held = Buffer.alloc(0)
    let isBusy = false
    const next = () => {
      if (isBusy || socket.destroyed) return
      const parsed = parseRequest(held)
      if (parsed === undefined) return
      held = parsed.rest
      isBusy = true
      this.serve(parsed.request, socket).catch(() => socket.destroy()).finally(() => {
        isBusy = false
        next()
      })
    }
    socket.on('data', (bytes) => {
      held = Buffer.concat([held, bytes])
      next()
    })
  }

  async serve (request, socket) {
    request.load = () => `${this.running},${this.waiting.length},${this.slots}`
    if (request.path === '/health') {
      const cold = this.coldRemaining > 0 ? `Cold-Ms: ${this.coldRemaining}\r\n` : ''
      socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${this.id}\r\nServer-Load: ${request.load()}\r\n${cold}Content-Length: 0\r\n\r\n`)
      return
    }
    if (request.headers.get('expected-instance') !== this.id) {
      socket.write(`HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`)
      return
    }
    if (this.waiting.length >= this.slots * queuePerSlot) {
      socket.write(answerHead(request, { status: '503 Service Unavailable', seal: false, headers: ['Not-Executed: 1', 'Content-Length: 0'] }))
      return
    }
    if (this.running >= this.slots) await new Promise((resolve) => this.waiting.push(resolve))
    if (socket.destroyed) return this.waiting.shift()?.()
    this.running += 1
    this.record?.({ what: 'run', runner: this.id, id: request.id, path: request.path })
    const stopWork = this.stopAtDeadline(request, socket)
    try {
      await this.handle(request, socket, this)
    } finally {
      clearTimeout(stopWork)
      this.running -= 1
      this.waiting.shift()?.()
    }
  }

  /** A runner stops work at the deadline that it receives: it answers 504, or breaks off what it has begun to write. */
  stopAtDeadline (request, socket) {
    const writtenBefore = socket.bytesWritten
    return setTimeout(() => {
      this.record?.({ what: 'stopped at the deadline', runner: this.id, id: request.id })
      if (socket.bytesWritten === writtenBefore) socket.write(answerHead(request, { status: '504 Gateway Timeout', headers: ['Content-Length: 0', 'Connection: close'] }))
      socket.destroySoon()
    }, Number(request.headers.get('request-deadline-ms')))
  }
}
