import { pack } from 'msgpackr'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { WebSocket } from 'ws'
import { linkPath } from './outgoingLink.js'
import { callGateway, sealedHead, startTestGateway, startUpstream, testDocument, testHeaders, testRoute, wait } from './testSupport.js'
import type { ScriptedUpstream, TestGateway, UpstreamScript } from './testSupport.js'

let running: TestGateway | undefined
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
})

const start = async (script: UpstreamScript): Promise<TestGateway & { readonly upstream: ScriptedUpstream }> => {
  const upstream = await startUpstream('u0', script)
  const gateway = await startTestGateway(testDocument([testRoute()]), [upstream])
  running = gateway
  return { ...gateway, upstream }
}

const answers: UpstreamScript = (request, response) => { response.writeHead(200, sealedHead(request)).end('done') }

const identity = { vm: 'vm-9', incarnation: 'i9', region: 'north', failureDomain: 'north-a', linkAddress: '127.0.0.1:1', callerAddress: '', processorCapacity: 1 }
const common = { at: 1, recordAge: 0, sequence: 1, steadyMilliseconds: 1, spent: [['bindery', 1]], parts: [['u0', ['p']]] }
const report = { kind: 'region-report', region: 'south', vm: 'vm-8', incarnation: 'i8', forecasts: [['desk', 1, 1, 1]], room: [['desk', 1]], need: [['desk', 1]], members: [[identity, true]], departed: [], ...common, parts: ['p'] }
const digest = { domain: 'north-b', processorCapacity: 1, loads: [['u0', 1, 1]], departed: [], members: [[identity, true]], vm: 'vm-8', incarnation: 'i8', ...common }
const hello = { kind: 'hello', identity, at: 0, known: [identity], isAsking: true, regions: [['south', [[identity, true]]]], domains: [['north-b', [[identity, true]]]], parts: [['u0', ['p']]], regionParts: [['south', ['p']]], performance: [['desk', 1, 1, 1, 1, 1]] }
const messages: ReadonlyArray<Readonly<Record<string, unknown>>> = [
  hello,
  { kind: 'heartbeat', isReady: true, isSpentFull: true, unreached: ['u0'], loads: [['u0', 1, 1]], reports: [report], ...common },
  { ...report },
  { kind: 'digest', own: digest, relayed: [digest], reports: [report], ...common },
  { kind: 'acknowledgement', sequence: 1 },
  { kind: 'leaving', identity },
  { kind: 'upstream-leaving', upstream: 'u7', startedAt: 1 },
  { kind: 'upstream-limits', vm: 'vm-9', incarnation: 'i9', limits: [['u7', 1, 2, 1, 1]] },
  { kind: 'crash-evidence', observations: [['o', 'u7', 'desk', 1, [['d', ['p']]]]], completions: [['desk', 'p', 1]] },
  { kind: 'stream-origins', origins: [['desk', 'v1', Buffer.alloc(6)]], isAnswer: true },
  { kind: 'stream-question', keys: Buffer.alloc(6), hops: 1 },
  { kind: 'records-request', after: 0 },
  { kind: 'record-changes', after: 0, at: 1, changes: [['k', null, 1]], lapseGrace: 0 },
  { kind: 'records', at: 1, records: [['k', 'v', 1]], lapsing: [['k', 1]] },
  { kind: 'compressed', deflated: Buffer.alloc(3) },
  { kind: 'unknown' }
]

const garbage = [null, undefined, 7, -1, Number.NaN, 'x', [], [7], [[7]], [null], [[null, null, null]], {}, true] as const

/** The message with each field in turn replaced by each kind of garbage. */
const mutations = (message: Readonly<Record<string, unknown>>): readonly unknown[] =>
  Object.keys(message).flatMap((field) => garbage.map((value) => ({ ...message, [field]: value })))

describe('a malformed message on a link between VMs', () => {
  // Guards against an exception that ends the process or its link, and against values that keep it from placing requests.
  it('is left out, and the VM goes on', async () => {
    const { gateway, port } = await start(answers)
    const socket = new WebSocket(`ws://127.0.0.1:${gateway.linkPort}${linkPath}`)
    await new Promise((resolve) => { socket.once('open', resolve) })
    socket.send(pack(hello))
    for (const message of [...messages.flatMap(mutations), ...garbage]) socket.send(pack(message))
    await wait(400)
    expect(uncaught).toEqual([])
    expect(socket.readyState).toBe(WebSocket.OPEN)
    const after = await Promise.all(Array.from({ length: 20 }, async (_, index) => await callGateway({ port, path: '/orders/1', attempt: `a${index}` })))
    expect(after.filter(({ status }) => status !== 200)).toEqual([])
    await gateway.metricsText()
    socket.terminate()
  })
})

describe('a malformed head of an upstream', () => {
  const own = (request: Parameters<UpstreamScript>[0]): string => `${testHeaders.attempt}: ${String(request.headers[testHeaders.attempt])}\r\n${testHeaders.seal}: s1\r\n`

  // Guards against an exception of Node's server as the head is passed on, after which the caller waits for ever.
  it.each([
    ['a status below 100', (fields: string) => `HTTP/1.1 099 Odd\r\n${fields}content-length: 0\r\n\r\n`],
    ['a status of 000', (fields: string) => `HTTP/1.1 000 Odd\r\n${fields}content-length: 0\r\n\r\n`],
    ['a character that no header may have', (fields: string) => `HTTP/1.1 200 OK\r\n${fields}x-odd: a\u0001b\r\ncontent-length: 0\r\n\r\n`],
    ['two lengths', (fields: string) => `HTTP/1.1 200 OK\r\n${fields}content-length: 1\r\ncontent-length: 2\r\n\r\nab`],
    ['length and chunks', (fields: string) => `HTTP/1.1 200 OK\r\n${fields}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`],
    ['a switch of protocols', (fields: string) => `HTTP/1.1 101 Switch\r\n${fields}upgrade: x\r\nconnection: upgrade\r\n\r\n`],
    ['no text', () => '\u0000\u0001\u0002']
  ])('with %s fails the order, and no other', async (_case, headOf) => {
    const { port } = await start((request, response, body) => {
      if (request.headers[testHeaders.attempt] === 'a1') request.socket.write(Buffer.from(headOf(own(request)), 'latin1'))
      else answers(request, response, body)
    })
    const first = await callGateway({ port, path: '/orders/1', attempt: 'a1' })
    expect(first).toMatchObject({ status: 502, isWhole: true })
    expect(uncaught).toEqual([])
    expect((await callGateway({ port, path: '/orders/1', attempt: 'a2' })).status).toBe(200)
  })

  it('with a character of Latin-1 is passed on', async () => {
    const { port } = await start((request) => { request.socket.write(Buffer.from(`HTTP/1.1 200 OK\r\n${own(request)}x-odd: caf\u00e9\r\ncontent-length: 0\r\n\r\n`, 'latin1')) })
    expect(await callGateway({ port, path: '/orders/1' })).toMatchObject({ status: 200, isWhole: true })
    expect(uncaught).toEqual([])
  })
})
