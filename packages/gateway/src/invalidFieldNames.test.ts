import { once } from 'node:events'
import { afterEach, describe, expect, it } from 'vitest'
import { startForwardingGateways, startRawUpstream } from './rawUpstreamTestSupport.js'
import { openRawClient, startTestGateway, testDocument, testHeaders, testRoute } from './testSupport.js'
import type { Route } from '@cuminvale/serving'
import type { RawExchange, RawUpstream } from './rawUpstreamTestSupport.js'
import type { TestGateway } from './testSupport.js'

const running: TestGateway[] = []
afterEach(() => { running.splice(0).forEach((gateway) => gateway.stop()) })

const routes: ReadonlyArray<readonly [string, Route]> = [
  ['an order', testRoute()],
  ['a safe request', testRoute({ kind: 'safe', maximumAttempts: 1 })],
  ['a stream', testRoute({ kind: 'stream', isResumable: false })],
  ['a resumable stream', testRoute({ kind: 'stream', isResumable: true, maximumAttempts: 1 })]
]
const controlBytes = [...Array.from({ length: 32 }, (_, code) => code).filter((code) => code !== 10), 127].map((code) => String.fromCharCode(code))
const lines = [
  ...[' ', ...controlBytes].flatMap((byte) => [`x${byte}name: 1`, `x-name${byte}: 1`, `${byte}x-name: 1`]),
  'x-n\u00e4me: 1', 'x-name', ': 1', ' : 1', 'x[y]: 1', 'x"y: 1',
  ...['content-length', 'transfer-encoding', 'connection', 'keep-alive', 'upgrade', 'proxy-connection'].flatMap((name) => [`${name} : 4`, `${name}\t: 4`, `${name}\u0001: 4`, ` ${name}: 4`])
]
const someLines = ['x name: 1', 'x-name : 1', 'x\u0001name: 1']
const body = 'id: 1\ndata: one\n\n'
const frames: ReadonlyArray<readonly [string, string]> = [
  ['a length', `content-length: ${body.length}\r\n\r\n${body}`],
  ['chunks', `transfer-encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`],
  ['neither', `\r\n${body}`]
]

const answerText = ({ attempt }: RawExchange, { line, isFirst, frame }: { readonly line: string, readonly isFirst: boolean, readonly frame: string }): string => {
  const own = `${testHeaders.attempt}: ${attempt}\r\n${testHeaders.seal}: s1\r\ncontent-type: text/event-stream\r\n`
  return `HTTP/1.1 200 OK\r\n${isFirst ? `${line}\r\n${own}` : `${own}${line}\r\n`}${frame}`
}

const turn = async (): Promise<void> => await new Promise((resolve) => setImmediate(resolve))

/** Sends a request and returns all bytes that come back. */
const rawAnswer = async (port: number, attempt: string): Promise<string> => {
  const client = openRawClient(port)
  client.socket.write(`POST /orders/7 HTTP/1.1\r\nhost: shop.example\r\n${testHeaders.attempt}: ${attempt}\r\n${testHeaders.deadline}: 2000\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}`)
  await once(client.socket, 'close')
  return client.text
}

/** A whole failure that the gateway made itself, without a byte of the upstream. */
const failure = /^HTTP\/1\.1 502 Bad Gateway\r\ncontent-type: text\/plain\r\ncontent-length: (\d+)\r\nConnection: close\r\n\r\n([^\r]*)$/
const isFailure = (text: string): boolean => {
  const [, length, detail] = failure.exec(text) ?? []
  return Number(length) === detail?.length
}

/** Lines after which the caller got anything but a failure. */
const passedOn = async (start: (upstream: RawUpstream) => Promise<number>, { frame, tried = lines, pieceBytes = Infinity }: { readonly frame: string, readonly tried?: readonly string[], readonly pieceBytes?: number }): Promise<readonly string[]> => {
  const passed: string[] = []
  for (const isFirst of [true, false]) {
    let next = ''
    const upstream = await startRawUpstream('u0', async (exchange) => {
      const text = answerText(exchange, { line: next, isFirst, frame })
      for (let offset = 0; offset < text.length; offset += pieceBytes) {
        exchange.write(text.slice(offset, offset + pieceBytes))
        if (pieceBytes < text.length) await turn()
      }
      await exchange.endWriting()
    })
    const port = await start(upstream)
    for (const line of tried) {
      next = line
      const { length } = upstream.exchanges
      const text = await rawAnswer(port, 'a1')
      if (!isFailure(text) || upstream.exchanges.length !== length + 1) passed.push(`${JSON.stringify(line)} ${text}`)
    }
  }
  return passed
}

const startDirect = async (route: Route, upstream: RawUpstream): Promise<number> => {
  const gateway = await startTestGateway(testDocument([route]), [upstream])
  running.push(gateway)
  return gateway.port
}

const startForwarding = async (route: Route, upstream: RawUpstream): Promise<number> => {
  const gateways = await startForwardingGateways(testDocument([route]), upstream)
  running.push(...gateways)
  return gateways[0].port
}

describe('an answer in whose head the name of a field is none', () => {
  const cases = routes.flatMap(([kind, route]) => frames.map(([framing, frame]) => [kind, framing, route, frame] as const))

  // Guards against such an answer that reaches callers as one, with the line passed on or with a body that is not the upstream's.
  it.each(cases)('is not passed on (%s, with %s)', async (_kind, _framing, route, frame) => {
    expect(await passedOn(async (upstream) => await startDirect(route, upstream), { frame })).toEqual([])
  })

  it.each(frames)('is not passed on if it comes in pieces (with %s)', async (_framing, frame) => {
    expect(await passedOn(async (upstream) => await startDirect(testRoute(), upstream), { frame, tried: someLines, pieceBytes: 3 })).toEqual([])
  })

  it.each(routes)('is not passed on through a VM of another region (%s)', async (_kind, route) => {
    for (const line of someLines) expect(await passedOn(async (upstream) => await startForwarding(route, upstream), { frame: frames[0]?.[1] ?? '', tried: [line] })).toEqual([])
  })
})
