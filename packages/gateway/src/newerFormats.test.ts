import { createServer } from 'node:http'
import { pack } from 'msgpackr'
import { toFailureDomainId, toIncarnationId, toRegionId, toVmId } from '@cuminvale/common'
import { afterEach, describe, expect, it } from 'vitest'
import { WebSocket } from 'ws'
import { forwardPath } from './forwardCall.js'
import { FrameKind, decodeForward, encodeFrame } from './forwardFrames.js'
import { formatHeader, messageFormat } from './messageFormat.js'
import { linkPath } from './outgoingLink.js'
import { callGateway, listen, service, startTestGateway, testDocument, testRoute, wait } from './testSupport.js'
import type { IncomingHttpHeaders, Server } from 'node:http'
import type { TestGateway } from './testSupport.js'

let running: TestGateway | undefined
const servers: Server[] = []
const forwardHeaders: IncomingHttpHeaders[] = []
afterEach(() => {
  forwardHeaders.length = 0
  running?.stop()
  for (const server of servers.splice(0)) {
    server.close()
    server.closeAllConnections()
  }
})

const identity = { vm: 'vm-9', incarnation: 'i9', region: 'north', failureDomain: 'north-a', linkAddress: '127.0.0.1:1', callerAddress: '', processorCapacity: 1 }
const south = toRegionId('south')

/** Starts a VM of another region that answers each forwarded request with the frames. */
const startPeer = async ({ gateway: { state } }: TestGateway, frames: readonly Buffer[], headers: Record<string, string> = {}): Promise<void> => {
  const server = createServer((request, response) => {
    request.resume()
    if (request.url === forwardPath) forwardHeaders.push(request.headers)
    request.on('end', () => request.url === forwardPath ? response.writeHead(200, headers).end(Buffer.concat([encodeFrame(FrameKind.Received), ...frames])) : response.writeHead(404).end())
  })
  servers.push(server)
  const identity = {
    vm: toVmId('vm-2'), incarnation: toIncarnationId('i2'), region: south, failureDomain: toFailureDomainId('south-a'), linkAddress: `127.0.0.1:${await listen(server)}`, callerAddress: 'a:1', processorCapacity: 1
  }
  state.peers.recordRegionReport(south, [{ identity, isReady: true }])
  state.forecasts.recordReport(south, new Map([[service, { upstreams: 1, waitMilliseconds: 0, freeSlots: 6 }]]))
}

describe('what a VM of a newer build says', () => {
  // Guards against an answer without a status, for which a caller waits until its deadline.
  it('as a reason of a refusal that isn\'t known here is a refusal all the same', async () => {
    running = await startTestGateway(testDocument([testRoute()]), [])
    await startPeer(running, [encodeFrame(FrameKind.Refused, pack({ reason: 'reason-of-a-newer-build', outcome: 'not-run', detail: 'new' }))])
    expect((await callGateway({ port: running.port, path: '/orders/1' })).status).toBe(503)
  })

  // Guards against an answer that breaks off at a frame that only newer builds know.
  it('in a frame of another kind is left out, if it names its format', async () => {
    const frames = [encodeFrame(FrameKind.Head, pack({ status: 200, headers: [] })), Buffer.concat([Buffer.from([99]), encodeFrame(FrameKind.Data, Buffer.from('x')).subarray(1)]), encodeFrame(FrameKind.Data, Buffer.from('done')), encodeFrame(FrameKind.End)]
    running = await startTestGateway(testDocument([testRoute()]), [])
    await startPeer(running, frames, { [formatHeader]: String(messageFormat + 1) })
    expect(await callGateway({ port: running.port, path: '/orders/1' })).toMatchObject({ status: 200, body: 'done', isWhole: true })
    expect(forwardHeaders[0]?.[formatHeader]).toBe(String(messageFormat))
    running.stop()
    running = await startTestGateway(testDocument([testRoute()]), [])
    await startPeer(running, frames)
    expect(await callGateway({ port: running.port, path: '/orders/1' })).toMatchObject({ isWhole: false })
  })

  // Guards against a forward that is refused for values that only newer builds know.
  it('in a longer envelope is left out, if it names its format', () => {
    const row = ['a1', 'POST', '/orders/1', [], 1, 1, [], 'orders', 'stream', true, 500, 1_500, 1, service, 'bindery', 1, ['north'], false, 1, 400, 400, 1, '7', 'v1', { further: true }]
    const packed = pack(row)
    const length = Buffer.alloc(4)
    length.writeUInt32BE(packed.length)
    const forward = Buffer.concat([length, packed])
    expect(decodeForward(forward, messageFormat + 1).envelope).toMatchObject({ resumeAfter: '7', softwareVersion: 'v1', attemptsLeft: 1 })
    expect(() => decodeForward(forward)).toThrow(RangeError)
  })

  // Guards against a number of time series that another VM decides, and a replacement that can't be seen.
  it('is counted and logged by the version of its format', async () => {
    const formats: unknown[] = []
    const record = (event: string, fields?: object): void => { if (event === 'peer-heard') formats.push((fields as { readonly format: unknown }).format) }
    running = await startTestGateway(testDocument([testRoute()]), [], { info: record, warn: record, error: record })
    const { gateway } = running
    for (const format of [undefined, messageFormat, messageFormat + 7, -1, Number.MAX_VALUE]) {
      const socket = new WebSocket(`ws://127.0.0.1:${gateway.linkPort}${linkPath}`)
      await new Promise((resolve) => { socket.once('open', resolve) })
      socket.send(pack({ kind: 'hello', identity, at: 0, known: [], isAsking: false, ...format === undefined ? {} : { format } }))
      await wait(50)
      socket.terminate()
    }
    expect(formats).toEqual([1, messageFormat, messageFormat + 7, 1, 1])
    const counts = (await gateway.metricsText()).split('\n').filter((line) => line.startsWith('cuminvale_gateway_peer_formats_total'))
    expect(counts.map((line) => line.replace(/^\S*format="(\w+)"\S* /, '$1 ')).sort()).toEqual(['newer 1', 'older 3', 'same 1'])
  })

  // Guards against a hello that introduces its VM and is then left half applied, and against values of another kind in the tables.
  it.each([
    ['learned performance', 'hello', { identity, at: 0, known: [], isAsking: false, performance: [{ service }] }],
    ['room', 'region-report', { region: 'south', vm: 'vm-8', incarnation: 'i8', sequence: 1, at: 1, spent: [], forecasts: [], room: [{ service, room: 1 }], parts: [], departed: [] }],
    ['need', 'region-report', { region: 'south', vm: 'vm-8', incarnation: 'i8', sequence: 1, at: 1, spent: [], forecasts: [], need: [[service, 'much']], parts: [], departed: [] }]
  ])('of %s in another form is left out', async (_field, kind, fields) => {
    const events: string[] = []
    const record = (event: string): void => { events.push(event) }
    running = await startTestGateway(testDocument([testRoute()]), [], { info: record, warn: record, error: record })
    const socket = new WebSocket(`ws://127.0.0.1:${running.gateway.linkPort}${linkPath}`)
    await new Promise((resolve) => { socket.once('open', resolve) })
    socket.send(pack({ kind, ...fields }))
    await wait(100)
    socket.terminate()
    expect(events).toContain('link-message-unreadable')
    expect(events).not.toContain('link-message-error')
  })
})
