import { createServer } from 'node:http'
import { connect } from 'node:net'
import { runtimeClock, toFailureDomainId, toIncarnationId, toRegionId, toVmId } from '@cuminvale/common'
import { afterEach, describe, expect, it } from 'vitest'
import { AnswerFailureKind } from './answerSink.js'
import { forwardPath } from './forwardCall.js'
import { FrameKind, decodeForward, encodeFrame, encodePackedFrame } from './forwardFrames.js'
import { callGateway, domain, listen, region, sealedHead, service, silentLog, startTestGateway, startUpstream, testDocument, testHeaders, testRoute, wait } from './testSupport.js'
import type { Server } from 'node:http'
import type { SoftwareVersion } from '@cuminvale/serving'
import type { TestGateway, UpstreamScript } from './testSupport.js'

let running: TestGateway | undefined
const servers: Server[] = []
afterEach(() => {
  running?.stop()
  for (const server of servers.splice(0)) {
    server.close()
    server.closeAllConnections()
  }
})

const safe = testRoute({ kind: 'safe', maximumAttempts: 3 })
const order = testRoute()
const resumableStream = testRoute({ kind: 'stream', isResumable: true, maximumAttempts: 3 })
const plainStream = testRoute({ kind: 'stream', isResumable: false })
const errorText = 'overloaded'
const eventsText = (first: number, last: number): string =>
  Array.from({ length: last - first + 1 }, (_, index) => `id: ${first + index}\ndata: piece ${first + index}\n\n`).join('')
const wholeStream = eventsText(1, 4)

const streamHead = { 'content-type': 'text/event-stream' } as const
const begins: UpstreamScript = (request, response) => {
  response.writeHead(200, { ...sealedHead(request), ...streamHead })
  response.write(eventsText(1, 2))
}
const breaksOff: UpstreamScript = (request, response, body) => {
  begins(request, response, body)
  setTimeout(() => response.destroy(), 20)
}
const goesOn: UpstreamScript = (request, response) => {
  response.writeHead(200, { ...sealedHead(request), ...streamHead }).end(eventsText(Number(request.headers['last-event-id'] ?? 0) + 1, 4))
}
const fails: UpstreamScript = (request, response) => { response.writeHead(500, sealedHead(request)).end(errorText) }

const domainRegions = new Map([[domain, region], [toFailureDomainId('south-a'), toRegionId('south')]])

/** Starts a VM that knows the upstreams and one of the other region, so that a stream can go on there. */
const startGateway = async (scripts: readonly UpstreamScript[]): Promise<TestGateway> => {
  const upstreams = await Promise.all(scripts.map(async (script, index) => await startUpstream(`u${index}`, script)))
  const { server, announced } = await startUpstream('u-south', fails)
  servers.push(server)
  return await startTestGateway(testDocument([resumableStream]), [...upstreams, { server, seen: [], announced: { ...announced, failureDomain: toFailureDomainId('south-a') } }], silentLog, runtimeClock, { domainRegions })
}

const versioned = { softwareVersion: 'v1' as SoftwareVersion }
const head = (status: number, type = 'text/event-stream'): Buffer => encodePackedFrame(FrameKind.Head, { status, headers: [testHeaders.seal, 's1', 'content-type', type], ...versioned })
const data = (text: string): Buffer => encodeFrame(FrameKind.Data, Buffer.from(text))
const end = encodeFrame(FrameKind.End)
const failed = encodePackedFrame(FrameKind.Failed, { kind: AnswerFailureKind.UpstreamBroke, detail: 'it broke off' })
const refused = encodePackedFrame(FrameKind.Refused, { reason: 'no-upstream', outcome: 'not-run', detail: 'full' })

/** Starts a VM of another region that answers each forwarded request with the frames, given the event after which it is resumed. */
const startPeer = async ({ gateway: { state } }: TestGateway, frames: (after: number) => readonly Buffer[]): Promise<void> => {
  const server = createServer((request, response) => {
    // Other tests may call the port that the kernel gave it.
    if (request.url !== forwardPath) return response.destroy()
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.on('end', () => {
      const after = Number(decodeForward(Buffer.concat(chunks)).envelope.resumeAfter ?? 0)
      response.writeHead(200).end(Buffer.concat([encodeFrame(FrameKind.Received), ...frames(after)]))
    })
  })
  servers.push(server)
  const south = toRegionId('south')
  const identity = {
    vm: toVmId('vm-2'), incarnation: toIncarnationId('i2'), region: south, failureDomain: toFailureDomainId('south-a'), linkAddress: `127.0.0.1:${await listen(server)}`, callerAddress: 'a:1', processorCapacity: 1
  }
  state.peers.recordRegionReport(south, [{ identity, isReady: true }])
  state.forecasts.recordReport(south, new Map([[service, { upstreams: 1, waitMilliseconds: 0, freeSlots: 6 }]]))
}

