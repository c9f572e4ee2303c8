/**
 * Test support: senders of bytes without end, and a record of the connections
 * that undici opens and of the bytes that are read from them.
 */

import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import { sealedHead } from './testSupport.js'
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/** Sends bytes over and over until the receiver closes. */
export type EndlessSender = (socket: Socket, unit: string) => void

const pouredUnits = 2_048
const dripIntervalMilliseconds = 50

/** As fast as the receiver reads. */
export const pour: EndlessSender = (socket, unit) => {
  const bytes = Buffer.from(unit.repeat(pouredUnits), 'latin1')
  const fill = (): void => {
    while (!socket.destroyed && socket.write(bytes)) { /* until the buffer is full */ }
  }
  socket.on('error', () => { /* the receiver closed */ })
  socket.on('drain', fill)
  fill()
}

/** One unit after another, slowly. */
export const drip: EndlessSender = (socket, unit) => {
  const timer = setInterval(() => socket.write(unit, 'latin1'), dripIntervalMilliseconds)
  socket.on('error', () => { /* the receiver closed */ })
  socket.on('close', () => clearInterval(timer))
}

export const senders = [['as fast as it is read', pour], ['slowly', drip]] as const

const connectedChannel = 'undici:client:connected'

/** Connections that undici opens. */
export class OpenedConnections {
  readonly sockets: Socket[] = []
  private readonly record = (message: unknown): void => { this.sockets.push((message as { readonly socket: Socket }).socket) }

  constructor () {
    subscribe(connectedChannel, this.record)
  }

  /** Bytes that were read from all connections, also from closed ones. */
  get bytesRead (): number {
    return this.sockets.reduce((sum, { bytesRead }) => sum + bytesRead, 0)
  }

  get openCount (): number {
    return this.sockets.filter(({ destroyed }) => !destroyed).length
  }

  stop (): void {
    unsubscribe(connectedChannel, this.record)
  }
}

export const sealedHeadText = (request: IncomingMessage, lines: readonly string[] = [], statusLine = 'HTTP/1.1 200 OK'): string =>
  [statusLine, ...Object.entries(sealedHead(request)).map(([name, value]) => `${name}: ${value}`), ...lines, '', ''].join('\r\n')
