/**
 * The upstream process. It responds at once, sends one event of each stream per
 * turn of its event loop, and reports no load.
 */

import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { loopbackHost } from './constants.js'
import { endOfStreamEvent, eventText, smallResponse } from './messages.js'

const idleLoad = JSON.stringify({ running: 0, queued: 0, ageMilliseconds: 0, leaving: false })
const eventsPattern = /"events":(\d+)/
const maximumEventsPerStream = 4_096
const toHttpChunk = (event: string): Buffer => Buffer.from(`${event.length.toString(16)}\r\n${event}\r\n`)
const events = Array.from({ length: maximumEventsPerStream }, (_, index) => toHttpChunk(eventText(index)))

const sendJson = (response: ServerResponse, body: string): void => {
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': body.length })
  response.end(body)
}

/** Streams with events left to send; each sends one per turn unless its socket has to drain first. */
const activeStreams = new Set<EventStream>()

class EventStream {
  private sent = 0

  constructor (private readonly response: ServerResponse, private readonly count: number) {
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    response.flushHeaders()
  }

  sendNextEvent (): void {
    const { socket } = this.response
    if (socket === null || socket.destroyed) return this.finish()
    if (socket.writableNeedDrain) return
    // Writes the HTTP chunk to the socket directly: `response.write` would cost more than the proxies under test.
    socket.write(events[this.sent] ?? '')
    this.sent += 1
    if (this.sent === this.count) this.finish()
  }

  private finish (): void {
    activeStreams.delete(this)
    this.response.end(endOfStreamEvent)
  }
}

const sendNextEvents = (): void => {
  for (const stream of activeStreams) stream.sendNextEvent()
  if (activeStreams.size > 0) setImmediate(sendNextEvents)
}

const startStream = (response: ServerResponse, count: number): void => {
  activeStreams.add(new EventStream(response, count))
  if (activeStreams.size === 1) setImmediate(sendNextEvents)
}

const handleCompletion = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
  let body = ''
  for await (const chunk of request) body += String(chunk)
  const count = eventsPattern.exec(body)?.[1]
  if (count === undefined) sendJson(response, smallResponse)
  else startStream(response, Number(count))
}

const server = createServer((request, response) => {
  if (request.url === '/control/load') return sendJson(response, idleLoad)
  handleCompletion(request, response).catch(() => response.destroy())
})

server.listen(0, loopbackHost, () => {
  process.stdout.write(JSON.stringify({ port: (server.address() as AddressInfo).port }) + '\n')
})
process.once('SIGTERM', () => process.exit(0))
