import { afterEach, describe, expect, it } from 'vitest'
import { callGateway, sealedHead, startTestGateway, startUpstream, testDocument, testHeaders, testRoute } from './testSupport.js'
import type { Socket } from 'node:net'
import type { ServingDocument } from '@cuminvale/serving'
import type { ScriptedUpstream, TestGateway, UpstreamScript } from './testSupport.js'

let running: TestGateway | undefined
afterEach(() => { running?.stop() })

const order = testRoute()
const safe = testRoute({ kind: 'safe', maximumAttempts: 2 })
const stream = testRoute({ kind: 'stream', isResumable: true, maximumAttempts: 3 })

const start = async (document: ServingDocument, ...scripts: readonly UpstreamScript[]): Promise<readonly ScriptedUpstream[]> => {
  const upstreams = await Promise.all(scripts.map(async (script, index) => await startUpstream(`u${index}`, script)))
  running = await startTestGateway(document, upstreams)
  return upstreams
}

const call = async (options: { body?: string, attempt?: string, headers?: Record<string, string> } = {}): ReturnType<typeof callGateway> =>
  await callGateway({ port: running?.port ?? 0, path: '/orders/7', ...options })

const answers: UpstreamScript = (request, response) => response.writeHead(200, sealedHead(request)).end('done')
const answersMisdirected: UpstreamScript = (_request, response) => response.writeHead(421, { 'content-length': '5' }).end('other')
const answersNotRun: UpstreamScript = (_request, response) => response.writeHead(503, { [testHeaders.notRun]: '1' }).end('full')
const answersError: UpstreamScript = (request, response) => response.writeHead(500, sealedHead(request)).end('error')
const closesConnection: UpstreamScript = (request) => request.socket.destroy()

const runsOf = (upstreams: readonly ScriptedUpstream[]): number => upstreams.reduce((sum, { seen }) => sum + seen.length, 0)

