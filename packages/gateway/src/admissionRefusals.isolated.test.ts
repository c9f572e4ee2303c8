import { afterEach, describe, expect, it } from 'vitest'
import { callGateway, sealedHead, startTestGateway, startUpstream, testDocument, testRoute, wait } from './testSupport.js'
import type { TestGateway } from './testSupport.js'

let running: TestGateway | undefined
afterEach(() => { running?.stop() })

describe('a gateway that is asked for more than its upstream serves', () => {
  // Guards against refusals whose rank and cause are not known afterwards, and against ones that are delayed until capacity is free.
  it('refuses the less urgent route, at once, and tells by rank and cause', async () => {
    const routes = [0, 3].map((priority) => testRoute({ name: `r${priority}` as never, pathPrefix: `/r${priority}/`, priority, objectiveMilliseconds: 400 }))
    // Six slots, each of which serves a request in 60 ms.
    const freeAt = Array.from({ length: 6 }, () => 0)
    const upstream = await startUpstream('u1', (request, response) => {
      const slot = freeAt.indexOf(Math.min(...freeAt))
      freeAt[slot] = Math.max(performance.now(), freeAt[slot] ?? 0) + 60
      setTimeout(() => response.writeHead(200, sealedHead(request)).end('done'), freeAt[slot] - performance.now())
    })
    const lines: Array<Readonly<Record<string, unknown>>> = []
    const log = { info: (event: string, fields?: Readonly<Record<string, unknown>>) => { if (event === 'request') lines.push(fields ?? {}) }, warn: () => { /* not asserted */ }, error: () => { /* not asserted */ } }
    const document = testDocument(routes)
    // So many connections that the queue is limited by its delay.
    running = await startTestGateway({ ...document, services: document.services.map((service) => ({ ...service, connectionsPerUpstream: 1_000 })) }, [upstream], log)
    const { port, gateway } = running
    // Until then, requests may wait for other VMs to be heard.
    await wait(1_600)
    const served = [0, 0]
    const calls: Array<Promise<void>> = []
    // About twice what the upstream serves, half of it urgent, also if the timers of a busy machine are late.
    const startedAt = performance.now()
    for (let count = 0; count < 400; count += 1) {
      const isUrgent = count % 2 === 0
      calls.push(callGateway({ port, path: isUrgent ? '/r0/x' : '/r3/x', attempt: `a${count}` }).then(({ status }) => {
        if (status === 200) served[isUrgent ? 0 : 1] = (served[isUrgent ? 0 : 1] ?? 0) + 1
      }))
      while (startedAt + count * 5 > performance.now()) await wait(1)
    }
    await Promise.all(calls)
    expect(served[0]).toBeGreaterThan((served[1] ?? 0) * 1.5)
    const refused = lines.filter(({ outcome }) => outcome === 'refused')
    expect(refused.filter(({ cause, rank }) => rank === 3 && cause === 'rank').length).toBeGreaterThan(20)
    for (const { total } of refused) expect(total).toBeLessThan(100)
    const metrics = await gateway.metricsText()
    expect(metrics).toMatch(/cuminvale_gateway_admission_refusals_total\{rank="3",reason="rank"\} \d+/)
    expect(metrics).toMatch(/cuminvale_gateway_admission_level\{service="[^"]+"\} 0\.\d+/)
  }, 20_000)
})
