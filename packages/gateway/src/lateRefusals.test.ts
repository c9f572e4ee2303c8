import { request as httpRequest } from 'node:http'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { forwardPath } from './forwardCall.js'
import { FrameDecoder, FrameKind, encodeForward } from './forwardFrames.js'
import { callGateway, service, startTestGateway, startUpstream, testDocument, testHeaders, testRoute, wait } from './testSupport.js'
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { AttemptId } from '@cuminvale/serving'
import type { CallerAnswer, ScriptedUpstream, TestGateway } from './testSupport.js'

let running: TestGateway | undefined
afterEach(() => { running?.stop() })

const order = testRoute({ maximumAttempts: 2 })
const fixedStream = testRoute({ kind: 'stream', maximumAttempts: 2 })
const resumableStream = testRoute({ kind: 'stream', isResumable: true, maximumAttempts: 2 })
const safe = testRoute({ kind: 'safe', maximumAttempts: 2 })

const runMilliseconds = 30
const laterMilliseconds = 10
const mark = `${testHeaders.notRun}: 1\r\n`
const nameLine = (attempt: string): string => `${testHeaders.attempt}: ${attempt}\r\n`
/** How a copy names the attempt of the refusal. */
const naming: Readonly<Record<string, (attempt: string) => string>> = {
  'its attempt': nameLine,
  'its attempt twice': (attempt) => nameLine(attempt) + nameLine(attempt),
  'no attempt': () => '',
  'an empty attempt': () => nameLine('')
}

interface Fault {
  readonly when: 'at once' | 'idle' | 'before the body' | 'written' | 'later' | 'in the head' | 'between chunks' | 'after an informational answer' | 'before an informational answer'
  readonly names?: string
  readonly status?: string
  /** Which answers of the upstreams name their attempts, beside the copy. */
  readonly namedAnswers?: 'all' | 'successes' | 'none'
}

const refusalText = (names: string, status: string): string => `HTTP/1.1 ${status}\r\n${names}${status.startsWith('421') ? '' : mark}content-length: 4\r\n\r\nbusy`

/** Two upstreams, each of which refuses its first request, and writes that refusal once more on the same connection. */
const startFaultyUpstreams = async ({ when, names = 'its attempt', status = '503 Busy', namedAnswers = 'all' }: Fault, runs: Map<string, number>): Promise<readonly ScriptedUpstream[]> =>
  await Promise.all(['u0', 'u1'].map(async (name) => {
    let hasRefused = false
    const copies = new WeakMap<Socket, string>()
    const answer = ({ socket, headers, url }: IncomingMessage): void => {
      const attempt = String(headers[testHeaders.attempt])
      const copy = copies.get(socket)
      copies.delete(socket)
      if (!hasRefused) {
        hasRefused = true
        copies.set(socket, refusalText(naming[names]?.(attempt) ?? '', status))
        socket.write(refusalText(namedAnswers === 'all' ? nameLine(attempt) : '', '503 Busy') + (when === 'at once' ? copies.get(socket) ?? '' : ''))
        if (when === 'idle') setTimeout(() => socket.write(copies.get(socket) ?? ''), 2)
        return
      }
      runs.set(attempt, (runs.get(attempt) ?? 0) + 1)
      const isStream = url?.endsWith('stream') === true
      const body = isStream ? `id: 1\ndata: ${attempt}\n\n` : attempt
      const head = `HTTP/1.1 200 OK\r\n${namedAnswers === 'none' ? '' : nameLine(attempt)}${testHeaders.seal}: s1\r\ncontent-type: ${isStream ? 'text/event-stream' : 'text/plain'}\r\ntransfer-encoding: chunked\r\n`
      const early = { 'after an informational answer': 'HTTP/1.1 103 Early Hints\r\n\r\n', 'in the head': head, 'between chunks': `${head}\r\n2\r\n${body.slice(0, 2)}\r\n` }[when as string] ?? ''
      const chunk = when === 'between chunks' ? body.slice(2) : body
      const writeCopy = (text: string): void => {
        runs.set('copies', (runs.get('copies') ?? 0) + 1)
        socket.write(text)
      }
      if (copy !== undefined && when === 'later') setTimeout(() => writeCopy(copy), laterMilliseconds)
      else if (copy !== undefined) writeCopy(early + copy + (when === 'before an informational answer' ? 'HTTP/1.1 103 Early Hints\r\n\r\n' : ''))
      else if (early !== '') socket.write(early)
      const rest = { 'in the head': '\r\n', 'between chunks': '' }[when as string] ?? `${head}\r\n`
      setTimeout(() => { if (socket.writable) socket.write(`${rest}${chunk === '' ? '' : `${chunk.length.toString(16)}\r\n${chunk}\r\n`}0\r\n\r\n`) }, runMilliseconds)
    }
    const upstream = await startUpstream(name, when === 'before the body' ? () => { /* answered before */ } : answer)
    if (when === 'before the body') upstream.server.prependListener('request', answer)
    return upstream
  }))

