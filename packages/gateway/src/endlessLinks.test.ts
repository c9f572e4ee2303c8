import { createServer } from 'node:http'
import { deflateRawSync } from 'node:zlib'
import { runtimeClock, SeededRandom, toIncarnationId } from '@cuminvale/common'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { WebSocket } from 'ws'
import { senders } from './endlessTestSupport.js'
import { GatewayMetrics } from './gatewayMetrics.js'
import { GatewayPeerLinks } from './gatewayPeerLinks.js'
import { GatewayState } from './gatewayState.js'
import { packMessage } from './linkMessages.js'
import { OutgoingLink, linkPath } from './outgoingLink.js'
import { TestDecoder, listen, silentLog, testCodec, testSettings } from './testSupport.js'
import type { Log } from '@cuminvale/logs'
import type { Server } from 'node:http'

const servers: Server[] = []
let links: GatewayPeerLinks | undefined
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
  links?.close()
  for (const server of servers.splice(0)) {
    server.close()
    server.closeAllConnections()
  }
})

const selfIdentity = { ...testSettings, incarnation: toIncarnationId('i1'), linkAddress: 'a:1', callerAddress: 'a:2' }

/** Starts the links of a VM; returns its port and what it logged. */
const startLinks = async (): Promise<{ readonly port: number, readonly logged: string[] }> => {
  const server = createServer()
  servers.push(server)
  const port = await listen(server)
  const logged: string[] = []
  const log: Log = { ...silentLog, warn: (event) => { logged.push(event) }, info: (event) => { logged.push(event) } }
  const state = new GatewayState({
    settings: testSettings, self: selfIdentity, clock: runtimeClock, random: new SeededRandom(1), codec: testCodec, decoder: new TestDecoder(), log, metrics: new GatewayMetrics()
  })
  links = new GatewayPeerLinks({ state, self: selfIdentity, server, isSourceLost: () => false, onRecordsAdopted: () => { /* not asserted */ }, onSuspension: () => { /* not asserted */ } })
  return { port, logged }
}

const deflate = (message: Buffer): Buffer => packMessage({ kind: 'compressed', deflated: deflateRawSync(message) })
const longMessage = packMessage({ kind: 'records', at: 0, records: [['k', 'x'.repeat(15_000_000), 1]], lapsing: [] })
const tooLongMessage = packMessage({ kind: 'records', at: 0, records: [['k', 'x'.repeat(40_000_000), 1]], lapsing: [] })
const hello = packMessage({ kind: 'hello', identity: { ...selfIdentity, vm: 'vm-9' as never }, at: 0, known: [], isAsking: false })

const nest = (message: Buffer, depth: number): Buffer => depth === 0 ? message : nest(deflate(message), depth - 1)

describe('a compressed message between VMs', () => {
  // Guards against an exception that ends the process, and against minutes of inflating.
  it.each([
    ['that inflates beyond the limit', deflate(tooLongMessage)],
    ['that is no deflated text', packMessage({ kind: 'compressed', deflated: Buffer.from('not deflated') })],
    ['that holds another one, and so on', nest(packMessage({ kind: 'records-request', after: 0 }), 50)],
    ['of many that inflate to a gigabyte together', Buffer.concat(Array.from({ length: 70 }, () => deflate(longMessage)))]
  ])('%s is left out, and the next message is read', async (_case, frame) => {
    const { port, logged } = await startLinks()
    const socket = new WebSocket(`ws://127.0.0.1:${port}${linkPath}`)
    await new Promise((resolve) => socket.on('open', resolve))
    const startedAt = performance.now()
    socket.send(frame)
    socket.send(hello)
    await vi.waitFor(() => expect(logged).toContain('peer-heard'), { timeout: 5_000 })
    expect(performance.now() - startedAt).toBeLessThan(1_000)
    expect(logged).toContain('link-message-unreadable')
    expect(uncaught).toEqual([])
    socket.terminate()
  })

  it('that fills the limit is read', async () => {
    const { port, logged } = await startLinks()
    const socket = new WebSocket(`ws://127.0.0.1:${port}${linkPath}`)
    await new Promise((resolve) => socket.on('open', resolve))
    socket.send(deflate(longMessage))
    socket.send(hello)
    await vi.waitFor(() => expect(logged).toContain('peer-heard'), { timeout: 5_000 })
    expect(logged).not.toContain('link-message-unreadable')
    socket.terminate()
  })
})

describe('a message between VMs without end', () => {
  it('closes its link at the limit', async () => {
    const { port } = await startLinks()
    const socket = new WebSocket(`ws://127.0.0.1:${port}${linkPath}`)
    const closed = new Promise<number>((resolve) => socket.on('close', resolve))
    socket.on('error', () => { /* 'close' follows */ })
    await new Promise((resolve) => socket.on('open', resolve))
    const part = Buffer.alloc(1_048_576)
    for (let sent = 0; sent < 40; sent += 1) socket.send(part, { fin: false })
    expect([1_006, 1_009]).toContain(await closed)
    expect(uncaught).toEqual([])
  })
})

// Guards against parts of messages that end the process, as each of them costs far more than its bytes.
describe('a message between VMs in very short parts', () => {
  it('closes its link', async () => {
    const { port } = await startLinks()
    const socket = new WebSocket(`ws://127.0.0.1:${port}${linkPath}`)
    const closed = new Promise<number>((resolve) => socket.on('close', resolve))
    socket.on('error', () => { /* 'close' follows */ })
    await new Promise((resolve) => socket.on('open', resolve))
    for (let sent = 0; sent < 1_000; sent += 1) socket.send('x', { fin: false })
    expect([1_006, 1_008]).toContain(await closed)
    expect(uncaught).toEqual([])
  })
})

// Guards against a link that is dialled for ever, so that its VM is never reached again.
describe.each(senders)('a VM that answers a dial %s and without end', (_speed, send) => {
  it.each([['in a head', 'HTTP/1.1 101 Switching Protocols\r\n', 'x-a: b\r\n'], ['in informational heads', '', 'HTTP/1.1 103 Early\r\n\r\n'], ['in a body', 'HTTP/1.1 200 OK\r\n\r\n', 'x']])('%s is given up at the time limit', async (_case, head, unit) => {
    const server = createServer()
    servers.push(server)
    server.on('upgrade', (_request, socket) => {
      socket.on('error', () => { /* the receiver closed */ })
      socket.write(head)
      send(socket as never, unit)
    })
    const logged: string[] = []
    const link = new OutgoingLink({
      address: `127.0.0.1:${await listen(server)}`,
      clock: runtimeClock,
      log: { ...silentLog, warn: (event) => { logged.push(event) } },
      onOpen: () => { /* not asserted */ },
      onClosed: () => { /* not asserted */ },
      onMessage: () => { /* not asserted */ }
    })
    const timer = setInterval(() => link.maintain(60_000), 200)
    await vi.waitFor(() => expect(logged).toContain('link-down'), { timeout: 3_500 }).finally(() => clearInterval(timer))
    expect(uncaught).toEqual([])
  })
})
