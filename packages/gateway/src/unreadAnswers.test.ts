import { afterEach, describe, expect, it, vi } from 'vitest'
import { runtimeClock, toRouteName } from '@cuminvale/common'
import { callGateway, openRawClient, patiently, sealedHead, silentLog, startTestGateway, startUpstream, testDocument, testHeaders, testRoute, wait } from './testSupport.js'
import type { ServiceName } from '@cuminvale/serving'
import type { RawClient, TestGateway } from './testSupport.js'

/** More than the kernel's buffers of a connection on loopback hold. */
const longAnswer = Buffer.alloc(24_000_000, 'x')
const memoryBytes = 20_000_000
const idleTimeoutMilliseconds = 1_500

let running: TestGateway | undefined
const stops: Array<() => void> = []
afterEach(() => {
  for (const stop of stops.splice(0)) stop()
  running?.stop()
})

const archive = 'archive' as ServiceName

/** Long answers come from a service of its own, so that they take no upstream from the other caller. */
const start = async (): Promise<TestGateway> => {
  const upstream = await startUpstream('u0', (request, response) => { response.writeHead(200, sealedHead(request)).end('done') })
  const { announced, ...others } = await startUpstream('u1', (request, response) => { response.writeHead(200, sealedHead(request)).end(longAnswer) })
  const document = testDocument([testRoute(), testRoute({ name: toRouteName('long'), pathPrefix: '/long/', timeoutMilliseconds: 20_000, targets: [{ service: archive, weight: 1 }] })])
  const services = document.services.flatMap((service) => [service, { ...service, name: archive }])
  const limits = { ...document.limits, idleTimeoutMilliseconds }
  running = await startTestGateway({ ...document, services, limits }, [upstream, { ...others, announced: { ...announced, service: archive } }], silentLog, runtimeClock, { memoryBytes })
  return running
}

/** A caller that asks and doesn't read. */
const askWithoutReading = (port: number, text: string): RawClient => {
  const client = openRawClient(port)
  stops.push(() => client.socket.destroy())
  client.socket.pause()
  client.socket.write(text)
  return client
}

/** The most that is held for callers in some time, from the moment on at which it is more than an amount. */
const peakMemory = async ({ gateway: { state } }: TestGateway, bytes: number): Promise<number> => {
  await vi.waitUntil(() => state.callerMemory.total > bytes, patiently)
  let most = state.callerMemory.total
  for (let check = 0; check < 40; check += 1) {
    await wait(25)
    most = Math.max(most, state.callerMemory.total)
  }
  return most
}

const requestText = (path: string): string => `POST ${path} HTTP/1.1\r\nhost: shop.example\r\n${testHeaders.attempt}: a1\r\ncontent-length: 0\r\n\r\n`
const headText = `POST /orders/1 HTTP/1.1\r\nhost: shop.example\r\nx-long: ${'x'.repeat(60_000)}`

describe('a VM whose callers do not read their answers', () => {
  // Guards against answers that lie in the memory until the process ends, since each of them is within its limit.
  it('holds no more than its limit, and answers another caller', async () => {
    const { port } = await start()
    for (let index = 0; index < 40; index += 1) askWithoutReading(port, requestText('/long/1').repeat(2))
    const most = await peakMemory(running as TestGateway, 1_000_000)
    expect(most).toBeLessThanOrEqual(memoryBytes * 0.2)
    expect(await callGateway({ port, path: '/orders/1' })).toMatchObject({ status: 200, body: 'done' })
  })

  // Guards against a connection that stays for ever after its answer was complete.
  it('resets a connection that is not read for as long as one may be idle', async () => {
    const { gateway: { state }, port } = await start()
    const client = askWithoutReading(port, requestText('/long/1'))
    await vi.waitUntil(() => state.callerMemory.total > 0, patiently)
    await vi.waitUntil(() => state.callerMemory.total === 0, patiently)
    client.socket.resume()
    await vi.waitUntil(() => client.isClosed, patiently)
  })
})

describe('a VM whose callers stop within long heads', () => {
  it('counts them, and answers another caller', async () => {
    const { port } = await start()
    for (let index = 0; index < 100; index += 1) askWithoutReading(port, headText)
    const most = await peakMemory(running as TestGateway, 2_000_000)
    expect(most).toBeLessThanOrEqual(memoryBytes * 0.2)
    expect((await callGateway({ port, path: '/orders/1' })).status).toBe(200)
  })
})
