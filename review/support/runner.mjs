/**
 * Stand-in of a runner. It reads requests one at a time on each connection,
 * answers 421 to those for another instance, and otherwise hands them to a
 * handler that decides which bytes are written.
 */

import { createServer } from 'node:net'
import { freePort, host } from './ports.mjs'

const headEnd = '\r\n\r\n'

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
  [`HTTP/1.1 ${status}`, `Request-Attempt-Id: ${request.id}`, ...seal ? [`Response-Seal: seal.${request.id}`] : [], ...headers].join('\r\n') + headEnd

export const chunk = (text) => {
  const bytes = Buffer.from(text, 'latin1')
  return Buffer.concat([Buffer.from(`${bytes.length.toString(16)}\r\n`), bytes, Buffer.from('\r\n')])
}

export const lastChunk = '0\r\n\r\n'

export class Runner {
  port = 0
  connections = new Set()
  running = 0

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

  entry () {
    this.sequence += 1
    const { service, port, zone, slots, state, version, sequence, born } = this
    return { service, address: `${host}:${port}`, zone, version, slots, state, coldRemainingMs: 0, stage: 'both', models: [{ name: 'm', version: 1, adapters: [] }], sequence, born }
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
    if (request.path === '/health') {
      socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${this.id}\r\nServer-Load: ${this.running},0,${this.slots}\r\nContent-Length: 0\r\n\r\n`)
      return
    }
    if (request.headers.get('expected-instance') !== this.id) {
      socket.write(`HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`)
      return
    }
    if (this.running >= this.slots * 4) {
      socket.write(answerHead(request, { status: '503 Service Unavailable', seal: false, headers: ['Not-Executed: 1', 'Content-Length: 0'] }))
      return
    }
    this.running += 1
    this.record?.({ what: 'run', runner: this.id, id: request.id, path: request.path })
    try {
      await this.handle(request, socket, this)
    } finally {
      this.running -= 1
    }
  }
}