describe('an order', () => {
  it('is passed on unchanged, and its answer comes back complete', async () => {
    const [upstream] = await start(testDocument([order]), answers)
    const answer = await call({ body: 'two reams' })
    expect(answer).toMatchObject({ status: 200, body: 'done', isWhole: true })
    expect(answer.headers[testHeaders.seal]).toBe('s1')
    expect(upstream?.seen[0]).toMatchObject({ method: 'POST', path: '/orders/7', body: 'two reams' })
  })

  it('never gets the rest of an answer that declined it', async () => {
    await start(testDocument([order]), answersMisdirected, answers)
    for (let attempt = 0; attempt < 20; attempt += 1) {
      const answer = await call({ attempt: `a${attempt}` })
      expect([answer.status, answer.body, answer.headers[testHeaders.seal]]).toEqual([200, 'done', 's1'])
    }
  })

  it('is refused as not run if its only attempt was declined', async () => {
    const upstreams = await start(testDocument([order]), answersNotRun)
    const answer = await call()
    expect(answer.status).toBe(503)
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0)
    expect(runsOf(upstreams)).toBe(1)
  })

  it('is neither retried nor refused after its connection broke', async () => {
    const upstreams = await start(testDocument([order]), closesConnection, closesConnection)
    const answer = await call()
    expect(answer.status).toBe(502)
    expect(runsOf(upstreams)).toBe(1)
  })

  it('fails if a successful answer carries no seal', async () => {
    await start(testDocument([order]), (request, response) => response.writeHead(200, { [testHeaders.attempt]: String(request.headers[testHeaders.attempt]) }).end('forged'))
    const answer = await call()
    expect(answer.status).toBe(502)
    expect(answer.body).not.toContain('forged')
  })

  it('fails if the answer names another attempt', async () => {
    await start(testDocument([order]), (_request, response) => response.writeHead(200, { [testHeaders.attempt]: 'b9', [testHeaders.seal]: 's1' }).end('theirs'))
    const answer = await call()
    expect(answer.status).toBe(502)
    expect(answer.body).not.toContain('theirs')
  })

  it('is visibly incomplete to its caller if its answer breaks off', async () => {
    await start(testDocument([order]), (request, response) => {
      response.writeHead(200, { ...sealedHead(request), 'content-length': '100' })
      response.write('half')
      setTimeout(() => response.destroy(), 20)
    })
    expect((await call()).isWhole).toBe(false)
  })

  it.each([
    ['a reset ends an answer without a length', '', (socket: Socket) => socket.resetAndDestroy(), 20],
    ['a reset arrives together with the last bytes', '', (socket: Socket) => socket.resetAndDestroy(), 0],
    ['a close truncates a chunked answer', 'transfer-encoding: chunked\r\n', (socket: Socket) => socket.end(), 20]
  ])('is visibly incomplete to its caller if %s', async (_case, framing, finish, pauseMilliseconds) => {
    await start(testDocument([order]), ({ socket, headers }) => {
      const text = framing === '' ? 'half' : '4\r\nhalf\r\n'
      socket.write(`HTTP/1.1 200 OK\r\n${testHeaders.attempt}: ${String(headers[testHeaders.attempt])}\r\n${testHeaders.seal}: s1\r\nconnection: close\r\n${framing}\r\n${text}`)
      if (pauseMilliseconds === 0) finish(socket)
      else setTimeout(() => finish(socket), pauseMilliseconds)
    })
    const answer = await call()
    expect(answer.isWhole && answer.status === 200).toBe(false)
  })

  it('is complete if a close ends an answer without a length', async () => {
    await start(testDocument([order]), ({ socket, headers }) => {
      socket.end(`HTTP/1.1 200 OK\r\n${testHeaders.attempt}: ${String(headers[testHeaders.attempt])}\r\n${testHeaders.seal}: s1\r\nconnection: close\r\n\r\nall of it`)
    })
    expect(await call()).toMatchObject({ status: 200, isWhole: true, body: 'all of it' })
  })

  it('goes to another upstream if no connection can be made', async () => {
    const upstreams = await start(testDocument([order]), answers, answers)
    const [closedUpstream, openUpstream] = upstreams
    await new Promise((resolve) => closedUpstream?.server.close(resolve))
    for (let attempt = 0; attempt < 10; attempt += 1) expect((await call({ attempt: `a${attempt}` })).status).toBe(200)
    expect(openUpstream?.seen).toHaveLength(10)
  })
})

describe('a safe request', () => {
  it('is retried on another upstream after a failure', async () => {
    const upstreams = await start(testDocument([safe]), answersError, answers)
    for (let attempt = 0; attempt < 10; attempt += 1) {
      expect(await call({ attempt: `a${attempt}` })).toMatchObject({ status: 200, body: 'done' })
    }
    expect(upstreams[0]?.seen.length).toBeGreaterThan(0)
  })

  it('is retried on another upstream if its own answers other requests but not this one', async () => {
    const ignoresStuckAttempt: UpstreamScript = (request, response) => {
      if (request.headers[testHeaders.attempt] !== 'stuck') answers(request, response, '')
    }
    const upstreams = await start(testDocument([safe]), ignoresStuckAttempt, ignoresStuckAttempt)
    const load = { isOver: false }
    const others = (async () => {
      for (let attempt = 0; !load.isOver; attempt += 1) {
        await call({ attempt: `o${attempt}` })
        await new Promise((resolve) => setTimeout(resolve, 20))
      }
    })()
    await call({ attempt: 'stuck' })
    load.isOver = true
    await others
    const tried = upstreams.filter(({ seen }) => seen.some(({ headers }) => headers[testHeaders.attempt] === 'stuck'))
    expect(tried).toHaveLength(2)
  })

  it('never gets parts of two answers if the first one breaks off in its body', async () => {
    const breaksOffInBody: UpstreamScript = (request, response) => {
      response.writeHead(200, { ...sealedHead(request), 'content-length': '100', 'x-of': 'half' })
      response.write('half')
      setTimeout(() => response.destroy(), 20)
    }
    await start(testDocument([safe]), breaksOffInBody, answers)
    for (let attempt = 0; attempt < 6; attempt += 1) {
      const answer = await call({ attempt: `a${attempt}` })
      expect([answer.status, answer.body, answer.isWhole, answer.headers['x-of']]).toEqual([200, 'done', true, undefined])
    }
  })

  it('is sent to no more upstreams than its route allows, and the last failure is passed on complete', async () => {
    const upstreams = await start(testDocument([safe]), answersError, answersError, answersError)
    const answer = await call()
    expect(answer).toMatchObject({ status: 500, body: 'error', isWhole: true })
    expect(answer.headers[testHeaders.seal]).toBe('s1')
    expect(runsOf(upstreams)).toBe(2)
  })

  it('gets the failed answer if no other upstream is available', async () => {
    const upstreams = await start(testDocument([safe]), answersError)
    expect(await call()).toMatchObject({ status: 500, body: 'error', isWhole: true })
    expect(runsOf(upstreams)).toBe(1)
  })
})

