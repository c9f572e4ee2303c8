import { connect } from 'node:net'
import { runtimeClock } from '@cuminvale/common'
import { afterAll, describe, expect, it, vi } from 'vitest'
import { leavingIdleCloseMilliseconds } from './constants.js'
import { sealedHead, silentLog, startTestGateway, startUpstream, testDocument, testHeaders, testRoute, testSettings, testTeam, wait } from './testSupport.js'
import type { Socket } from 'node:net'
import type { LogFields } from '@cuminvale/logs'
import type { Route } from '@cuminvale/serving'
import type { TestGateway, UpstreamScript } from './testSupport.js'

const gateways: TestGateway[] = []
afterAll(() => { gateways.forEach((gateway) => gateway.stop()) })

const settings = { ...testSettings, bounds: { ...testSettings.bounds, leavingGraceMilliseconds: 3_600 } }
/** More than the kernel's buffers of a connection on loopback hold. */
const largeBytes = 16_000_000

const start = async (script: UpstreamScript, changes: Partial<Route>, log = silentLog): Promise<TestGateway> => {
  const upstream = await startUpstream('u0', script)
  const route = testRoute({ timeoutMilliseconds: 20_000, ...changes })
  const gateway = await startTestGateway(testDocument([route], [testTeam()]), [upstream], log, runtimeClock, settings)
  gateways.push(gateway)
  return gateway
}

const head = (attempt: string, bodyBytes: number): string =>
  `POST /orders/${attempt} HTTP/1.1\r\nhost: shop.example\r\n${testHeaders.attempt}: ${attempt}\r\ncontent-length: ${bodyBytes}\r\n\r\n`

interface Caller {
  readonly socket: Socket
  readonly seen: { text: string, error: string | undefined, isClosed: boolean }
}

/** A caller that closes its side only after the VM has. */
const open = (port: number): Caller => {
  const socket = connect(port, '127.0.0.1')
  const seen: Caller['seen'] = { text: '', error: undefined, isClosed: false }
  socket.on('data', (chunk: Buffer) => { seen.text += chunk.toString('latin1') })
  socket.on('error', ({ message }) => { seen.error = message })
  socket.on('close', () => { seen.isClosed = true })
  return { socket, seen }
}

describe.concurrent('the last answer of a VM that stops', () => {
  // Guards against a reset by the rest of the body, to which the caller lost the refusal, and then didn't know whether the request ran.
  it('reaches a caller that is refused while it still sends its body', async () => {
    const { gateway, port } = await start(() => { /* not reached */ }, { isPublic: false })
    const left = gateway.leave()
    const { socket, seen } = open(port)
    socket.pause()
    const parts = 6
    const partBytes = 10_000
    socket.write(head('a1', parts * partBytes))
    for (let part = 0; part < parts; part += 1) {
      await wait(50)
      socket.write('x'.repeat(partBytes))
    }
    socket.resume()
    await left
    await wait(100)
    expect(seen).toMatchObject({ error: undefined, isClosed: true })
    expect(seen.text).toMatch(/^HTTP\/1.1 401 [^]*connection: close/i)
  })

  // Guards against a connection that is closed without a byte, so that the caller of an order doesn't know that it was not run.
  it('is a refusal to a caller whose body has not come whole at the end of the grace', async () => {
    const { gateway, port } = await start(() => { /* not reached */ }, {})
    const { socket, seen } = open(port)
    socket.write(head('a1', 100))
    await wait(100)
    await gateway.leave()
    await wait(100)
    expect(seen).toMatchObject({ error: undefined, isClosed: true })
    expect(seen.text).toMatch(/^HTTP\/1.1 503 [^]*connection: close/i)
  })

  interface LoggedGateway extends TestGateway {
    readonly cut: LogFields[]
  }

  const startLogged = async (script: UpstreamScript, kind: Route['kind']): Promise<LoggedGateway> => {
    const cut: LogFields[] = []
    const log = { ...silentLog, warn: (event: string, fields: LogFields = {}) => { if (event === 'answer-cut') cut.push(fields) } }
    return { ...await start(script, { kind }, log), cut }
  }

  // Guards against connections that were closed with an answer under way, of which no line and no count told.
  it('is logged and counted if it is cut since its upstream goes on', async () => {
    const { gateway, port, cut } = await startLogged((request, response) => {
      response.writeHead(200, { ...sealedHead(request), 'content-type': 'text/event-stream' }).write('data: one\n\n')
    }, 'stream')
    const { socket, seen } = open(port)
    socket.write(head('a1', 0))
    await wait(100)
    await gateway.leave()
    expect(cut).toEqual([{ id: 'a1', status: 200, sentOnConnection: seen.text.length, unsent: 0 }])
    expect(gateway.remainder).toEqual({ connections: 0, forwards: 0, answersCut: 1 })
  })

  it('is logged and counted if it is cut since its caller reads slowly', async () => {
    const { gateway, port, cut } = await startLogged((request, response) => { response.writeHead(200, sealedHead(request)).end(Buffer.alloc(largeBytes)) }, 'safe')
    const { socket } = open(port)
    socket.pause()
    socket.write(head('a1', 0))
    await wait(500)
    await gateway.leave()
    expect(cut).toMatchObject([{ id: 'a1', status: 200 }])
    expect(cut[0]?.['unsent']).toBeGreaterThan(0)
    expect(gateway.remainder).toMatchObject({ answersCut: 1 })
  })
})

/** For the answer before the one that the test is about, on a busy machine. */
const answerTimeoutMilliseconds = 5_000

describe.concurrent('a request that crosses the close of an idle connection', () => {
  // Guards against a run of which the caller can't learn. Nothing can be told it: the VM has ended its side (RFC 9112, section 9.3.1).
  it('is not run, and its caller gets no byte', async () => {
    const paths: string[] = []
    const { gateway, port } = await start((request, response) => {
      paths.push(String(request.url))
      response.writeHead(200, sealedHead(request)).end('done')
    }, {})
    const { socket, seen } = open(port)
    socket.write(head('a1', 0))
    await vi.waitFor(() => expect(seen.text).toContain('done'), { timeout: answerTimeoutMilliseconds })
    await wait(200)
    const { length } = seen.text
    // As if the end of the connection were still under way.
    socket.pause()
    const left = gateway.leave()
    await wait(leavingIdleCloseMilliseconds + 100)
    socket.write(head('a2', 0))
    await wait(50)
    socket.resume()
    await left
    expect(seen).toMatchObject({ isClosed: true })
    expect(seen.text).toHaveLength(length)
    expect(paths).toEqual(['/orders/a1'])
  })
})
