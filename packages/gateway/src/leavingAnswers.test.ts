import { connect } from 'node:net'
import { afterAll, describe, expect, it } from 'vitest'
import { startTestGateway, startUpstream, testDocument, testHeaders, testRoute, testTeam, wait } from './testSupport.js'
import type { Socket } from 'node:net'
import type { TestGateway, UpstreamScript } from './testSupport.js'

const gateways: TestGateway[] = []
afterAll(() => { gateways.forEach((gateway) => gateway.stop()) })

const start = async (script: UpstreamScript, isPublic: boolean): Promise<TestGateway> => {
  const upstream = await startUpstream('u0', script)
  const gateway = await startTestGateway(testDocument([testRoute({ isPublic })], [testTeam()]), [upstream])
  gateways.push(gateway)
  return gateway
}

const head = (attempt: string, bodyBytes: number): string =>
  `POST /orders/${attempt} HTTP/1.1\r\nhost: shop.example\r\n${testHeaders.attempt}: ${attempt}\r\ncontent-length: ${bodyBytes}\r\n\r\n`

interface Caller {
  readonly socket: Socket
  readonly seen: { text: string, error: string | undefined, isClosed: boolean }
}

/** A caller that closes its side only after the VM has. */
const open = (port: number): Caller => {
  const socket = connect(port, '127.0.0.1')
  const seen: Caller['seen'] = { text: '', error: undefined, isClosed: false }
  socket.on('data', (chunk: Buffer) => { seen.text += chunk.toString('latin1') })
  socket.on('error', ({ message }) => { seen.error = message })
  socket.on('close', () => { seen.isClosed = true })
  return { socket, seen }
}

describe.concurrent('the last answer of a VM that stops', () => {
  // Guards against a reset by the rest of the body, to which the caller lost the refusal, and then didn't know whether the request ran.
  it('reaches a caller that is refused while it still sends its body', async () => {
    const { gateway, port } = await start(() => { /* not reached */ }, false)
    const left = gateway.leave()
    const { socket, seen } = open(port)
    socket.pause()
    const parts = 6
    const partBytes = 10_000
    socket.write(head('a1', parts * partBytes))
    for (let part = 0; part < parts; part += 1) {
      await wait(50)
      socket.write('x'.repeat(partBytes))
    }
    socket.resume()
    await left
    await wait(100)
    expect(seen).toMatchObject({ error: undefined, isClosed: true })
    expect(seen.text).toMatch(/^HTTP\/1.1 401 [^]*connection: close/i)
  })
})
