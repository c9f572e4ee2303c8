import { Agent, request as httpRequest } from 'node:http'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { OpenedConnections, drip, pour, sealedHeadText, senders } from './endlessTestSupport.js'
import { reportSouth, startStopGateway } from './stopTestSupport.js'
import { callGateway, sealedHead, startTestGateway, startUpstream, testDocument, testHeaders, testRoute } from './testSupport.js'
import type { IncomingMessage } from 'node:http'
import type { Route } from '@cuminvale/serving'
import type { EndlessSender } from './endlessTestSupport.js'
import type { StopGateway, StopGatewayOptions } from './stopTestSupport.js'
import type { TestGateway, UpstreamScript } from './testSupport.js'

let running: TestGateway | undefined
let connections: OpenedConnections
beforeEach(() => { connections = new OpenedConnections() })
afterEach(() => {
  running?.stop()
  connections.stop()
})

const timeoutMilliseconds = 1_500
const safe = testRoute({ kind: 'safe', maximumAttempts: 3, timeoutMilliseconds })
const order = testRoute({ timeoutMilliseconds })
const stream = testRoute({ kind: 'stream', isResumable: true, maximumAttempts: 3, timeoutMilliseconds })

const streamHead = (request: IncomingMessage): string => sealedHeadText(request, ['content-type: text/event-stream', 'transfer-encoding: chunked'])
const bodyHead = (request: IncomingMessage): string => sealedHeadText(request, ['content-type: application/json', 'transfer-encoding: chunked'])
const chunkOf = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`

/** Answers the first request without end, and the others soundly. */
const sendsWithoutEnd = (send: EndlessSender, head: (request: IncomingMessage) => string, unit: string): UpstreamScript => {
  let requests = 0
  return (request, response) => {
    requests += 1
    if (requests > 1) return response.writeHead(200, { ...sealedHead(request), 'content-type': 'text/event-stream' }).end('id: 1\ndata: one\n\n')
    request.socket.write(head(request))
    send(request.socket, unit)
  }
}

const start = async (route: Route, script: UpstreamScript): Promise<void> => {
  const upstreams = [await startUpstream('u0', script), await startUpstream('u1', script)]
  running = await startTestGateway(testDocument([route]), upstreams)
}

const firstIsClosed = async (): Promise<void> =>
  await vi.waitFor(() => expect(connections.sockets[0]?.destroyed).toBe(true), { timeout: 1_000 })

/** Calls the gateway as a caller that reads all and keeps nothing; returns whether it took the answer for whole. */
const callAndDiscard = async (): Promise<boolean> => await new Promise((resolve) => {
  const request = httpRequest({ host: '127.0.0.1', port: running?.port, path: '/orders/7', method: 'POST', headers: { host: 'shop.example', [testHeaders.attempt]: 'a1' } }, (response) => {
    response.on('end', () => resolve(response.statusCode === 200))
    response.on('error', () => resolve(false))
    response.resume()
  })
  request.on('error', () => resolve(false))
  request.end()
})

/** Longest time for which the event loop was held up while the work was done. */
const longestPauseDuring = async (work: () => Promise<void>): Promise<number> => {
  let [longest, last] = [0, performance.now()]
  const timer = setInterval(() => {
    longest = Math.max(longest, performance.now() - last)
    last = performance.now()
  }, 5)
  await work()
  clearInterval(timer)
  return longest
}

describe('an event without end', () => {
  // Guards against a VM that one upstream holds up for seconds with short chunks of an event.
  it.each([['1 byte', 'x'], ['16 bytes', 'x'.repeat(16)], ['a kilobyte', 'x'.repeat(1_024)]])('in chunks of %s is given up at its limit, and the stream begun at another upstream', async (_case, text) => {
    await start({ ...stream, timeoutMilliseconds: 10_000 }, sendsWithoutEnd(pour, streamHead, chunkOf(text)))
    const pause = await longestPauseDuring(async () => {
      expect(await callGateway({ port: running?.port ?? 0, path: '/orders/7' })).toMatchObject({ status: 200, isWhole: true, body: 'id: 1\ndata: one\n\n' })
    })
    expect(pause).toBeLessThan(500)
    await firstIsClosed()
    expect(connections.bytesRead).toBeLessThan(10_000_000)
  })

  it('that comes slowly ends with the deadline of its request', async () => {
    await start(stream, sendsWithoutEnd(drip, streamHead, chunkOf('x')))
    const startedAt = performance.now()
    expect(await callGateway({ port: running?.port ?? 0, path: '/orders/7' })).toMatchObject({ status: 504, isWhole: true })
    expect(performance.now() - startedAt).toBeLessThan(timeoutMilliseconds + 400)
    await firstIsClosed()
  })
})

// Guards against a kept connection that is closed without an answer at the route's timeout, after the head of a stream that was never begun.
describe('the head of a stream without an event', () => {
  const headOnly: UpstreamScript = (request) => { request.socket.write(streamHead(request)) }

  it.each([['a caller', []], ['a caller whose request is forwarded', ['south']]] as const)('to %s ends with 504 at the timeout, on a connection that stays', async (_case, [regionName]) => {
    const gateways: StopGateway[] = []
    const startVm = async (options: Partial<StopGatewayOptions>): Promise<StopGateway> => {
      const started = await startStopGateway({ routes: [stream], script: headOnly, ...options })
      gateways.push(started)
      return started
    }
    const vm = await startVm(regionName === undefined ? {} : { upstreams: [] })
    const endReports = regionName === undefined ? () => { /* nothing is forwarded */ } : reportSouth(vm, [await startVm({ vm: 'vm-2', regionName })])
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    const status = await new Promise<number | undefined>((resolve) => {
      const request = httpRequest({ host: '127.0.0.1', port: vm.port, agent, path: '/orders/7', method: 'POST', headers: { host: 'shop.example', [testHeaders.attempt]: 'a1' } }, (response) => {
        response.resume()
        response.on('end', () => resolve(response.statusCode))
      })
      request.on('error', () => resolve(undefined))
      request.end()
    })
    endReports()
    expect([status, Object.keys(agent.freeSockets).length]).toEqual([504, 1])
    agent.destroy()
    gateways.forEach((gateway) => gateway.stop())
  })
})

describe.each(senders)('a body without end that comes %s', (_speed, send) => {
  const bodies = [
    ['an order', order, bodyHead, chunkOf('x'.repeat(1_024))],
    ['a safe request', safe, bodyHead, chunkOf('x'.repeat(1_024))],
    ['a stream', stream, streamHead, chunkOf('id: 1\ndata: x\n\n')],
    ['a stream of comments', stream, streamHead, chunkOf(': x\n\n')]
  ] as const

  it.each(bodies)('to %s is passed on until the deadline, and then cut', async (_case, route, head, unit) => {
    await start(route, sendsWithoutEnd(send, head, unit))
    const startedAt = performance.now()
    expect(await callAndDiscard()).toBe(false)
    const elapsed = performance.now() - startedAt
    expect(elapsed).toBeGreaterThan(timeoutMilliseconds - 100)
    expect(elapsed).toBeLessThan(timeoutMilliseconds + 400)
    await firstIsClosed()
  })
})

describe('a body without end to a caller that reads nothing', () => {
  it.each([['an order', order], ['a safe request', safe]])('is not held in memory (%s)', async (_case, route) => {
    await start(route, sendsWithoutEnd(pour, bodyHead, chunkOf('x'.repeat(1_024))))
    const closed = new Promise<void>((resolve) => {
      const request = httpRequest({ host: '127.0.0.1', port: running?.port, path: '/orders/7', method: 'POST', headers: { host: 'shop.example', [testHeaders.attempt]: 'a1' } }, (response) => {
        response.pause()
        response.on('error', () => { /* 'close' follows */ })
      })
      request.on('error', () => { /* 'close' follows */ })
      request.on('close', () => resolve())
      request.end()
      setTimeout(() => request.destroy(), timeoutMilliseconds + 500)
    })
    await closed
    // What the kernel and the caller's connection hold, of which the VM holds the least part.
    expect(connections.bytesRead).toBeLessThan(16_777_216)
    await firstIsClosed()
  })
})