type Call = (gateway: TestGateway, route: typeof order, attempt: string, body: string) => Promise<Pick<CallerAnswer, 'status' | 'body' | 'isWhole'>>

const callDirectly: Call = async ({ port }, { kind }, attempt, body) => await callGateway({ port, path: `/orders/${kind}`, attempt, body })

const statusOfLastFrame: Readonly<Record<number, number>> = { [FrameKind.End]: 200, [FrameKind.Failed]: 502, [FrameKind.Refused]: 503 }

/** Sends the request as a VM of another region would. */
const callByForward: Call = async ({ gateway }, route, attempt) => {
  const head = { attempt: attempt as AttemptId, resumes: undefined, method: 'POST', host: '', path: `/orders/${route.kind}`, key: undefined, deadlineMilliseconds: 2_000, tokens: undefined, parts: [], headers: ['host', 'shop.example', testHeaders.attempt, attempt] }
  const request = { head, attempt: head.attempt, route, service, team: undefined, priority: 1, yieldsToMoreUrgent: false, regions: undefined, isRepeatable: false, charge: 0, configurationVersion: 1 }
  const message = encodeForward({ request, remainingMilliseconds: 2_000, onTimeMilliseconds: 500, attemptsLeft: 2, resumeAfter: undefined, softwareVersion: undefined }, null)
  const response = await fetch(`http://127.0.0.1:${gateway.linkPort}${forwardPath}`, { method: 'POST', body: message })
  const frames = new FrameDecoder().push(Buffer.from(await response.arrayBuffer()))
  const body = Buffer.concat(frames.filter(({ kind }) => kind === FrameKind.Data).map(({ content }) => content)).toString()
  return { status: statusOfLastFrame[frames.at(-1)?.kind ?? 0], body, isWhole: true }
}

/** The statuses of a request that both upstreams refuse, and of two that run; none of them is false. */
const callThrice = async (route: typeof order, fault: Fault, call = callDirectly): Promise<ReadonlyArray<number | 'broken off' | undefined>> => {
  const runs = new Map<string, number>()
  running = await startTestGateway(testDocument([route]), await startFaultyUpstreams(fault, runs))
  const statuses: Array<number | 'broken off' | undefined> = []
  for (const attempt of ['a1', 'a2', 'a3']) {
    const { status, body, isWhole } = await call(running, route, attempt, 'x'.repeat(fault.when === 'before the body' ? 90_000 : 10))
    await wait(runMilliseconds)
    const ran = runs.get(attempt) ?? 0
    if (status === 200) expect(body).not.toContain('busy')
    if (status === 200 && isWhole) expect(body).toContain(attempt)
    if (status !== undefined && status !== 200 && status !== 502) expect({ attempt, status, ran }).toEqual({ attempt, status, ran: 0 })
    if (route.kind === 'order' || (route.kind === 'stream' && !route.isResumable)) expect(ran).toBeLessThanOrEqual(1)
    statuses.push(isWhole ? status : 'broken off')
  }
  if (fault.when !== 'at once' && fault.when !== 'idle') expect(runs.get('copies')).toBeGreaterThan(0)
  return statuses
}

const atMostOnce = [['an order', order], ['a stream that can not be resumed', fixedStream]] as const
const repeatable = [['a resumable stream', resumableStream], ['a safe request', safe]] as const

// Guards against a refusal of an earlier request that is taken for that of the next one on its connection: "not run" would be false, or the request would run twice.
describe('a refusal that is written once more after the next request was sent', () => {
  it.each(atMostOnce.flatMap(([kind, route]) => Object.keys(naming).map((names) => [kind, names, route] as const)))('makes %s fail as one that may have run, if it names %s', async (_kind, names, route) => {
    expect(await callThrice(route, { when: 'written', names })).toEqual([503, 502, 200])
  })

  it.each(['429 Too Many', '421 Misdirected', '408 Timeout', '400 Bad'])('makes an order fail so if it names none and has status %s', async (status) => {
    expect(await callThrice(order, { when: 'written', names: 'no attempt', status })).toEqual([503, 502, 200])
  })

  it.each(['before the body', 'after an informational answer', 'before an informational answer'] as const)('makes an order fail so if it names none and comes %s', async (when) => {
    expect(await callThrice(order, { when, names: 'no attempt' })).toEqual([503, 502, 200])
  })

  it('makes an order that another VM forwarded fail so if it names none', async () => {
    expect((await callThrice(order, { when: 'written', names: 'no attempt' }, callByForward)).slice(0, 2)).toEqual([503, 502])
  })

  it.each(repeatable.flatMap(([kind, route]) => ['its attempt', 'no attempt'].map((names) => [kind, names, route] as const)))('does not refuse %s, which has run, if it names %s', async (_kind, names, route) => {
    expect(await callThrice(route, { when: 'written', names })).toEqual([503, 502, 200])
  })

  it.each(atMostOnce.flatMap(([kind, route]) => (['successes', 'none'] as const).map((namedAnswers) => [kind, namedAnswers, route] as const)))('makes %s fail so at upstreams that name the attempts of %s', async (_kind, namedAnswers, route) => {
    expect((await callThrice(route, { when: 'written', names: 'no attempt', namedAnswers })).slice(0, 2)).toEqual([503, 502])
  })
})

