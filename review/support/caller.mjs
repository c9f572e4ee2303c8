/**
 * Stand-in of a client: sends one request on a connection of its own or on one
 * that is kept, and reads the answer byte by byte.
 */

import { connect } from 'node:net'
import { host } from './ports.mjs'

const decodeChunks = (bytes) => {
  const parts = []
  let at = 0
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', at)
    if (lineEnd < 0) return { body: Buffer.concat(parts), isWhole: false, end: bytes.length }
    const length = Number.parseInt(bytes.toString('latin1', at, lineEnd), 16)
    if (!Number.isFinite(length)) return { body: Buffer.concat(parts), isWhole: false, isMalformed: true, end: bytes.length }
    if (length === 0) return { body: Buffer.concat(parts), isWhole: bytes.indexOf('\r\n\r\n', lineEnd - 2) >= 0, end: lineEnd + 4 }
    parts.push(bytes.subarray(lineEnd + 2, Math.min(bytes.length, lineEnd + 2 + length)))
    if (bytes.length < lineEnd + 4 + length) return { body: Buffer.concat(parts), isWhole: false, end: bytes.length }
    at = lineEnd + 4 + length
  }
}

/** Reads an answer of the bytes that came; `isWhole` tells whether its framing says that it is complete. */
export const parseAnswer = (bytes) => {
  const end = bytes.indexOf('\r\n\r\n')
  if (end < 0) return { status: 0, isWhole: false, body: Buffer.alloc(0), headers: new Map() }
  const [line, ...fields] = bytes.toString('latin1', 0, end).split('\r\n')
  const headers = new Map(fields.map((field) => [field.slice(0, field.indexOf(':')).toLowerCase(), field.slice(field.indexOf(':') + 1).trim()]))
  const status = Number(line.split(' ')[1])
  const rest = bytes.subarray(end + 4)
  if (headers.get('transfer-encoding') === 'chunked') return { status, headers, ...decodeChunks(rest) }
  const length = Number(headers.get('content-length') ?? NaN)
  return { status, headers, body: rest.subarray(0, Number.isNaN(length) ? rest.length : length), isWhole: rest.length >= length, end: length }
}

/**
 * Sends a request and resolves with what became of it: an answer, a close without one, or neither until `patienceMilliseconds`. Its socket is
 * in `sockets` meanwhile, for a network that resets it.
 */
export const call = async ({ port, method = 'POST', path, name, key, id, deadlineMilliseconds, headers = [], body = Buffer.alloc(0), patienceMilliseconds, sockets }) => await new Promise((resolve) => {
  const sentAt = performance.now()
  const chunks = []
  let isDone = false
  const socket = connect({ host, port, noDelay: true })
  sockets?.add(socket)
  const finish = (ending) => {
    if (isDone) return
    isDone = true
    clearTimeout(timer)
    sockets?.delete(socket)
    socket.destroy()
    resolve({ id, path, ending, sentAt, endedAt: performance.now(), milliseconds: Math.round(performance.now() - sentAt), ...parseAnswer(Buffer.concat(chunks)) })
  }
  const timer = setTimeout(() => finish('nothing'), patienceMilliseconds ?? deadlineMilliseconds)
  socket.on('error', () => finish('reset'))
  socket.on('close', () => finish('closed'))
  socket.on('data', (bytes) => {
    chunks.push(bytes)
    if (parseAnswer(Buffer.concat(chunks)).isWhole) finish('answer')
  })
  socket.on('connect', () => {
    const lines = [`${method} ${path} HTTP/1.1`, `Host: ${name}`, `Request-Attempt-Id: ${id}`, `Request-Deadline-Ms: ${deadlineMilliseconds}`, `X-Api-Key: ${key}`, ...headers]
    if (body.length > 0 || method === 'POST') lines.push(`Content-Length: ${body.length}`)
    socket.write(Buffer.concat([Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1'), body]))
  })
})

/** A client's connection that is kept for several requests, one after the other. */
export class KeptConnection {
  constructor (port) {
    this.socket = connect({ host, port, noDelay: true })
    this.bytes = Buffer.alloc(0)
    this.isClosed = false
    this.used = 0
    this.socket.on('error', () => {})
    this.socket.on('close', () => {
      this.isClosed = true
      this.wake?.()
    })
    this.socket.on('data', (bytes) => {
      this.bytes = Buffer.concat([this.bytes, bytes])
      this.wake?.()
    })
  }

  /** Sends a request and resolves with its answer, or with `ending` "closed" or "nothing". */
  async call ({ method = 'POST', path, name, key, id, deadlineMilliseconds, headers = [], body = Buffer.alloc(0) }) {
    const sentAt = performance.now()
    const earlier = this.used
    this.used += 1
    this.bytes = Buffer.alloc(0)
    const lines = [`${method} ${path} HTTP/1.1`, `Host: ${name}`, `Request-Attempt-Id: ${id}`, `Request-Deadline-Ms: ${deadlineMilliseconds}`, `X-Api-Key: ${key}`, ...headers]
    if (method === 'POST') lines.push(`Content-Length: ${body.length}`)
    this.socket.write(Buffer.concat([Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1'), body]))
    for (;;) {
      const answer = parseAnswer(this.bytes)
      const elapsed = performance.now() - sentAt
      const ending = answer.isWhole ? 'answer' : this.isClosed ? 'closed' : elapsed >= deadlineMilliseconds ? 'nothing' : undefined
      if (ending !== undefined) return { id, path, ending, earlier, receivedBytes: this.bytes.length, milliseconds: Math.round(elapsed), ...answer }
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Math.max(1, deadlineMilliseconds - elapsed))
        this.wake = () => {
          clearTimeout(timer)
          resolve()
        }
      })
    }
  }

  close () {
    this.socket.destroy()
  }
}
