import { afterEach, describe, expect, it } from 'vitest'
import { callGateway, sealedHead, startTestGateway, startUpstream, testDocument, testHeaders, testRoute } from './testSupport.js'
import type { Route } from '@cuminvale/serving'
import type { ScriptedUpstream, TestGateway, UpstreamScript } from './testSupport.js'

let running: TestGateway | undefined
afterEach(() => { running?.stop() })

const order = testRoute()
const safe = testRoute({ kind: 'safe', maximumAttempts: 2 })

const start = async (route: Route, ...scripts: readonly UpstreamScript[]): Promise<readonly ScriptedUpstream[]> => {
  const upstreams = await Promise.all(scripts.map(async (script, index) => await startUpstream(`u${index}`, script)))
  running = await startTestGateway(testDocument([route]), upstreams)
  return upstreams
}

const call = async (attempt: string): ReturnType<typeof callGateway> => await callGateway({ port: running?.port ?? 0, path: '/orders/7', attempt })

const answers: UpstreamScript = (request, response) => response.writeHead(200, sealedHead(request)).end('done')
const asksForPause = (seconds: string): UpstreamScript => (_request, response) =>
  response.writeHead(503, { [testHeaders.notRun]: '1', 'retry-after': seconds }).end('full')

describe('an upstream that says to leave', () => {
  const leaving = { [testHeaders.leaving]: '1' }

  // Guards against requests to an upstream that said to leave in an answer (DRAIN).
  it.each<[string, UpstreamScript]>([
    ['a success', (request, response) => response.writeHead(200, { ...sealedHead(request), ...leaving }).end('done')],
    ['a failure', (request, response) => response.writeHead(500, { ...sealedHead(request), ...leaving }).end('error')],
    ['a refusal', (_request, response) => response.writeHead(503, { [testHeaders.notRun]: '1', ...leaving }).end('full')]
  ])('gets no request after %s that says so', async (_case, script) => {
    const [first] = await start(safe, script, answers)
    for (let attempt = 0; attempt < 30; attempt += 1) await call(`a${attempt}`)
    expect(first?.seen).toHaveLength(1)
  })
})

describe('an upstream that asks for a pause', () => {
  // Guards against requests to an upstream during the pause that it asked for (BUDGET).
  it('gets no request until the pause is over, and is used then', async () => {
    const [upstream] = await start(order, asksForPause('1'))
    for (let attempt = 0; attempt < 20; attempt += 1) await call(`a${attempt}`)
    expect(upstream?.seen).toHaveLength(1)
    await new Promise((resolve) => setTimeout(resolve, 1_100))
    await call('a20')
    expect(upstream?.seen).toHaveLength(2)
  })

  it('lets requests be refused at once, with the rest of the pause, if no other one is left', async () => {
    const upstreams = await start(order, asksForPause('30'))
    for (const attempt of ['a1', 'a2', 'a3']) {
      const answer = await call(attempt)
      expect(answer.status).toBe(503)
      expect(Number(answer.headers['retry-after'])).toBeGreaterThan(28)
    }
    expect(upstreams[0]?.seen).toHaveLength(1)
  })
})
