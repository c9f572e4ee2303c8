import { runtimeClock } from '@cuminvale/common'
import { afterEach, describe, expect, it } from 'vitest'
import { CallerMemory } from './callerMemory.js'
import { CallFailureKind } from './errors.js'
import { callGateway, sealedHead, startTestGateway, startUpstream, testDocument, testRoute } from './testSupport.js'
import { UpstreamCall } from './upstreamCall.js'
import { UpstreamConnections } from './upstreamConnections.js'
import type { CallFailure } from './errors.js'
import type { TestGateway } from './testSupport.js'

let gateway: TestGateway | undefined
afterEach(() => { gateway?.stop() })

describe('a request whose upstream turns cold while it waits for a connection', () => {
  // Guards against requests that were placed while their upstream was warm, and reach its new start together.
  it('is not written, and fails as one that was not sent', async () => {
    const upstream = await startUpstream('u1', (request, response) => { response.writeHead(200, sealedHead(request)).end('done') })
    const connections = new UpstreamConnections({ clock: runtimeClock, memory: new CallerMemory({ clock: runtimeClock, maximumBytes: Infinity }), onOpened: () => { /* not counted */ } })
    const failure = await new Promise<CallFailure>((resolve, reject) => {
      const unexpected = (): never => { throw new Error('the request was answered') }
      const connection = connections.acquire(upstream.announced, { isOrder: true, isSingleUse: false })
      const call = new UpstreamCall(connections, connection, { onHead: () => reject(new Error('answered')), onData: unexpected, onEnd: unexpected, onFailure: resolve })
      call.mayWrite = () => false
      call.send({ method: 'POST', path: '/orders/1', headers: [], body: Buffer.from('paper') })
    })
    expect([failure.kind, upstream.seen.length]).toEqual([CallFailureKind.Withheld, 0])
    connections.closeAll()
    upstream.server.close()
    upstream.server.closeAllConnections()
  })

  it('is placed at another upstream, and the first one isn’t taken for lost', async () => {
    const upstreams = await Promise.all(['u1', 'u2'].map(async (name) => await startUpstream(name, (request, response) => { response.writeHead(200, sealedHead(request)).end(name) })))
    gateway = await startTestGateway(testDocument([testRoute()]), upstreams)
    const { state } = gateway.gateway
    const { starts } = state
    const allows = starts.allows.bind(starts)
    starts.allows = (service, upstream, waiting) => !(waiting === 0 && upstream.announced.id === 'u1') && allows(service, upstream, waiting)
    for (let sent = 0; sent < 8; sent += 1) expect(await callGateway({ port: gateway.port, path: '/orders/1', attempt: `a${sent}` })).toMatchObject({ status: 200, body: 'u2' })
    expect([...state.upstreams.all].map(({ unreachedSince, isEjected }) => [unreachedSince, isEjected])).toEqual([[undefined, false], [undefined, false]])
  })
})
