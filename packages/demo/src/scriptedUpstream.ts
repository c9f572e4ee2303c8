/**
 * An upstream for fault tests: its current script handles each request, and it
 * can crash and start again on the same port.
 */

import { LoopbackHttpServer, urlOf, readText, sendJson } from '@cuminvale/fakes'
import type { IncomingMessage, ServerResponse } from 'node:http'

export interface ScriptedRequest {
  readonly upstream: ScriptedUpstream
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly body: string
}

export type Script = (scripted: ScriptedRequest) => void | Promise<void>

export class ScriptedUpstream {
  readonly server = new LoopbackHttpServer((request, response) => this.handle(request, response))
  readonly bodies: string[] = []
  deaths = 0
  leaving = false
  private port = 0

  constructor (public script: Script) {}

  async start (): Promise<void> {
    await this.server.start(this.port)
    this.port = Number(new URL(this.server.address).port)
  }

  /** Breaks every connection and refuses new ones. */
  async crash (): Promise<void> {
    this.deaths += 1
    await this.server.stop()
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (urlOf(request).pathname === '/control/load') {
      return sendJson(response, 200, { running: 0, queued: 0, ageMilliseconds: 0, leaving: this.leaving })
    }
    const body = await readText(request)
    this.bodies.push(body)
    await this.script({ upstream: this, request, response, body })
  }
}

export const echoBody: Script = ({ response, body }) => sendJson(response, 200, { echo: body })

export const neverAnswer: Script = () => {}

/** Sends the head and part of the announced body, then closes the connection. */
export const breakMidResponse: Script = ({ response }) => {
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': 100 })
  response.write('{"half":', () => response.destroy())
}

const event = (index: number): string => `data: {"choices":[{"index":0,"text":"w${index} "}]}\n\n`

/** Streams events from the requested position. Breaks the first attempt before event `breakBefore`, if given. */
export const streamEvents = (total: number, breakBefore?: number): Script => ({ request, response }) => {
  const from = Number(request.headers['cuminvale-resume-from'] ?? 0)
  const stop = from === 0 ? breakBefore ?? total : total
  response.writeHead(200, { 'content-type': 'text/event-stream' })
  for (let index = from; index < stop; index += 1) response.write(event(index))
  if (stop === total) response.end('data: [DONE]\n\n')
  else response.write('data: {"choices":[{"ind', () => response.destroy())
}
