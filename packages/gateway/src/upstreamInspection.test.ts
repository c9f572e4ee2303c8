import { afterEach, describe, expect, it } from 'vitest'
import { CallFailure } from './errors.js'
import { startRawUpstream } from './rawUpstreamTestSupport.js'
import { startTestGateway, testDocument, testHeaders, testRoute } from './testSupport.js'
import { inspectUpstream } from './upstreamInspection.js'
import type { RawExchange } from './rawUpstreamTestSupport.js'
import type { TestGateway } from './testSupport.js'

let running: TestGateway | undefined
afterEach(() => { running?.stop() })

const named = `${testHeaders.healthOf}: u0\r\n`
const resets = async ({ socket }: RawExchange, text: string): Promise<void> => {
  socket.write(text, 'latin1')
  socket.resetAndDestroy()
}
const ends = async (exchange: RawExchange, text: string): Promise<void> => {
  exchange.write(text)
  await exchange.endWriting()
}

const inspect = async (answer: (exchange: RawExchange) => Promise<void>): Promise<unknown> => {
  const upstream = await startRawUpstream('u0', answer)
  running = await startTestGateway(testDocument([testRoute()]), [upstream])
  const { connections, codec } = running.gateway.state
  return await inspectUpstream({ connections, codec, upstream: upstream.announced, healthPath: '/health' })
}

describe('inspectUpstream', () => {
  it('reads what an upstream says of itself', async () => {
    expect(await inspect(async (exchange) => await ends(exchange, `HTTP/1.1 200 OK\r\n${named}\r\n`))).toMatchObject({ upstream: 'u0', coldMilliseconds: 0 })
  })

  const brokenAnswers: ReadonlyArray<readonly [string, string, typeof ends]> = [
    ...['000', '001', '099', '101', '600', '999'].map((status) => [`status ${status}`, `HTTP/1.1 ${status} x\r\n${named}content-length: 0\r\n\r\n`, ends] as const),
    ...['x name: 1', 'x-name : 1', 'x\u0001name: 1', 'x\u0000name: 1', ' x-name: 1', ': 1'].map((line) => [JSON.stringify(line), `HTTP/1.1 200 OK\r\n${named}${line}\r\ncontent-length: 0\r\n\r\n`, ends] as const),
    ['a length and fewer bytes', `HTTP/1.1 200 OK\r\n${named}content-length: 9\r\n\r\nhalf`, ends],
    ['chunks without the last', `HTTP/1.1 200 OK\r\n${named}transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n`, ends],
    ['neither, and a reset', `HTTP/1.1 200 OK\r\n${named}\r\nhalf`, resets],
    ['HTTP/1.0, and a reset', `HTTP/1.0 200 OK\r\n${named}\r\nhalf`, resets],
    ['half a head', `HTTP/1.1 200 OK\r\n${named}`, ends]
  ]

  // Guards against an upstream in trouble whose broken answer shows it to be warm.
  it.each(brokenAnswers)('takes nothing from an answer with %s', async (_case, text, finish) => {
    expect(await inspect(async (exchange) => await finish(exchange, text))).toBeInstanceOf(CallFailure)
  })
})
