import { toFailureDomainId, toRegionId, toVmId } from '@cuminvale/common'
import { afterEach, describe, expect, it } from 'vitest'
import { callGateway, domain, freePort, region, silentLog, startTestGateway, startUpstream, testDocument, testHeaders, testRoute, wait } from './testSupport.js'
import type { Socket } from 'node:net'
import type { Route } from '@cuminvale/serving'
import type { ScriptedUpstream, TestGateway } from './testSupport.js'

const running: TestGateway[] = []
afterEach(() => { running.splice(0).forEach((gateway) => gateway.stop()) })

const body = 'id: 1\ndata: piece 1\n\n'
const routes: ReadonlyArray<readonly [string, Route]> = [
  ['an order', testRoute()],
  ['a safe request', testRoute({ kind: 'safe', maximumAttempts: 1 })],
  ['a stream', testRoute({ kind: 'stream', isResumable: false, maximumAttempts: 1 })],
  ['a resumable stream', testRoute({ kind: 'stream', isResumable: true, maximumAttempts: 1 })]
]
const framings: ReadonlyArray<readonly [string, string, string]> = [
  ['a length', `content-length: ${body.length}\r\n`, body],
  ['chunks', 'transfer-encoding: chunked\r\n', `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`],
  ['neither', '', body]
]
const finishes: ReadonlyArray<readonly [string, (socket: Socket) => void]> = [
  ['closes', (socket) => { socket.end() }],
  ['resets', (socket) => { setTimeout(() => socket.resetAndDestroy(), 2) }]
]
const southA = toFailureDomainId('south-a')
const domainRegions = new Map([[domain, region], [southA, toRegionId('south')]])

const answerTo = (attempt: string, framing: string, framedBody: string): { readonly bytes: string, readonly headLength: number } => {
  const head = `HTTP/1.1 200 OK\r\n${testHeaders.attempt}: ${attempt}\r\n${testHeaders.seal}: s1\r\ncontent-type: text/event-stream\r\n${framing}\r\n`
  return { bytes: head + framedBody, headLength: head.length }
}

/** An upstream that writes part of its answer, as far as `cut` says, and ends the connection; the first answer on each connection is whole if `isReused`. */
const startCutting = async (framing: string, framedBody: string, finish: (socket: Socket) => void, { isReused }: { readonly isReused: boolean }): Promise<{ readonly upstream: ScriptedUpstream, readonly cutAt: (length: number) => void }> => {
  let length = 0
  const answered = new WeakSet<Socket>()
  const upstream = await startUpstream('u1', ({ socket, headers }) => {
    const attempt = String(headers[testHeaders.attempt])
    const isFirst = !answered.has(socket)
    answered.add(socket)
    if (isReused && isFirst) {
      const whole = answerTo(attempt, `content-length: ${body.length}\r\n`, body)
      socket.write(whole.bytes)
      return
    }
    socket.write(answerTo(attempt, framing, framedBody).bytes.slice(0, length))
    finish(socket)
  })
  return { upstream, cutAt: (next) => { length = next } }
}

const stepBytes = 7

describe('an upstream that ends within the head of its answer', () => {
  const cases = routes.flatMap(([kind, route]) => framings.flatMap(([framing, header, framed]) => finishes.map(([how, finish]) => [kind, framing, how, route, header, framed, finish] as const)))

  // Guards against an answer that never began whole, and that callers get as a complete one with an empty or short body (MIXED, ORDER).
  it.each(cases)('gives %s no whole answer with %s, if it %s', async (_kind, _framing, _how, route, header, framed, finish) => {
    for (const isReused of [false, true]) {
      const { upstream, cutAt } = await startCutting(header, framed, finish, { isReused })
      const gateway = await startTestGateway(testDocument([route]), [upstream])
      running.push(gateway)
      const { bytes, headLength } = answerTo('a000', header, framed)
      // With neither length nor chunks, only the head can be cut visibly; the close ends the body.
      const end = header === '' ? headLength : bytes.length
      for (let length = 0; length < end; length += stepBytes) {
        if (isReused) await callGateway({ port: gateway.port, path: '/orders/1', attempt: 'a001' })
        cutAt(length)
        const before = upstream.seen.length
        const answer = await callGateway({ port: gateway.port, path: '/orders/1', attempt: 'a002', headers: { [testHeaders.deadline]: '1500' } })
        expect(upstream.seen.length).toBe(before + 1)
        expect({ length, isReused, isWholeSuccess: answer.status === 200 && answer.isWhole }).toEqual({ length, isReused, isWholeSuccess: false })
      }
    }
  }, 30_000)

  it.each(framings)('gives no whole answer to a request that was forwarded to its region, with %s', async (_framing, header, framed) => {
    const route = testRoute({ kind: 'stream', isResumable: false, maximumAttempts: 1 })
    const { upstream, cutAt } = await startCutting(header, framed, (socket) => { socket.end() }, { isReused: false })
    const south = { ...upstream, announced: { ...upstream.announced, failureDomain: southA } }
    const linkPort = await freePort()
    const behind = await startTestGateway(testDocument([route]), [south], silentLog, undefined, { vm: toVmId('vm-south'), region: toRegionId('south'), failureDomain: southA, domainRegions, linkPort })
    const front = await startTestGateway(testDocument([route]), [south], silentLog, undefined, { domainRegions, linkPort: await freePort(), seeds: [`127.0.0.1:${linkPort}`] })
    running.push(front, behind)
    const hearsForecast = (): boolean => front.gateway.state.forecasts.find(toRegionId('south'), upstream.announced.service) !== undefined
    for (let waits = 0; waits < 100 && !hearsForecast(); waits += 1) await wait(50)
    const { bytes, headLength } = answerTo('a000', header, framed)
    const end = header === '' ? headLength : bytes.length
    let reached = 0
    for (let length = 0; length < end; length += stepBytes) {
      cutAt(length)
      const before = upstream.seen.length
      const answer = await callGateway({ port: front.port, path: '/orders/1', attempt: 'a002', headers: { [testHeaders.deadline]: '1500' } })
      reached += upstream.seen.length - before
      expect({ length, isWholeSuccess: answer.status === 200 && answer.isWhole }).toEqual({ length, isWholeSuccess: false })
    }
    expect(reached).toBeGreaterThan(0)
  }, 30_000)
})
