import { once } from 'node:events'
import { createServer } from 'node:http'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import type { IncomingMessage, Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { collectAnswer } from './collectAnswer.js'
import { UpstreamErrorKind } from './errors.js'
import { UpstreamClient } from './upstreamClient.js'
import type { ExchangeRequest } from './upstreamClient.js'

let server: Server
let client: UpstreamClient
const silentSockets = new Set<Socket>()
const servedPaths: string[] = []

beforeEach(async () => {
  servedPaths.length = 0
  server = createServer((incoming, response) => {
    if (silentSockets.has(incoming.socket)) return
    servedPaths.push(incoming.url ?? '')
    response.end('done')
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  client = new UpstreamClient()
})

afterEach(async () => {
  await client.close()
  server.closeAllConnections()
  server.close()
})

const requestTo = (path: string, usesNewConnection: boolean): ExchangeRequest => ({
  origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
  path,
  method: 'POST',
  headers: {},
  body: Buffer.from('{}'),
  signal: new AbortController().signal,
  headTimeoutMilliseconds: 1_000,
  idleTimeoutMilliseconds: 1_000,
  usesNewConnection
})

const exchange = async (path: string, usesNewConnection: boolean): Promise<string> => {
  const result = await client.exchange(requestTo(path, usesNewConnection))
  return result.isOk ? await result.value.body.text() : result.error.kind
}

describe('UpstreamClient', () => {
  it('sends an order on a new connection, so that it is not lost on a silent pooled one', async () => {
    const sockets: Socket[] = []
    server.on('connection', (socket) => sockets.push(socket))
    expect(await exchange('/warm', false)).toBe('done')
    for (const socket of sockets) silentSockets.add(socket)
    expect(await exchange('/order', true)).toBe('done')
    expect(await exchange('/pooled', false)).toBe(UpstreamErrorKind.Silent)
    expect(servedPaths.filter((path) => path === '/order')).toHaveLength(1)
  })

  // Guards against an earlier answer, written once more on a kept connection, that counts as the outcome of an order.
  it('reads no earlier answer as that of an order', async () => {
    const earlier = new WeakMap<Socket, string>()
    server.removeAllListeners('request')
    server.on('request', ({ socket, url = '' }) => {
      const answer = `HTTP/1.1 200 OK\r\ncontent-length: ${url.length}\r\n\r\n${url}`
      socket.write((earlier.get(socket) ?? '') + answer)
      earlier.set(socket, answer)
    })
    expect(await exchange('/warm', false)).toBe('/warm')
    expect([await exchange('/first', true), await exchange('/second', true)]).toEqual(['/first', '/second'])
  })

  it('reports "not sent" only if no connection was established', async () => {
    server.removeAllListeners('request')
    server.on('request', (incoming) => incoming.socket.destroy())
    expect(await exchange('/order', true)).toBe(UpstreamErrorKind.Broken)
    server.closeAllConnections()
    const refused = requestTo('/order', true)
    await new Promise((resolve) => server.close(resolve))
    const result = await client.exchange(refused)
    expect(result.isErr && result.error.kind).toBe(UpstreamErrorKind.NotSent)
  })

  // Guards against an answer that a reset cut and that counted as complete, since nothing but the close ends it.
  it.each([
    ['resets the connection', (socket: Socket) => socket.resetAndDestroy(), '', UpstreamErrorKind.Broken],
    ['closes it before the last chunk', (socket: Socket) => socket.end(), 'transfer-encoding: chunked\r\n', UpstreamErrorKind.Broken],
    ['closes it before the length is reached', (socket: Socket) => socket.end(), 'content-length: 100\r\n', UpstreamErrorKind.Broken],
    ['closes it, and the answer has neither', (socket: Socket) => socket.end(), '', 'half']
  ])('tells whether an answer is whole if the upstream %s', async (_case, finish, framing, expected) => {
    server.removeAllListeners('request')
    server.on('request', ({ socket }) => {
      socket.write(`HTTP/1.1 200 OK\r\nconnection: close\r\n${framing}\r\n${framing.startsWith('transfer') ? '4\r\nhalf\r\n' : 'half'}`)
      setTimeout(() => finish(socket), 20)
    })
    for (const usesNewConnection of [true, false]) {
      const result = await client.exchange(requestTo('/whole', usesNewConnection))
      const collected = result.isOk ? await collectAnswer(result.value) : result
      expect(collected.isOk ? collected.value.body.toString() : collected.error.kind).toBe(expected)
    }
  })

  const longUploadBytes = 12_000_000
  const uploadsTo = async (answer: (socket: Socket, incoming: IncomingMessage) => void, body: Buffer, usesNewConnection: boolean): Promise<string> => {
    server.removeAllListeners('request')
    server.on('request', (incoming: IncomingMessage) => answer(incoming.socket, incoming))
    const result = await client.exchange({ ...requestTo('/upload', usesNewConnection), body })
    const collected = result.isOk ? await collectAnswer(result.value) : result
    return collected.isOk ? collected.value.body.toString() : collected.error.kind
  }
  const shortUpload = Buffer.from('{}')
  const longUpload = Buffer.alloc(longUploadBytes, 'x')

  // Guards against the same after a reset that comes with the last bytes, or while the upload is being written.
  it.each([
    ['resets it with the first bytes', (socket: Socket, head: string) => {
      socket.write(`${head}half`)
      socket.resetAndDestroy()
    }],
    ['resets it with later bytes', (socket: Socket, head: string) => {
      socket.write(head)
      setTimeout(() => {
        socket.write('half')
        socket.resetAndDestroy()
      }, 5)
    }]
  ])('takes no part of an answer for a whole one if the upstream %s', async (_case, breakOff) => {
    for (const header of ['', 'connection: close\r\n']) {
      for (const body of [shortUpload, longUpload]) {
        for (const usesNewConnection of [true, false]) {
          expect(await uploadsTo((socket) => breakOff(socket, `HTTP/1.1 200 OK\r\n${header}\r\n`), body, usesNewConnection)).toBe(UpstreamErrorKind.Broken)
        }
      }
    }
  })

  it('takes a part for none if the upstream ends its side during the upload, and resets it then', async () => {
    const answer = (socket: Socket): void => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhalf')
      socket.end(() => setTimeout(() => socket.resetAndDestroy(), 5))
    }
    expect([await uploadsTo(answer, longUpload, true), await uploadsTo(answer, longUpload, false)]).toEqual([UpstreamErrorKind.Broken, UpstreamErrorKind.Broken])
  })

  it('takes the whole answer of an upstream that answers early, reads the upload and closes', async () => {
    const answer = (socket: Socket, incoming: IncomingMessage): void => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nwho')
      setTimeout(() => incoming.resume(), 5)
      incoming.on('end', () => socket.end('le'))
    }
    expect([await uploadsTo(answer, longUpload, true), await uploadsTo(answer, longUpload, false)]).toEqual(['whole', 'whole'])
  })

  // Guards against an answer that callers can't read, and against one whose head was not the upstream's.
  it.each([
    ...['000', '001', '099', '101', '600', '999'].map((status) => [status, '']),
    ...['x name: 1', 'x-name : 1', 'x\u0001name: 1', 'x\u0000name: 1', ' x-name: 1', ': 1'].map((line) => ['200', `${line}\r\n`])
  ])('takes an answer for broken with status %s and the field line %j', async (status, line) => {
    for (const framed of ['content-length: 0\r\n\r\n', 'content-length: 4\r\n\r\nbody', 'transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n', '\r\nbody']) {
      for (const usesNewConnection of [true, false]) {
        expect(await uploadsTo((socket) => { socket.end(`HTTP/1.1 ${status} x\r\n${line}${framed}`, 'latin1') }, shortUpload, usesNewConnection)).toBe(UpstreamErrorKind.Broken)
      }
    }
  })
})
