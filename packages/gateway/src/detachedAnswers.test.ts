import { afterEach, describe, expect, it, vi } from 'vitest'
import { startRawUpstream } from './rawUpstreamTestSupport.js'
import { callGateway, openRawClient, patiently, startTestGateway, testDocument, testHeaders, testRoute } from './testSupport.js'
import type { RawExchange } from './rawUpstreamTestSupport.js'
import type { TestGateway } from './testSupport.js'

let running: TestGateway | undefined
afterEach(() => { running?.stop() })

const headOf = ({ attempt }: RawExchange, status = '200'): string => `HTTP/1.1 ${status} x\r\n${testHeaders.attempt}: ${attempt}\r\n${testHeaders.seal}: s1\r\n`
const brokenAnswers: ReadonlyArray<readonly [string, (exchange: RawExchange) => string]> = [
  ...['000', '099', '101', '600'].map((status) => [`status ${status}`, (exchange: RawExchange) => `${headOf(exchange, status)}content-length: 0\r\n\r\n`] as const),
  ...['x name: 1', 'x-name : 1', 'x\u0001name: 1'].map((line) => [JSON.stringify(line), (exchange: RawExchange) => `${headOf(exchange)}${line}\r\ncontent-length: 0\r\n\r\n`] as const),
  ['a part of a body, and a reset', (exchange) => `${headOf(exchange)}\r\nhalf`],
  ['a part of a length, and a reset', (exchange) => `${headOf(exchange)}content-length: 9\r\n\r\nhalf`],
  ['a part of chunks, and a reset', (exchange) => `${headOf(exchange)}transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n`]
]

describe('a broken answer to an order whose caller has left', () => {
  // Guards against a connection that is used again after such an answer, so that the next caller gets what follows on it.
  it.each(brokenAnswers)('ends its connection (%s)', async (_case, brokenAnswer) => {
    let answerFirst = (): void => { /* set by the first request */ }
    const upstream = await startRawUpstream('u0', async (exchange) => {
      if (upstream.exchanges.length > 1) return exchange.write(`${headOf(exchange)}content-length: 2\r\n\r\nok`)
      answerFirst = () => {
        exchange.write(brokenAnswer(exchange))
        if (brokenAnswer(exchange).includes('half')) exchange.socket.resetAndDestroy()
      }
      await Promise.resolve()
    })
    running = await startTestGateway(testDocument([testRoute()]), [upstream])
    const { port, gateway: { state: { connections } } } = running
    const client = openRawClient(port)
    client.socket.write(`POST /orders/7 HTTP/1.1\r\nhost: shop.example\r\n${testHeaders.attempt}: a1\r\ncontent-length: 0\r\n\r\n`)
    await vi.waitUntil(() => upstream.exchanges.length === 1, patiently)
    client.socket.destroy()
    await vi.waitUntil(() => connections.detachedCalls.size === 1, patiently)
    answerFirst()
    await vi.waitUntil(() => connections.detachedCalls.size === 0, patiently)
    expect(await callGateway({ port, path: '/orders/7', attempt: 'a2' })).toMatchObject({ status: 200, isWhole: true, body: 'ok' })
    expect(upstream.exchanges).toHaveLength(2)
  })
})
