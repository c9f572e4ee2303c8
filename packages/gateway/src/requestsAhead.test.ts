import { afterEach, describe, expect, it, vi } from 'vitest'
import { ExchangeServer } from './exchangeServer.js'
import { callGateway, listen, openRawClient, patiently, sealedHead, startTestGateway, startUpstream, testDocument, testHeaders, testRoute, wait } from './testSupport.js'
import type { ServerResponse } from 'node:http'
import type { ExchangeServerOptions } from './exchangeServer.js'
import type { RawClient, TestGateway } from './testSupport.js'

const stops: Array<() => void> = []
afterEach(() => { for (const stop of stops.splice(0)) stop() })

const open = (port: number): RawClient => {
  const client = openRawClient(port, { allowHalfOpen: true })
  stops.push(() => client.socket.destroy())
  return client
}

const requestText = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: shop.example\r\n\r\n`

interface Held {
  readonly client: RawClient
  readonly responses: ServerResponse[]
}

/** A server whose answers the test gives. */
const startServer = async (options: ExchangeServerOptions = {}): Promise<Held> => {
  const responses: ServerResponse[] = []
  const server = new ExchangeServer(options, (request, response) => {
    request.resume()
    responses.push(response)
  })
  stops.push(() => {
    server.close()
    server.closeAllConnections()
  })
  return { client: open(await listen(server)), responses }
}

describe('requests that are sent ahead on a connection', () => {
  // Guards against a read of a thousand requests that are all held at once, until the process ends.
  it('are read on only as earlier ones are answered, all of them and in order', async () => {
    const { client, responses } = await startServer()
    client.socket.write(Array.from({ length: 400 }, (_value, index) => requestText(`/${index}`)).join(''))
    await vi.waitUntil(() => responses.length > 0, patiently)
    await wait(100)
    expect(responses.length).toBeLessThan(60)
    for (let index = 0; index < 400; index += 1) {
      await vi.waitUntil(() => responses.length > index, patiently)
      responses[index]?.end(`answer to ${responses[index]?.req.url ?? ''}.`)
    }
    await vi.waitUntil(() => client.text.includes('answer to /399.'), patiently)
    expect(client.text.match(/answer to \/\d+/g)).toEqual(Array.from({ length: 400 }, (_value, index) => `answer to /${index}`))
  })

  // Guards against the end of a connection that is seen before the rest of its last read was parsed.
  it('are all read if the client has ended its side meanwhile', async () => {
    const { client, responses } = await startServer()
    client.socket.end(Array.from({ length: 200 }, (_value, index) => requestText(`/${index}`)).join(''))
    for (let index = 0; index < 200; index += 1) {
      await vi.waitUntil(() => responses.length > index, patiently)
      responses[index]?.end('done')
    }
    expect(responses).toHaveLength(200)
  })

  // Guards against a caller that is never answered while others wait for the processor all the time.
  it('are read now and then though others wait for the processor, and the first of them at once', async () => {
    const { client, responses } = await startServer({ mayReadAhead: () => false })
    client.socket.write(requestText('/').repeat(20))
    for (let index = 0; index < 20; index += 1) {
      await vi.waitUntil(() => responses.length > index, patiently)
      responses[index]?.end('done')
    }
  })

  it('do not keep the body of the last of them from being read', async () => {
    const { client, responses } = await startServer()
    client.socket.write(`${requestText('/').repeat(15)}POST / HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 100000\r\n\r\n${'x'.repeat(100_000)}`)
    await vi.waitUntil(() => responses.length === 16 && responses[15]?.req.complete === true, patiently)
  })
})

describe('a connection with requests that were read and wait to be parsed', () => {
  // Guards against a stop that closes a connection on a request that the process has read.
  it('does not count as idle', async () => {
    const server = new ExchangeServer({}, (request, response) => {
      request.resume()
      const until = performance.now() + 2
      while (performance.now() < until) { /* takes longer than a slice */ }
      response.end('done')
      server.closeIdleConnections()
    })
    stops.push(() => {
      server.close()
      server.closeAllConnections()
    })
    const client = open(await listen(server))
    client.socket.write(requestText('/').repeat(200))
    const timer = setInterval(() => server.closeIdleConnections(), 1)
    stops.push(() => clearInterval(timer))
    await vi.waitUntil(() => client.text.split('done').length === 201, patiently)
  })
})

describe('a request that Node would answer by itself', () => {
  it.each([
    ['without a host', 'GET / HTTP/1.1\r\n\r\n', 400],
    ['with an unknown expectation', 'GET / HTTP/1.1\r\nhost: shop.example\r\nexpect: a-miracle\r\n\r\n', 417]
  ])('(%s) is answered after the ones before it, and counts as an exchange', async (_case, text, status) => {
    const { client, responses } = await startServer()
    client.socket.write(requestText('/') + text.repeat(1_000))
    await vi.waitUntil(() => responses.length === 1, patiently)
    await wait(50)
    expect([responses.length, client.text]).toEqual([1, ''])
    responses[0]?.end('done')
    await vi.waitUntil(() => client.text.includes(String(status)), patiently)
    expect(client.text.indexOf('done')).toBeLessThan(client.text.indexOf(String(status)))
    expect(client.text.split(`HTTP/1.1 ${status}`)).toHaveLength(2)
  })
})

describe('a caller that waits for 100 Continue', () => {
  let running: TestGateway

  const start = async (): Promise<void> => {
    const upstream = await startUpstream('u0', (request, response) => response.writeHead(200, sealedHead(request)).end('done'))
    running = await startTestGateway(testDocument([testRoute()]), [upstream])
    stops.push(() => running.stop())
  }

  const headOf = (path: string, length: number): string => `POST ${path} HTTP/1.1\r\nhost: shop.example\r\n${testHeaders.attempt}: a1\r\nexpect: 100-continue\r\ncontent-length: ${length}\r\n\r\n`

  it('is asked for a body that will be read, and served', async () => {
    await start()
    const client = open(running.port)
    client.socket.write(headOf('/orders/1', 4))
    await vi.waitUntil(() => client.text.includes('100 Continue'), patiently)
    client.socket.write('body')
    await vi.waitUntil(() => client.text.includes('done'), patiently)
    expect((await callGateway({ port: running.port, path: '/orders/1', body: 'x' })).status).toBe(200)
  })

  // Guards against a body that is asked for and refused.
  it.each([['/orders/1', 10_000_000, '413'], ['/unknown/1', 4, '404']])('is told at once that its body is refused (%s)', async (path, length, status) => {
    await start()
    const client = open(running.port)
    client.socket.write(headOf(path, length))
    await vi.waitUntil(() => client.text.includes('HTTP/1.1'), patiently)
    expect(client.text.startsWith(`HTTP/1.1 ${status}`)).toBe(true)
  })
})
