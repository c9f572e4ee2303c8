import { createServer } from 'node:http'
import { pack } from 'msgpackr'
import { toFailureDomainId, toIncarnationId, toRegionId, toVmId } from '@cuminvale/common'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { forwardPath } from './forwardCall.js'
import { FrameKind, encodeFrame } from './forwardFrames.js'
import { callGateway, listen, sealedHead, service, startTestGateway, startUpstream, testDocument, testRoute } from './testSupport.js'
import type { IncomingMessage, Server } from 'node:http'
import type { ScriptedUpstream, TestGateway } from './testSupport.js'

let running: TestGateway | undefined
const servers: Server[] = []
const uncaught: unknown[] = []
const recordUncaught = (error: unknown): void => { uncaught.push(error) }
let listeners: NodeJS.UncaughtExceptionListener[] = []
beforeEach(() => {
  uncaught.length = 0
  listeners = process.listeners('uncaughtException')
  process.removeAllListeners('uncaughtException')
  process.on('uncaughtException', recordUncaught)
})
afterEach(() => {
  process.removeAllListeners('uncaughtException')
  listeners.forEach((listener) => process.on('uncaughtException', listener))
  running?.stop()
  for (const server of servers.splice(0)) {
    server.close()
    server.closeAllConnections()
  }
})

/** Starts a VM of another region that answers each forwarded request with the frames, or by writing to its socket. */
const startPeer = async ({ gateway: { state } }: TestGateway, frames: Buffer | ((request: IncomingMessage) => void)): Promise<void> => {
  const server = createServer((request, response) => {
    request.resume()
    request.on('end', () => typeof frames === 'function' ? frames(request) : response.writeHead(200).end(Buffer.concat([encodeFrame(FrameKind.Received), frames])))
  })
  servers.push(server)
  const region = toRegionId('south')
  const identity = {
    vm: toVmId('vm-2'), incarnation: toIncarnationId('i2'), region, failureDomain: toFailureDomainId('south-a'), linkAddress: `127.0.0.1:${await listen(server)}`, callerAddress: 'a:1', processorCapacity: 1
  }
  state.peers.recordRegionReport(region, [{ identity, isReady: true }])
  state.forecasts.recordReport(region, new Map([[service, { upstreams: 1, waitMilliseconds: 0, freeSlots: 6 }]]))
}

const frame = (kind: FrameKind, value: unknown): Buffer => encodeFrame(kind, pack(value))
const noMessage = Buffer.from([0xc1])
const head = { status: 200, headers: [] as unknown }
const data = encodeFrame(FrameKind.Data, Buffer.from('done'))
const end = encodeFrame(FrameKind.End)

describe('a malformed frame of another VM', () => {
  const cases: ReadonlyArray<readonly [string, Buffer]> = [
    ['a refusal that is no message', encodeFrame(FrameKind.Refused, noMessage)],
    ['a refusal without a reason', frame(FrameKind.Refused, {})],
    ['a refusal that is null', frame(FrameKind.Refused, null)],
    ['a failure that is no message', encodeFrame(FrameKind.Failed, noMessage)],
    ['a failure of an unknown kind', frame(FrameKind.Failed, { kind: 'x', detail: 'y' })],
    ['a head that is null', frame(FrameKind.Head, null)],
    ['a head with a status of text', Buffer.concat([frame(FrameKind.Head, { ...head, status: 'x' }), data, end])],
    ['a head with a status of 42', Buffer.concat([frame(FrameKind.Head, { ...head, status: 42 }), data, end])],
    ...[0, 99, 101, 600, 999].map((status) => [`a head with a status of ${status}`, Buffer.concat([frame(FrameKind.Head, { ...head, status }), data, end])] as const),
    ...['x name', 'x-name ', ' x-name', 'x\tname', 'x\u0000name', 'x\u0001name', 'x\u007fname', ''].map((name) => [`a head with the header name ${JSON.stringify(name)}`, Buffer.concat([frame(FrameKind.Head, { ...head, headers: [name, 'c'] }), data, end])] as const),
    ['a head whose headers are numbers', Buffer.concat([frame(FrameKind.Head, { ...head, headers: [1, 2] }), data, end])],
    ['a head with a header name of two lines', Buffer.concat([frame(FrameKind.Head, { ...head, headers: ['a\r\nb', 'c'] }), data, end])],
    ['data before a head', Buffer.concat([data, end])],
    ['an end without a head', end],
    ['a second head', Buffer.concat([frame(FrameKind.Head, { ...head, headers: ['content-length', '4'] }), frame(FrameKind.Head, null), data, end])]
  ]

  // Guards against a caller that waits until its deadline, or gets no answer, for an answer that can't be read.
  it.each(cases)('(%s) fails the request at once, as one that may have run', async (_case, frames) => {
    running = await startTestGateway(testDocument([testRoute({ timeoutMilliseconds: 1_500 })]), [])
    await startPeer(running, frames)
    const startedAt = performance.now()
    const answer = await callGateway({ port: running.port, path: '/orders/1' })
    // If the head was read, the answer has begun and breaks off.
    expect(answer.status === 502 || !answer.isWhole).toBe(true)
    expect(performance.now() - startedAt).toBeLessThan(700)
    expect(uncaught).toEqual([])
    expect(running.gateway.state.executions.size).toBe(0)
  })
})

