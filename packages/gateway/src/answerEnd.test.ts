import { afterEach, describe, expect, it } from 'vitest'
import { callGateway, startTestGateway, startUpstream, testDocument, testHeaders, testRoute } from './testSupport.js'
import type { Socket } from 'node:net'
import type { Route } from '@cuminvale/serving'
import type { CallerAnswer, ScriptedUpstream, TestGateway, UpstreamScript } from './testSupport.js'

let running: TestGateway | undefined
afterEach(() => { running?.stop() })

const resumableStream = testRoute({ kind: 'stream', isResumable: true, maximumAttempts: 3 })
const plainStream = testRoute({ kind: 'stream', isResumable: false })

const eventsText = (first: number, last: number): string =>
  Array.from({ length: last - first + 1 }, (_, index) => `id: ${first + index}\ndata: piece ${first + index}\n\n`).join('')

const endsOrderly = (socket: Socket): void => { socket.end() }

interface RawAnswer {
  readonly body: string
  readonly contentType?: string
  /** Header lines that frame the body; none for an answer that ends with its connection. */
  readonly framing?: string
  readonly finish?: (socket: Socket) => void
}

/** Writes an answer to the socket as it stands, and ends the connection. */
const sendRaw = (socket: Socket, attempt: string, { body, contentType = 'text/event-stream', framing = '', finish = endsOrderly }: RawAnswer): void => {
  socket.write(`HTTP/1.1 200 OK\r\n${testHeaders.attempt}: ${attempt}\r\n${testHeaders.seal}: s1\r\ncontent-type: ${contentType}\r\nconnection: close\r\n${framing}\r\n${body}`)
  finish(socket)
}

/** Gives the first answer to a new request, and the rest of four events to one that resumes. */
const answersWith = (first: RawAnswer): UpstreamScript => ({ socket, headers }) => {
  const attempt = String(headers[testHeaders.attempt])
  const resumeAfter = headers['last-event-id']
  sendRaw(socket, attempt, resumeAfter === undefined ? first : { body: eventsText(Number(resumeAfter) + 1, 4) })
}

const callWith = async (route: Route, first: RawAnswer): Promise<CallerAnswer & { readonly upstreams: readonly ScriptedUpstream[] }> => {
  const script = answersWith(first)
  const upstreams = [await startUpstream('u0', script), await startUpstream('u1', script)]
  running = await startTestGateway(testDocument([route]), upstreams)
  return { ...await callGateway({ port: running.port, path: '/orders/7' }), upstreams }
}

describe('a stream that ends with its connection', () => {
  // Guards against a stream that an upstream's crash cut inside an event, and that callers received as complete.
  it('is resumed if an orderly close cuts it inside an event', async () => {
    const answer = await callWith(resumableStream, { body: `${eventsText(1, 2)}id: 3\ndata: pie` })
    expect(answer).toMatchObject({ status: 200, isWhole: true, body: eventsText(1, 4) })
  })

  // The same failure on a stream that must not run again.
  it('is visibly incomplete if an orderly close cuts it inside an event and it can not be resumed', async () => {
    const answer = await callWith(plainStream, { body: `${eventsText(1, 2)}id: 3\ndata: pie` })
    expect(answer).toMatchObject({ status: 200, isWhole: false })
    expect(answer.upstreams.reduce((sum, { seen }) => sum + seen.length, 0)).toBe(1)
  })
})