const secondAnswers: ReadonlyArray<readonly [string, (after: number) => readonly Buffer[]]> = [
  ['an error', () => [head(500, 'text/plain'), data(errorText), end]],
  ['an error as an event stream', () => [head(404), data(`${errorText}\n\n`), end]],
  ['a success that is no stream', () => [head(200, 'application/json'), data('{}'), end]],
  ['a failure', () => [failed]],
  ['data after a failure', () => [failed, data(eventsText(3, 4)), end]],
  ['a refusal', () => [refused]],
  ['a failure after its head', () => [head(200), failed]],
  ['a refusal after its head', () => [head(200), refused]],
  ['a second head', () => [head(200), head(500, 'text/plain'), data(errorText), end]],
  ['an event, a second head and an error', (after) => [head(200), data(eventsText(after + 1, after + 1)), head(500, 'text/plain'), data(errorText), end]],
  ['no end frame', (after) => [head(200), data(eventsText(after + 1, after + 1))]],
  ['nothing', () => []],
  ['the text of an error', () => [head(200), data(`HTTP/1.1 500 Internal Server Error\r\n\r\n${errorText}\n\n`), end]],
  ['the events from the start', () => [head(200), data(wholeStream), end]],
  ['a part of an event', (after) => [head(200), data(eventsText(after + 1, after + 1)), data('id: 4\nda'), end]]
]

describe('a stream that broke off in one region and gets an error in another', () => {
  const isExact = ({ status, body, isWhole }: { readonly status: number | undefined, readonly body: string, readonly isWhole: boolean }): unknown =>
    [status, wholeStream.startsWith(body) && body.endsWith('\n\n'), !isWhole || body === wholeStream]

  // Guards against an error that another VM passes on, which callers find in the middle of their stream.
  it.each(secondAnswers)('is exact or visibly incomplete if it broke off here, and the other VM sends %s', async (_case, frames) => {
    running = await startGateway([breaksOff])
    await startPeer(running, frames)
    expect(isExact(await callGateway({ port: running.port, path: '/orders/7' }))).toEqual([200, true, true])
  })

  it.each([['an error', fails], ['its rest', goesOn]])('is exact or visibly incomplete if it broke off there, and gets %s here', async (_case, script) => {
    const upstream = await startUpstream('u0', script)
    servers.push(upstream.server)
    for (const cut of [[failed], [], [refused], [head(500), data(errorText), end], [data('id: 3\nda')], [encodeFrame(FrameKind.Data), Buffer.from([9, 0, 0, 0, 0])]]) {
      const gateway = await startGateway([])
      await startPeer(gateway, () => {
        gateway.decoder.view = { ...gateway.decoder.view, upstreams: [...gateway.decoder.view.upstreams, upstream.announced] }
        gateway.gateway.state.adoptRecords()
        return [head(200), data(eventsText(1, 2)), ...cut]
      })
      const answer = await callGateway({ port: gateway.port, path: '/orders/7' })
      gateway.stop()
      expect(isExact(answer)).toEqual([200, true, true])
      expect(answer.isWhole).toBe(script === goesOn)
    }
  })

  it('goes on in the other region', async () => {
    running = await startGateway([breaksOff])
    await startPeer(running, (after) => [head(200), data(eventsText(after + 1, 4)), end])
    expect(await callGateway({ port: running.port, path: '/orders/7' })).toMatchObject({ status: 200, isWhole: true, body: wholeStream })
  })
})

