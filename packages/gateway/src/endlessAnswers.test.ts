import { request as httpRequest } from 'node:http'
import { runtimeClock } from '@cuminvale/common'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { OpenedConnections, pour, sealedHeadText, senders } from './endlessTestSupport.js'
import { inspectUpstream } from './upstreamInspection.js'
import { callGateway, sealedHead, silentLog, startTestGateway, startUpstream, testDocument, testHeaders, testRoute } from './testSupport.js'
import type { IncomingMessage } from 'node:http'
import type { Route } from '@cuminvale/serving'
import type { EndlessSender } from './endlessTestSupport.js'
import type { ScriptedUpstream, TestGateway, UpstreamScript } from './testSupport.js'

let running: TestGateway | undefined
let connections: OpenedConnections
beforeEach(() => { connections = new OpenedConnections() })
afterEach(() => {
  running?.stop()
  connections.stop()
})

const safe = testRoute({ kind: 'safe', maximumAttempts: 3 })
const order = testRoute({ maximumAttempts: 3, timeoutMilliseconds: 1_500 })
const maximumReadBytes = 262_144
const longestReadMilliseconds = 2_500

const answers: UpstreamScript = (request, response) => response.writeHead(200, sealedHead(request)).end('done')
const declinedHead = (): string => `HTTP/1.1 503 Full\r\n${testHeaders.notRun}: 1\r\ntransfer-encoding: chunked\r\n\r\n`
const failedHead = (request: IncomingMessage): string => sealedHeadText(request, ['transfer-encoding: chunked'], 'HTTP/1.1 500 Failed')
const chunk = `400\r\n${'x'.repeat(1_024)}\r\n`

/** Answers the first request with an answer that never ends, and the others soundly. */
const sendsWithoutEnd = (send: EndlessSender, head: (request: IncomingMessage) => string, unit: string): UpstreamScript => {
  let requests = 0
  return (request, response, body) => {
    requests += 1
    if (requests > 1) return answers(request, response, body)
    request.socket.write(head(request))
    send(request.socket, unit)
  }
}

const start = async (route: Route, script: UpstreamScript): Promise<readonly ScriptedUpstream[]> => {
  const upstreams = [await startUpstream('u0', script), await startUpstream('u1', script)]
  running = await startTestGateway(testDocument([route]), upstreams)
  return upstreams
}

const call = async (): ReturnType<typeof callGateway> => await callGateway({ port: running?.port ?? 0, path: '/orders/7' })

/** Waits until the connection of the endless answer, the first one, is closed. */
const firstIsClosed = async (): Promise<void> =>
  await vi.waitFor(() => expect(connections.sockets[0]?.destroyed).toBe(true), { timeout: longestReadMilliseconds })

describe.each(senders)('an upstream that sends %s and without end', (_speed, send) => {
  // Guards against a connection that is held for ever by an answer that nobody waits for.
  it.each([['declined an order', order, declinedHead], ['failed a safe request', safe, failedHead]])('is not read on after it %s', async (_case, route, head) => {
    await start(route, sendsWithoutEnd(send, head, chunk))
    expect(await call()).toMatchObject({ status: 200, body: 'done' })
    await firstIsClosed()
    expect(connections.bytesRead).toBeLessThan(maximumReadBytes)
  })

  it('is not read on after the caller of an order has left', async () => {
    await start(order, sendsWithoutEnd(send, (request) => sealedHeadText(request, ['transfer-encoding: chunked']), chunk))
    await new Promise<void>((resolve) => {
      const leaving = httpRequest({ host: '127.0.0.1', port: running?.port, path: '/orders/7', method: 'POST', headers: { host: 'shop.example', [testHeaders.attempt]: 'a1' } }, (response) => {
        response.on('error', () => { /* caused by destroy() */ })
        response.once('data', () => {
          leaving.destroy()
          resolve()
        })
      })
      leaving.on('error', () => { /* caused by destroy() */ })
      leaving.end()
    })
    const bytesBefore = connections.bytesRead
    await firstIsClosed()
    // The rest of what the caller's connection could take, and the limit.
    expect(connections.bytesRead - bytesBefore).toBeLessThan(8_388_608)
  })
})

describe('an order whose caller has left before its answer', () => {
  const leaveAnOrder = async (): Promise<void> => {
    const leaving = httpRequest({ host: '127.0.0.1', port: running?.port, path: '/orders/7', method: 'POST', headers: { host: 'shop.example', [testHeaders.attempt]: 'a1' } })
    leaving.on('error', () => { /* caused by destroy() */ })
    leaving.end()
    await vi.waitFor(() => expect(connections.sockets).toHaveLength(1))
    await new Promise((resolve) => setTimeout(resolve, 100))
    leaving.destroy()
    await vi.waitFor(() => expect(running?.gateway.state.executions.size).toBe(0))
  }

  it('is left to finish, and its connection kept', async () => {
    let answered = 0
    await start(order, (request, response, body) => {
      setTimeout(() => {
        answered += 1
        answers(request, response, body)
      }, 2_000)
    })
    await leaveAnOrder()
    await vi.waitFor(() => expect(answered).toBe(1), { timeout: 3_000 })
    await new Promise((resolve) => setTimeout(resolve, 100))
    expect(connections.openCount).toBe(1)
  })

  // Guards against a connection that is held for ever by an upstream that never answers.
  it('loses its connection if it never answers', async () => {
    let offset = 0
    const upstreams = [await startUpstream('u0', () => { /* never answers */ })]
    running = await startTestGateway(testDocument([order]), upstreams, silentLog, { monotonic: () => runtimeClock.monotonic() + offset, wall: () => runtimeClock.wall() })
    await leaveAnOrder()
    offset = 119_000
    await new Promise((resolve) => setTimeout(resolve, 300))
    expect(connections.openCount).toBe(1)
    offset = 121_000
    await firstIsClosed()
  })
})

describe('the short rest of a declined answer', () => {
  it('is read, so that its connection is used again', async () => {
    let requests = 0
    const declines: UpstreamScript = (request, response, body) => {
      requests += 1
      if (requests > 2) return answers(request, response, body)
      response.writeHead(503, { [testHeaders.notRun]: '1' })
      response.write('x'.repeat(1_000))
      setTimeout(() => response.end('x'.repeat(30_000)), 200)
    }
    await start(order, declines)
    expect((await call()).status).toBe(503)
    await new Promise((resolve) => setTimeout(resolve, 400))
    for (let attempt = 0; attempt < 4; attempt += 1) expect((await call()).status).toBe(200)
    expect(connections.sockets).toHaveLength(2)
    expect(connections.openCount).toBe(2)
  })
})

// Guards against an upstream that holds a VM up with the answer to an inspection, which nobody reads.
describe('the answer to an inspection', () => {
  it('is given up after 64 KiB of body, and its connection closed', async () => {
    const [upstream] = await start(order, (request) => {
      request.socket.write(`HTTP/1.1 200 OK\r\n${testHeaders.healthOf}: u0\r\ntransfer-encoding: chunked\r\n\r\n`)
      pour(request.socket, chunk)
    })
    if (upstream === undefined || running === undefined) throw new Error('no upstream')
    const { state } = running.gateway
    const startedAt = performance.now()
    expect(await inspectUpstream({ connections: state.connections, codec: state.codec, upstream: upstream.announced, healthPath: '/health' })).toBeUndefined()
    expect(performance.now() - startedAt).toBeLessThan(300)
    expect(connections.bytesRead).toBeLessThan(maximumReadBytes)
    await firstIsClosed()
  })
})
