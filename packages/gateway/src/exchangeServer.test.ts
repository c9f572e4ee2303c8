import { connect } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { ExchangeServer } from './exchangeServer.js'
import { listen } from './testSupport.js'
import type { Socket } from 'node:net'

/** More than the kernel's buffers of a connection on loopback hold. */
const largeAnswer = Buffer.alloc(16_000_000, 'x')

const server = new ExchangeServer({}, (request, response) => {
  request.resume()
  response.end(request.url === '/large' ? largeAnswer : 'done')
})
const sockets: Socket[] = []
afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy()
})

const pause = async (milliseconds: number): Promise<void> => await new Promise((resolve) => setTimeout(resolve, milliseconds))

const openConnection = async (): Promise<{ readonly socket: Socket, readonly seen: { bytes: number, isClosed: boolean } }> => {
  const port = server.listening ? (server.address() as { port: number }).port : await listen(server)
  const socket = connect(port, '127.0.0.1')
  sockets.push(socket)
  const seen = { bytes: 0, isClosed: false }
  socket.on('data', (chunk) => { seen.bytes += chunk.length })
  socket.on('error', () => { /* 'close' follows */ })
  socket.on('close', () => { seen.isClosed = true })
  return { socket, seen }
}

const requestText = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: shop.example\r\n\r\n`

describe('the idle connections of an ExchangeServer', () => {
  // Guards against a stop that cut answers whose last bytes still waited for a slow caller.
  it('do not include one whose answer has ended, but is not sent', async () => {
    const { socket, seen } = await openConnection()
    socket.pause()
    socket.write(requestText('/large'))
    await pause(200)
    server.closeIdleConnections()
    socket.resume()
    await pause(300)
    expect(seen).toMatchObject({ isClosed: false })
    expect(seen.bytes).toBeGreaterThan(largeAnswer.length)
    server.closeIdleConnections()
    await pause(100)
    expect(seen.isClosed).toBe(true)
  })

  it('include one whose answer was sent', async () => {
    const { socket, seen } = await openConnection()
    socket.write(requestText('/'))
    await pause(100)
    expect(seen.bytes).toBeGreaterThan(0)
    server.closeIdleConnections()
    await pause(100)
    expect(seen.isClosed).toBe(true)
  })

  it.each([
    ['the head of its next request', `${requestText('/').slice(0, 30)}`],
    ['the body of its next request', 'POST / HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 4\r\n\r\nab']
  ])('do not include one that is in the middle of %s', async (_part, text) => {
    const { socket, seen } = await openConnection()
    socket.write(requestText('/'))
    await pause(100)
    socket.write(text)
    await pause(100)
    server.closeIdleConnections()
    await pause(100)
    expect(seen.isClosed).toBe(false)
  })

  // Guards against a stop that closed a connection in the middle of a head that had begun before the answer to the request before was sent.
  it('do not include one whose next request began before the end of its answer', async () => {
    const { socket, seen } = await openConnection()
    socket.pause()
    socket.write(requestText('/large'))
    await pause(100)
    socket.write(requestText('/').slice(0, 30))
    await pause(100)
    socket.resume()
    await pause(300)
    server.closeIdleConnections()
    await pause(100)
    expect(seen.isClosed).toBe(false)
    expect(seen.bytes).toBeGreaterThan(largeAnswer.length)
  })
})

describe('a connection of an ExchangeServer on which reading fails', () => {
  const headTimeoutMilliseconds = 200
  const checkIntervalMilliseconds = 50
  const answerMilliseconds = 800

  const callRaw = async (text: string): Promise<string> => {
    const slowServer = new ExchangeServer({ connectionsCheckingInterval: checkIntervalMilliseconds, maxHeaderSize: 2_000, requestTimeout: 0 }, (request, response) => {
      request.resume()
      request.on('end', () => { setTimeout(() => response.end('done'), answerMilliseconds) })
    })
    slowServer.headersTimeout = headTimeoutMilliseconds
    const socket = connect(await listen(slowServer), '127.0.0.1')
    sockets.push(socket)
    let answer = ''
    socket.on('data', (chunk) => { answer += chunk.toString() })
    socket.on('error', () => { /* 'close' follows */ })
    socket.write(text)
    await new Promise((resolve) => socket.on('close', resolve))
    slowServer.close()
    return answer
  }

  const unreadable = [
    ['a head that is not completed in time', requestText('/2').slice(0, 25), 408],
    ['a head that can not be parsed', 'no request\r\n\r\n', 400],
    ['a head that is too long', `GET /2 HTTP/1.1\r\nhost: ${'x'.repeat(3_000)}\r\n\r\n`, 431],
    ['a body that can not be parsed', 'POST /2 HTTP/1.1\r\nhost: shop.example\r\ntransfer-encoding: chunked\r\n\r\nnone\r\n', 400]
  ] as const

  // Guards against a 408 in the place of the answer to an earlier request, which had run: a 408 promises that it has not.
  it.each(unreadable)('sends the answer to the request before %s', async (_part, text) => {
    expect(await callRaw(`${requestText('/1')}${text}`)).toMatch(/^HTTP\/1.1 200 OK[^]*\r\n\r\ndone$/)
  })

  it.each(unreadable)('refuses %s if nothing else is under way', async (_part, text, status) => {
    expect(await callRaw(text)).toMatch(new RegExp(`^HTTP/1.1 ${status} `))
  })
})

describe('an exchange of an ExchangeServer', () => {
  // Guards against requests that went on at upstreams after their caller had left, as Node reports no 'close' for an answer that waits for its turn.
  it('is reported as closed if its connection closes before an earlier answer is sent', async () => {
    const closed: string[] = []
    const waitingServer = new ExchangeServer({}, (request, response) => {
      request.resume()
      response.on('close', () => closed.push(String(request.url)))
    })
    const socket = connect(await listen(waitingServer), '127.0.0.1')
    socket.write(`${requestText('/1')}${requestText('/2')}${requestText('/3')}`)
    await pause(100)
    expect(waitingServer.exchangeCount).toBe(3)
    socket.destroy()
    await pause(100)
    expect(closed.sort()).toEqual(['/1', '/2', '/3'])
    expect(waitingServer.exchangeCount).toBe(0)
    waitingServer.close()
  })
})

describe('a connection that an ExchangeServer refuses unread', () => {
  // Guards against a reset by unread data, to which the caller loses the answer, and then doesn't know whether an order ran.
  it('gets its answer, although the caller goes on to send', async () => {
    const handled: unknown[] = []
    const answer = 'HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\nretry-after: 0.50\r\ncontent-length: 0\r\n\r\n'
    let isRefusing = true
    const refusingServer = new ExchangeServer({}, (request, response) => {
      handled.push(request.url)
      response.end()
    }, () => isRefusing ? answer : undefined)
    const port = await listen(refusingServer)
    const call = async (): Promise<string> => await new Promise((resolve) => {
      const socket = connect(port, '127.0.0.1')
      let received = ''
      socket.on('data', (chunk) => { received += chunk.toString() })
      socket.on('error', () => { received += 'reset' })
      socket.on('close', () => resolve(received))
      socket.write(`POST / HTTP/1.1\r\nhost: shop.example\r\nconnection: close\r\ncontent-length: 200000\r\n\r\n${'x'.repeat(200_000)}`)
    })
    expect(await call()).toBe(answer)
    expect(handled).toEqual([])
    isRefusing = false
    expect(await call()).toMatch(/^HTTP\/1.1 200 OK/)
    refusingServer.close()
  })
})

describe('a caller that goes on to send, of an ExchangeServer', () => {
  const parts = 20
  const partBytes = 5_000
  const refused = (request: string): string => `POST /${request} HTTP/1.1\r\nhost: shop.example\r\n`

  // Guards against a reset by unread data, to which the caller lost the answer, and then didn't know whether its request ran.
  it.each([
    ['a body, to a refusal after which the connection closes', `${refused('1')}connection: close\r\ncontent-length: ${parts * partBytes}\r\n\r\n`, 401],
    ['a head that is too long', `${refused('2')}x-long: `, 431],
    ['what can not be parsed', 'no request\r\n\r\n', 400],
    ['what can not be parsed, after a request', `${requestText('/3')}no request\r\n\r\n`, 401]
  ])('gets its answer (%s)', async (_case, text, status) => {
    const refusingServer = new ExchangeServer({ maxHeaderSize: 16_384 }, (request, response) => {
      request.resume()
      response.writeHead(401, { 'content-length': 0 }).end()
    })
    const socket = connect(await listen(refusingServer), '127.0.0.1')
    sockets.push(socket)
    let answer = ''
    const errors: string[] = []
    socket.on('data', (chunk) => { answer += chunk.toString() })
    socket.on('error', ({ message }) => errors.push(message))
    const closed = new Promise((resolve) => { socket.on('close', resolve) })
    socket.pause()
    socket.write(text)
    for (let part = 0; part < parts; part += 1) {
      await pause(10)
      socket.write('x'.repeat(partBytes))
    }
    socket.resume()
    await closed
    refusingServer.close()
    expect(errors).toEqual([])
    expect(answer).toMatch(new RegExp(`^HTTP/1.1 ${status} `))
  })
})
