/**
 * Test support: upstreams that read uploads as far as a test says and write
 * their answers to the socket, byte for byte.
 */

import { once } from 'node:events'
import { toFailureDomainId, toRegionId, toVmId } from '@cuminvale/common'
import { vi } from 'vitest'
import { domain, freePort, patiently, region, silentLog, startTestGateway, startUpstream, testHeaders } from './testSupport.js'
import type { Socket } from 'node:net'
import type { ServingDocument } from '@cuminvale/serving'
import type { ScriptedUpstream, TestGateway } from './testSupport.js'

const headEnd = '\r\n\r\n'

/** One request on a connection of its own, and what the upstream does with it. */
export class RawExchange {
  attempt = ''
  private bodyBytes = 0

  constructor (readonly socket: Socket) {}

  async readHead (): Promise<void> {
    let text = ''
    while (!text.includes(headEnd)) text += (await this.readSome()).toString('latin1')
    this.attempt = new RegExp(`^${testHeaders.attempt}: (.*)\r$`, 'im').exec(text)?.[1] ?? ''
    this.bodyBytes = text.length - text.indexOf(headEnd) - headEnd.length
  }

  /** Reads the upload up to a number of bytes, or a little more; nothing is taken from the kernel between two calls but what the socket buffers. */
  async readBody (bytes: number): Promise<void> {
    while (this.bodyBytes < bytes) this.bodyBytes += (await this.readSome()).length
  }

  write (text: string): void {
    this.socket.write(text, 'latin1')
  }

  /** Closes the side of the upstream; the rest of the upload can still be read. */
  async endWriting (): Promise<void> {
    await new Promise<void>((resolve) => { this.socket.end(() => resolve()) })
  }

  private async readSome (): Promise<Buffer> {
    for (;;) {
      const chunk = this.socket.read() as Buffer | null
      if (chunk !== null) return chunk
      if (this.socket.destroyed || this.socket.readableEnded) throw new Error('the gateway closed the connection')
      await Promise.race([once(this.socket, 'readable'), once(this.socket, 'close')])
    }
  }
}

export interface RawUpstream extends ScriptedUpstream {
  /** Requests that have begun. */
  readonly exchanges: RawExchange[]
}

/** Starts an upstream that handles the one request of each connection with `answer`. */
export const startRawUpstream = async (name: string, answer: (exchange: RawExchange) => Promise<void>): Promise<RawUpstream> => {
  const exchanges: RawExchange[] = []
  const upstream = await startUpstream(name, () => { /* the connections are read below */ })
  upstream.server.removeAllListeners('connection')
  upstream.server.on('connection', (socket: Socket) => {
    socket.on('error', () => { /* 'close' follows */ })
    const exchange = new RawExchange(socket)
    const handle = async (): Promise<void> => {
      await exchange.readHead()
      exchanges.push(exchange)
      await answer(exchange)
    }
    // The gateway may close first.
    handle().catch(() => socket.destroy())
  })
  const closeAllConnections = (): void => { exchanges.forEach(({ socket }) => socket.destroy()) }
  return { ...upstream, server: Object.assign(upstream.server, { closeAllConnections }), exchanges }
}

const southA = toFailureDomainId('south-a')
const domainRegions = new Map([[domain, region], [southA, toRegionId('south')]])

/** Starts a VM that forwards to one of another region, which has the only upstream; the first of both is the one to call. */
export const startForwardingGateways = async (document: ServingDocument, upstream: RawUpstream): Promise<readonly [TestGateway, TestGateway]> => {
  const south = { ...upstream, announced: { ...upstream.announced, failureDomain: southA } }
  const linkPort = await freePort()
  const behind = await startTestGateway(document, [south], silentLog, undefined, { vm: toVmId('vm-south'), region: toRegionId('south'), failureDomain: southA, domainRegions, linkPort })
  const front = await startTestGateway(document, [south], silentLog, undefined, { domainRegions, linkPort: await freePort(), seeds: [`127.0.0.1:${linkPort}`] })
  await vi.waitUntil(() => front.gateway.state.forecasts.find(toRegionId('south'), upstream.announced.service) !== undefined, patiently)
  return [front, behind]
}
