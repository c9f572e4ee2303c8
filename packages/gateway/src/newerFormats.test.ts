import { createServer } from 'node:http'
import { pack } from 'msgpackr'
import { toFailureDomainId, toIncarnationId, toRegionId, toVmId } from '@cuminvale/common'
import { afterEach, describe, expect, it } from 'vitest'
import { WebSocket } from 'ws'
import { forwardPath } from './forwardCall.js'
import { FrameKind, encodeFrame } from './forwardFrames.js'
import { linkPath } from './outgoingLink.js'
import { callGateway, listen, service, startTestGateway, testDocument, testRoute, wait } from './testSupport.js'
import type { Server } from 'node:http'
import type { TestGateway } from './testSupport.js'

let running: TestGateway | undefined
const servers: Server[] = []
afterEach(() => {
  running?.stop()
  for (const server of servers.splice(0)) {
    server.close()
    server.closeAllConnections()
  }
})

const south = toRegionId('south')

/** Starts a VM of another region that answers each forwarded request with the frames. */
const startPeer = async ({ gateway: { state } }: TestGateway, frames: readonly Buffer[]): Promise<void> => {
  const server = createServer((request, response) => {
    request.resume()
    request.on('end', () => request.url === forwardPath ? response.writeHead(200).end(Buffer.concat([encodeFrame(FrameKind.Received), ...frames])) : response.writeHead(404).end())
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

  // Guards against a hello that introduces its VM and is then left half applied, and against values of another kind in the tables.
  it.each([
    ['learned performance', 'hello', { identity: { vm: 'vm-9', incarnation: 'i9', region: 'north', failureDomain: 'north-a', linkAddress: '127.0.0.1:1', callerAddress: '', processorCapacity: 1 }, at: 0, known: [], isAsking: false, performance: [{ service }] }],
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
