/**
 * A small HTTP server on a loopback port, through which each fake is reached.
 */

import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

export type HttpHandler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>

export const loopbackHost = '127.0.0.1'

export class LoopbackHttpServer {
  private server: Server | undefined
  private port = 0

  constructor (private readonly handler: HttpHandler) {}

  get address (): string {
    return `http://${loopbackHost}:${this.port}`
  }

  async start (port = 0): Promise<void> {
    this.server = createServer((request, response) => {
      Promise.resolve(this.handler(request, response)).catch(() => response.destroy())
    })
    await new Promise<void>((resolve) => this.server?.listen(port, loopbackHost, resolve))
    this.port = (this.server.address() as AddressInfo).port
  }

  /** Stops listening and closes every open connection. */
  async stop (): Promise<void> {
    const server = this.server
    if (server === undefined) return
    this.server = undefined
    server.closeAllConnections()
    await new Promise<void>((resolve) => server.close(() => resolve()))
  }
}

export const readBytes = async (request: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

export const readText = async (request: IncomingMessage): Promise<string> => (await readBytes(request)).toString()

export const sendJson = (response: ServerResponse, status: number, value: unknown): void => {
  const body = JSON.stringify(value)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
  response.end(body)
}

export const urlOf = (request: IncomingMessage): URL => new URL(request.url ?? '/', 'http://fake')
