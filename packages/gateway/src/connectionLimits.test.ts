import { afterEach, describe, expect, it, vi } from 'vitest'
import { connectionLimitsOf } from './connectionLimits.js'
import { ExchangeServer } from './exchangeServer.js'
import { listen, openRawClient, patiently } from './testSupport.js'
import type { RawClient } from './testSupport.js'

const stops: Array<() => void> = []
afterEach(() => { for (const stop of stops.splice(0)) stop() })

const maximumConnections = 4

/** A server that answers all but the requests to "/held". */
const start = async (makeRoom: () => boolean = () => false): Promise<{ readonly open: (text?: string) => Promise<RawClient> }> => {
  let accepted = 0
  let handled = 0
  const server = new ExchangeServer({ maximumConnections, makeRoom }, (request, response) => {
    handled += 1
    request.resume()
    if (request.url !== '/held') response.end('done')
  })
  stops.push(() => {
    server.close()
    server.closeAllConnections()
  })
  server.on('connection', () => { accepted += 1 })
  const port = await listen(server)
  return {
    open: async (text = '') => {
      const client = openRawClient(port)
      stops.push(() => client.socket.destroy())
      client.socket.write(text)
      const known = { accepted, handled }
      await vi.waitUntil(() => accepted > known.accepted && (text === '' || handled > known.handled || client.isClosed), patiently)
      return client
    }
  }
}

const requestText = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: shop.example\r\n\r\n`

describe('a server with as many connections as it may have', () => {
  // Guards against silent connections that take all descriptors, so that no other caller gets in.
  it('closes the one without a request that has waited longest, for each new one', async () => {
    const { open } = await start()
    const used = await open(requestText('/'))
    const held = await open(requestText('/held'))
    const silent = [await open(), await open(), await open(), await open()]
    const caller = await open(requestText('/'))
    await vi.waitUntil(() => caller.text.includes('done'), patiently)
    await vi.waitUntil(() => silent.filter(({ isClosed }) => isClosed).length >= 3, patiently)
    expect([used, held, ...silent].map(({ isClosed }) => isClosed)).toEqual([false, false, true, true, true, false])
  })

  it('closes the new one if all have an open request that must stay', async () => {
    const { open } = await start()
    const held = [await open(requestText('/held')), await open(requestText('/held')), await open(requestText('/held')), await open(requestText('/held'))]
    const caller = await open(requestText('/'))
    await vi.waitUntil(() => caller.isClosed, patiently)
    expect(held.map(({ isClosed }) => isClosed)).toEqual([false, false, false, false])
  })

  it('takes one more if another one gives way', async () => {
    const { open } = await start(() => true)
    for (let index = 0; index < maximumConnections; index += 1) await open(requestText('/held'))
    const caller = await open(requestText('/'))
    await vi.waitUntil(() => caller.text.includes('done'), patiently)
  })
})

describe('connectionLimitsOf', () => {
  it('leaves descriptors to the connections to upstreams and other VMs', () => {
    for (const sockets of [undefined, 200, 3_900, 8_000]) {
      const { callers, links, endpoint } = connectionLimitsOf({ sockets })
      expect(callers * 1.25 + links * 1.25 + 3 * endpoint).toBeLessThan((sockets ?? 3_900) * 0.95)
    }
  })
})