describe('a resumable stream', () => {
  const eventStream = (first: number, last: number): string =>
    Array.from({ length: last - first + 1 }, (_, index) => `id: ${first + index}\ndata: piece ${first + index}\n\n`).join('')

  it('is resumed after the last complete event if its upstream breaks off within an event', async () => {
    const resumedAfter: string[] = []
    const script = (): UpstreamScript => (request, response) => {
      const after = request.headers['last-event-id']
      response.writeHead(200, { ...sealedHead(request), 'content-type': 'text/event-stream' })
      if (typeof after === 'string') {
        resumedAfter.push(after)
        response.end(eventStream(Number(after) + 1, 4))
        return
      }
      response.write(eventStream(1, 2) + 'id: 3\ndata: pi')
      setTimeout(() => response.destroy(), 20)
    }
    const upstreams = await start(testDocument([stream]), script(), script())
    const answer = await call()
    expect(answer).toMatchObject({ status: 200, isWhole: true, body: eventStream(1, 4) })
    expect(resumedAfter).toEqual(['2'])
    expect(runsOf(upstreams)).toBe(2)
  })

  it('is visibly incomplete to its caller if it can not be resumed', async () => {
    await start(testDocument([testRoute({ kind: 'stream', isResumable: false })]), (request, response) => {
      response.writeHead(200, sealedHead(request))
      response.write(eventStream(1, 2))
      setTimeout(() => response.destroy(), 20)
    })
    expect(await call()).toMatchObject({ status: 200, isWhole: false })
  })
})

describe('a caller that disconnects', () => {
  it('cancels its stream at the upstream', async () => {
    let closed: (() => void) | undefined
    const isClosed = new Promise<void>((resolve) => { closed = resolve })
    await start(testDocument([stream]), (request, response) => {
      response.writeHead(200, sealedHead(request))
      response.write('id: 1\ndata: x\n\n')
      response.on('close', () => closed?.())
    })
    const { request } = await import('node:http')
    const leaving = request({ host: '127.0.0.1', port: running?.port, path: '/orders/7', method: 'POST', headers: { host: 'shop.example', [testHeaders.attempt]: 'a1' } }, (response) => {
      response.once('data', () => leaving.destroy())
      response.on('error', () => { /* caused by destroy() */ })
    })
    leaving.on('error', () => { /* caused by destroy() */ })
    leaving.end()
    await isClosed
  })
})

describe('before a configuration is known', () => {
  it('refuses a request as not ready, rather than as an unknown route', async () => {
    running = await startTestGateway(testDocument([]), [])
    running.gateway.state.configuration = undefined
    expect((await call()).status).toBe(503)
  })
})