describe('a malformed request of another VM', () => {
  const row: readonly unknown[] = ['a1', 'POST', '/orders/1', [], 1, 1, [['p', 1]], 'orders', 'order', false, 500, 1_500, 1, service, 'bindery', 1, ['north'], false, 1, 400, 400, 1, undefined]
  const garbage = [null, 7, -1, Number.NaN, 'x\r\ny', [], [7], [[7]], {}, true]

  const envelope = (values: unknown): Buffer => {
    const packed = pack(values)
    const length = Buffer.alloc(4)
    length.writeUInt32BE(packed.length)
    return Buffer.concat([length, packed])
  }

  // Guards against an exception that ends the process, and against an execution that never ends.
  it('ends, and the VM goes on', async () => {
    const upstream: ScriptedUpstream = await startUpstream('u0', (request, response) => { response.writeHead(200, sealedHead(request)).end('done') })
    running = await startTestGateway(testDocument([testRoute()]), [upstream])
    const { gateway, port } = running
    const url = `http://127.0.0.1:${gateway.linkPort}${forwardPath}`
    const malformed = [Buffer.alloc(0), Buffer.alloc(3), Buffer.alloc(9, 255), ...row.flatMap((_value, index) => garbage.map((value) => envelope(row.with(index, value)))), ...garbage.map(envelope)]
    await Promise.all(malformed.map(async (body) => await fetch(url, { method: 'POST', body, signal: AbortSignal.timeout(1_500) }).then(async (response) => await response.arrayBuffer()).catch(() => undefined)))
    // A request that was aborted before the VM accepted its connection begins after that, and ends.
    await vi.waitUntil(() => gateway.state.executions.size === 0, { timeout: 2_000, interval: 50 })
    expect(uncaught).toEqual([])
    expect((await callGateway({ port, path: '/orders/1', attempt: 'a9' })).status).toBe(200)
    expect(gateway.state.executions.size).toBe(0)
  })
})

describe('a refusal of another VM that is written once more', () => {
  // Guards against an order that is refused though the VM it was forwarded to has run it.
  it('is not taken for the answer to the next forward on the connection', async () => {
    running = await startTestGateway(testDocument([testRoute()]), [])
    const answerTo = (attempt: string, ...frames: readonly Buffer[]): Buffer => {
      const body = Buffer.concat([encodeFrame(FrameKind.Received, Buffer.from(attempt)), ...frames])
      return Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n`), body])
    }
    const refused = frame(FrameKind.Refused, { reason: 'no-upstream', outcome: 'not-run', detail: 'full' })
    let forwards = 0
    await startPeer(running, (request) => {
      if (request.url !== forwardPath) return
      forwards += 1
      if (forwards > 1) request.socket.write(answerTo('a1', refused))
      request.socket.write(forwards > 1 ? answerTo('a2', frame(FrameKind.Head, head), data, end) : answerTo('a1', refused))
    })
    const statuses: unknown[] = []
    for (const attempt of ['a1', 'a2']) statuses.push((await callGateway({ port: running.port, path: '/orders/1', attempt })).status)
    expect([statuses, forwards]).toEqual([[503, 502], 2])
  })
})
