/**
 * Fake plain service. It records every call, so that a test can check what ran,
 * how often, and which headers arrived.
 */

import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http'
import { LoopbackHttpServer, urlOf, readText, sendJson } from './loopbackHttpServer.js'

export interface ServiceCall {
  readonly method: string
  readonly path: string
  readonly headers: IncomingHttpHeaders
  readonly body: string
}

export class FakeService {
  readonly server = new LoopbackHttpServer((request, response) => this.handle(request, response))
  readonly calls: ServiceCall[] = []
  delayMilliseconds = 0
  leaving = false
  /** A request whose body contains this text has its connection closed without an answer, as in a crash. */
  crashText: string | undefined
  private running = 0

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (urlOf(request).pathname === '/control/load') return this.reportLoad(response)
    const body = await readText(request)
    this.calls.push({ method: request.method ?? '', path: request.url ?? '', headers: request.headers, body })
    if (this.crashText !== undefined && body.includes(this.crashText)) {
      response.destroy()
      return
    }
    this.running += 1
    await new Promise((resolve) => setTimeout(resolve, this.delayMilliseconds))
    this.running -= 1
    sendJson(response, 200, { call: this.calls.length, path: request.url, received: body.length })
  }

  private reportLoad (response: ServerResponse): void {
    sendJson(response, 200, { running: this.running, queued: 0, ageMilliseconds: 0, leaving: this.leaving })
  }
}
