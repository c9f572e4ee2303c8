import { afterEach, describe, expect, it } from 'vitest'
import { startRawUpstream } from './rawUpstreamTestSupport.js'
import { callGateway, startTestGateway, testDocument, testHeaders, testRoute, wait } from './testSupport.js'
import type { Route } from '@cuminvale/serving'
import type { RawExchange, RawUpstream } from './rawUpstreamTestSupport.js'
import type { CallerAnswer, TestGateway } from './testSupport.js'

let running: TestGateway | undefined
afterEach(() => { running?.stop() })

const routes: ReadonlyArray<readonly [string, Route]> = [
  ['an order', testRoute()],
  ['a safe request', testRoute({ kind: 'safe', maximumAttempts: 1 })],
  ['a stream', testRoute({ kind: 'stream', isResumable: false })],
  ['a resumable stream', testRoute({ kind: 'stream', isResumable: true, maximumAttempts: 1 })]
]
const frames: ReadonlyArray<readonly [string, string]> = [
  ['no body', 'content-length: 0\r\n\r\n'],
  ['a body', 'content-length: 4\r\n\r\nbody'],
  ['chunks', 'transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n'],
  ['a body until its end', '\r\nbody'],
  ['a sound answer behind it', 'content-length: 0\r\n\r\nHTTP/1.1 200 OK\r\nx-seal: s1\r\ncontent-length: 4\r\n\r\nlate']
]
const statuses = ['000', '001', '099', '101', '600', '999'] as const

const headOf = ({ attempt }: RawExchange, status: string, version = 'HTTP/1.1'): string => `${version} ${status} x\r\n${testHeaders.attempt}: ${attempt}\r\n${testHeaders.seal}: s1\r\n`
const soundAnswer = (exchange: RawExchange): string => `${headOf(exchange, '200')}content-length: 2\r\n\r\nok`

const call = async (port: number, attempt = 'a1'): Promise<CallerAnswer> =>
  await callGateway({ port, path: '/orders/7', body: '{}', attempt, headers: { [testHeaders.deadline]: '2000' } })

const startWith = async (route: Route, upstreams: readonly RawUpstream[]): Promise<number> => {
  running = await startTestGateway(testDocument([route]), upstreams)
  return running.port
}

describe('an answer whose status is none of HTTP', () => {
  const cases = routes.flatMap(([kind, route]) => statuses.flatMap((status) => frames.map(([framing, frame]) => [status, kind, framing, route, frame] as const)))

  // Guards against an upstream in trouble whose answer reaches callers as one, with a status that they can't read.
  it.each(cases)('is not passed on (%s to %s, with %s)', async (status, _kind, _framing, route, frame) => {
    for (const version of ['HTTP/1.1', 'HTTP/1.0']) {
      const upstream = await startRawUpstream('u0', async (exchange) => {
        exchange.write(headOf(exchange, status, version) + frame)
        await exchange.endWriting()
      })
      const answer = await call(await startWith(route, [upstream]))
      expect(answer).toMatchObject({ status: 502, isWhole: true, body: `status ${Number(status)} is none of HTTP, or was not asked for\n` })
      expect(upstream.exchanges).toHaveLength(1)
      running?.stop()
    }
  })

  it.each(statuses)('is replaced by that of another upstream to a safe request (%s)', async (status) => {
    let requests = 0
    const script = async (exchange: RawExchange): Promise<void> => {
      requests += 1
      exchange.write(requests === 1 ? `${headOf(exchange, status)}content-length: 0\r\n\r\n` : soundAnswer(exchange))
      await Promise.resolve()
    }
    const upstreams = [await startRawUpstream('u0', script), await startRawUpstream('u1', script)]
    const answer = await call(await startWith(testRoute({ kind: 'safe', maximumAttempts: 2 }), upstreams))
    expect(answer).toMatchObject({ status: 200, isWhole: true, body: 'ok' })
  })

  it.each(statuses)('ends its connection (%s)', async (status) => {
    const upstream = await startRawUpstream('u0', async (exchange) => {
      exchange.write(upstream.exchanges.length === 1 ? `${headOf(exchange, status)}content-length: 0\r\n\r\n` : soundAnswer(exchange))
      await Promise.resolve()
    })
    const port = await startWith(testRoute(), [upstream])
    expect((await call(port)).status).toBe(502)
    await wait(20)
    expect(upstream.exchanges.map(({ socket }) => socket.readableEnded || socket.destroyed)).toEqual([true])
    expect(await call(port, 'a2')).toMatchObject({ status: 200, isWhole: true, body: 'ok' })
  })
})

describe('an interim answer', () => {
  it.each(['102', '103', '199'])('is left out before the answer (%s)', async (status) => {
    const upstream = await startRawUpstream('u0', async (exchange) => {
      exchange.write(`${headOf(exchange, status)}\r\n`)
      await wait(5)
      exchange.write(soundAnswer(exchange))
    })
    expect(await call(await startWith(testRoute(), [upstream]))).toMatchObject({ status: 200, isWhole: true, body: 'ok' })
  })
})
