import { PassThrough, Readable } from 'node:stream'
import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { relayStream } from './relayStream.js'
import type { ServerResponse } from 'node:http'
import type { Exchange } from './upstreamClient.js'

const begun = 'data: 1\n\ndata: 2\n\n'
const rest = 'data: 3\n\ndata: [DONE]\n\n'

/** An answer that breaks off after its body if told so. */
const exchangeOf = (body: string, { status = 200, type = 'text/event-stream', breaksOff = false } = {}): Exchange => {
  const chunks = function * (): Generator<Buffer> {
    yield Buffer.from(body)
    if (breaksOff) throw Object.assign(new Error('other side closed'), { code: 'UND_ERR_SOCKET' })
  }
  return { status, headers: type === '' ? {} : { 'content-type': type }, body: Readable.from(chunks()) } as unknown as Exchange
}

const relay = async (...resumptions: readonly Exchange[]): Promise<{ readonly text: string, readonly isWhole: boolean }> => {
  const response = new PassThrough()
  let text = ''
  response.on('data', (chunk: Buffer) => { text += chunk.toString() })
  const left = [...resumptions]
  const relayed = await relayStream({
    exchange: exchangeOf(`${begun}data: 3`, { breaksOff: true }),
    servedBy: 'u0',
    forwarded: false,
    finish: async () => { await Promise.resolve() },
    resume: async () => await Promise.resolve(Result.ok(left.shift() ?? exchangeOf('', { status: 500, type: 'text/plain' })))
  }, response as unknown as ServerResponse)
  return { text, isWhole: relayed.isOk }
}

describe('relayStream', () => {
  it('goes on after a break', async () => {
    expect(await relay(exchangeOf(rest))).toEqual({ text: begun + rest, isWhole: true })
  })

  // Guards against callers that find an error in the middle of their stream, or take a stream for complete that is not.
  it.each([
    ['500', exchangeOf('overloaded\n\n', { status: 500, type: 'text/plain' })],
    ['500 as an event stream', exchangeOf(rest, { status: 500 })],
    ['200 in JSON', exchangeOf('{}\n\n', { type: 'application/json' })],
    ['204', exchangeOf('', { status: 204, type: '' })],
    ['nothing', exchangeOf('')],
    ['a break', exchangeOf('', { breaksOff: true })]
  ])('passes on nothing of an answer that does not continue the stream (%s)', async (_case, answer) => {
    expect(await relay(answer)).toEqual({ text: begun, isWhole: false })
  })

  // The same failure in an answer that says to be the rest of the stream.
  it.each([
    ['the text of an error', `HTTP/1.1 500 Internal Server Error\r\n\r\n${rest}`],
    ['a part of an event', `ta: 3\n\n${rest}`]
  ])('passes on nothing of an answer that begins with %s', async (_case, body) => {
    expect(await relay(exchangeOf(body))).toEqual({ text: begun, isWhole: false })
  })
})