describe('a request that got nothing yet', () => {
  it.each([['safe', safe], ['stream', resumableStream]])('fails, and is not said to be not run, if its upstream broke off and another VM refuses it (%s)', async (_kind, route) => {
    running = await startTestGateway(testDocument([route]), [await startUpstream('u0', (request) => request.socket.destroy())])
    await startPeer(running, () => [refused])
    expect((await callGateway({ port: running.port, path: '/orders/7' })).status).toBe(502)
  })

  it('gets no part of an answer that was held, but the whole error that followed', async () => {
    for (const length of [4, 60_000]) {
      let sends = 0
      const script: UpstreamScript = (request, response, body) => {
        sends += 1
        if (sends === 1) {
          response.writeHead(200, { ...sealedHead(request), 'content-length': '100000' })
          response.write('x'.repeat(length))
          setTimeout(() => response.destroy(), 20)
        } else fails(request, response, body)
      }
      running = await startTestGateway(testDocument([safe]), [await startUpstream('u0', script), await startUpstream('u1', script)])
      expect(await callGateway({ port: running.port, path: '/orders/7' })).toMatchObject({ status: 500, isWhole: true, body: errorText })
      running.stop()
    }
  })
})

describe('an answer that can not go on', () => {
  const cases = [
    ['a stream that can not be resumed', plainStream, begins],
    ['an order', order, (request, response) => {
      response.writeHead(200, sealedHead(request))
      response.write('half')
    }],
    ['an order with a length', order, (request, response) => {
      response.writeHead(200, { ...sealedHead(request), 'content-length': '100' })
      response.write('half')
    }],
    ['a safe answer longer than the buffer', safe, (request, response) => {
      response.writeHead(200, sealedHead(request))
      response.write('x'.repeat(70_000))
    }]
  ] as ReadonlyArray<readonly [string, typeof order, UpstreamScript]>
  const cut = (script: UpstreamScript): UpstreamScript => (request, response, body) => {
    script(request, response, body)
    setTimeout(() => response.destroy(), 20)
  }

  it.each(cases)('is visibly incomplete, and nothing follows it (%s)', async (_case, route, script) => {
    let sends = 0
    const first: UpstreamScript = (request, response, body) => {
      sends += 1
      if (sends === 1) cut(script)(request, response, body)
      else fails(request, response, body)
    }
    running = await startTestGateway(testDocument([route]), [await startUpstream('u0', first), await startUpstream('u1', first)])
    const answer = await callGateway({ port: running.port, path: '/orders/7' })
    expect([answer.isWhole, answer.body.includes(errorText), sends]).toEqual([false, false, 1])
  })

  const request = (version: string): string => `POST /orders/7 HTTP/${version}\r\nhost: shop.example\r\n${testHeaders.attempt}: a1\r\ncontent-length: 0\r\n\r\n`

  /** Sends bytes on one connection; what comes until it ends, and whether it was ended in an orderly way. */
  const exchange = async (port: number, bytes: string): Promise<{ readonly text: string, readonly isReset: boolean, readonly isClosed: boolean }> => await new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1')
    let [text, isReset] = ['', false]
    const timer = setTimeout(() => {
      resolve({ text, isReset, isClosed: false })
      socket.destroy()
    }, 2_000)
    socket.on('data', (chunk) => { text += chunk.toString() })
    socket.on('error', () => { isReset = true })
    socket.on('close', () => {
      clearTimeout(timer)
      resolve({ text, isReset, isClosed: true })
    })
    socket.write(bytes)
  })

  it.each(cases)('is reset for a caller of HTTP/1.0 (%s)', async (_case, route, script) => {
    running = await startTestGateway(testDocument([route]), [await startUpstream('u0', cut(script))])
    expect(await exchange(running.port, request('1.0'))).toMatchObject({ isReset: true })
  })

  // Guards against a connection that stays open for ever, since an answer that waits for an earlier one has no socket to reset.
  it.each(cases)('closes the connection of a caller that sent it behind another request (%s)', async (_case, route, script) => {
    let sends = 0
    const upstream = await startUpstream('u0', (sent, response, body) => {
      sends += 1
      if (sends === 1) setTimeout(() => { response.writeHead(200, { ...sealedHead(sent), 'content-length': '13' }).end('data: first\n\n') }, 200)
      else cut(script)(sent, response, body)
    })
    running = await startTestGateway(testDocument([route]), [upstream])
    const { text, isClosed } = await exchange(running.port, request('1.1').repeat(2))
    const [, first, second = ''] = text.split('HTTP/1.1 ')
    expect([isClosed, first?.includes('data: first'), second.includes('\r\n0\r\n')]).toEqual([true, true, false])
    await wait(50)
    expect(running.gateway.state.executions.size).toBe(0)
  })
})