describe('a refusal that is written once more', () => {
  // Guards against surplus bytes that are read as the answer to a request which is sent later.
  it.each(atMostOnce.flatMap(([kind, route]) => (['at once', 'idle'] as const).flatMap((when) => ['its attempt', 'no attempt'].map((names) => [when, kind, names, route] as const))))('%s costs the next request (%s) nothing, if it names %s', async (when, _kind, names, route) => {
    expect(await callThrice(route, { when, names })).toEqual([503, 200, 200])
  })

  // Guards against a mark that is taken over into the head, or a body, of another answer.
  it.each(atMostOnce.flatMap(([kind, route]) => (['in the head', 'between chunks'] as const).flatMap((when) => Object.keys(naming).map((names) => [when, kind, names, route] as const))))('%s of another answer breaks it off (%s), if it names %s', async (when, _kind, names, route) => {
    const [, second] = await callThrice(route, { when, names })
    expect([502, 'broken off']).toContain(second)
  })
})

/** Two upstreams that answer each request with the status and header lines, and name its attempt. */
const startUpstreamsAnswering = async (status: number, headers: Record<string, string>): Promise<readonly ScriptedUpstream[]> =>
  await Promise.all(['u0', 'u1'].map(async (name) => await startUpstream(name, (request, response) => response.writeHead(status, { [testHeaders.attempt]: String(request.headers[testHeaders.attempt]), ...headers }).end('done'))))

describe('an answer that says both that it has run and that it has not', () => {
  // Guards against an order that is sent again, or refused, after an answer whose status states that it has run.
  it.each([200, 500, 504])('(status %i) fails an order as one that may have run', async (status) => {
    const upstreams = await startUpstreamsAnswering(status, { [testHeaders.seal]: 's1', [testHeaders.notRun]: '1' })
    running = await startTestGateway(testDocument([order]), upstreams)
    expect((await callGateway({ port: running.port, path: '/orders/1' })).status).toBe(502)
    expect(upstreams.reduce((sum, { seen }) => sum + seen.length, 0)).toBe(1)
  })
})

describe('an answer that does not say that it has not run, with a status that promises so to the caller', () => {
  // Guards against a refusal that lost its mark, or a failure of a run, as a promise that the order has not run.
  it.each([408, 429, 503])('(%i) fails an order as one that may have run', async (status) => {
    const upstreams = await startUpstreamsAnswering(status, { [testHeaders.seal]: 's1' })
    running = await startTestGateway(testDocument([order]), upstreams)
    const { status: passedOn, headers } = await callGateway({ port: running.port, path: '/orders/1' })
    expect([passedOn, headers[testHeaders.seal]]).toEqual([502, undefined])
  })
})

describe('a refusal that is written once more to an order whose caller has left', () => {
  // Guards against the answer of that order, which follows, as the answer to the next one on the connection.
  it.each(['its attempt', 'no attempt'])('closes the connection, if it names %s', async (names) => {
    const runs = new Map<string, number>()
    running = await startTestGateway(testDocument([order]), (await startFaultyUpstreams({ when: 'later', names }, runs)).slice(0, 1))
    const { port } = running
    expect((await callGateway({ port, path: '/orders/order', attempt: 'a1' })).status).toBe(503)
    const left = httpRequest({ host: '127.0.0.1', port, path: '/orders/order', method: 'POST', headers: { host: 'shop.example', [testHeaders.attempt]: 'a2' } })
    left.on('error', () => { /* it leaves by itself */ }).end('x')
    await vi.waitFor(() => expect(runs.get('a2')).toBe(1), { interval: 1 })
    left.destroy()
    await vi.waitFor(() => expect(runs.get('copies')).toBe(1), { interval: 1 })
    await wait(laterMilliseconds / 2)
    expect(await callGateway({ port, path: '/orders/order', attempt: 'a3' })).toMatchObject({ status: 200, body: 'a3' })
  })
})
