import { once } from 'node:events'
import { connect } from 'node:net'
import { request } from 'undici'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { cooperativa } from './deployments.js'
import { TestFleet } from './testFleet.js'
import { waitFor } from './waitFor.js'
import type { Socket } from 'node:net'

let fleet: TestFleet

beforeAll(async () => {
  fleet = await TestFleet.start(cooperativa, 1, { 'body-timeout-milliseconds': 600 })
})

afterAll(async () => {
  await fleet.stop()
})

const upstreamRequests = (): number => {
  const engines = [...fleet.platform.engines.values()].map(({ headersSeen }) => headersSeen.length)
  const services = [...fleet.platform.services.values()].map(({ calls }) => calls.length)
  return [...engines, ...services].reduce((sum, count) => sum + count, 0)
}

/** Writes raw bytes to the first VM and reads until it sends an outcome or closes the connection. */
const sendRaw = async (text: string, options: { end?: boolean } = {}): Promise<string> => {
  const socket: Socket = connect(fleet.vms[0]?.listed.callerPort ?? 0, '127.0.0.1')
  await once(socket, 'connect')
  let answer = ''
  const answered = new Promise<void>((resolve) => {
    socket.on('data', (chunk) => {
      answer += String(chunk)
      if (answer.includes('"outcome"')) resolve()
    })
    socket.on('close', () => resolve())
    socket.on('error', () => resolve())
  })
  if (options.end === true) socket.end(text)
  else socket.write(text)
  await answered
  socket.destroy()
  return answer
}

interface RawRequest {
  readonly method?: string
  readonly path?: string
  readonly headers?: readonly string[]
  readonly key?: string
  readonly body?: string
}

const rawRequest = ({ method = 'POST', path = '/v1/completions', headers = [], key, body = '' }: RawRequest): string => [
  `${method} ${path} HTTP/1.1`,
  'host: vm',
  `authorization: Bearer ${key ?? fleet.key(0)}`,
  ...headers,
  '',
  body
].join('\r\n')

const validBody = '{"model":"catalogue-writer","prompt":"Linen.","max_tokens":1}'
const contentLength = (body: string): string => `content-length: ${body.length}`

describe('bad input', () => {
  it.each<[string, () => RawRequest | string, { end?: boolean }, number, string]>([
    ['bytes that are not HTTP', () => 'NONSENSE\r\n\r\n', {}, 400, 'request-invalid'],
    ['an unknown method', () => rawRequest({ method: 'BREW' }), {}, 400, 'request-invalid'],
    ['a method that the path does not accept', () => ({ method: 'GET' }), {}, 405, 'method-not-allowed'],
    ['TRACE', () => ({ method: 'TRACE', path: '/v1/services/orders/x' }), {}, 405, 'method-not-allowed'],
    ['a header over the size limit', () => ({ headers: [`x: ${'y'.repeat(20_000)}`] }), {}, 431, 'headers-too-large'],
    ['more headers than the limit', () => ({ headers: Array.from({ length: 120 }, (_, index) => `x-${index}: y`) }), {}, 431, 'headers-too-large'],
    ['headers that never end', () => 'POST /v1/completions HTTP/1.1\r\nhost: vm\r\n', {}, 408, 'body-timeout'],
    ['a body that never ends', () => ({ headers: ['content-length: 500'], body: '{"model"' }), {}, 408, 'body-timeout'],
    ['a body shorter than its content-length', () => ({ headers: ['content-length: 500'], body: validBody }), { end: true }, 400, 'body-truncated'],
    ['a body longer than its content-length', () => ({ headers: [contentLength(validBody)], body: validBody + validBody }), {}, 400, 'request-invalid'],
    ['both a content-length and chunked encoding', () => ({ headers: [contentLength(validBody), 'transfer-encoding: chunked'], body: `${validBody.length.toString(16)}\r\n${validBody}\r\n0\r\n\r\n` }), {}, 400, 'request-invalid'],
    ['two content-length headers', () => ({ headers: [contentLength(validBody), 'content-length: 3'], body: validBody }), {}, 400, 'request-invalid'],
    ['a negative content-length', () => ({ headers: ['content-length: -1'], body: validBody }), {}, 400, 'request-invalid'],
    ['a chunk without a valid size', () => ({ headers: ['transfer-encoding: chunked'], body: 'zz\r\n' }), {}, 400, 'request-invalid'],
    ['a content-length over the limit, before the body is sent', () => ({ headers: ['content-length: 9000000'] }), {}, 413, 'body-too-large'],
    ['chunks over the limit', () => ({ headers: ['transfer-encoding: chunked'], body: `50000\r\n${'x'.repeat(0x50000)}\r\n` }), {}, 413, 'body-too-large'],
    ['a withdrawn key, before the body is sent', () => ({ key: `cmv_${'A'.repeat(43)}`, headers: ['content-length: 500', 'expect: 100-continue'] }), {}, 401, 'key-unknown'],
    ['malformed JSON', () => ({ headers: ['content-length: 9'], body: '{"model":' }), {}, 400, 'request-invalid'],
    ['no body', () => ({ headers: ['content-length: 0'] }), {}, 400, 'request-invalid'],
    ['a malformed route name', () => ({ headers: ['cuminvale-route: NO ROUTE', contentLength(validBody)], body: validBody }), {}, 404, 'route-unknown']
  ])('refuses %s and sends nothing upstream', async (_, build, options, status, reason) => {
    const before = upstreamRequests()
    const built = build()
    const answer = await sendRaw(typeof built === 'string' ? built : rawRequest(built), options)
    expect(answer).toMatch(new RegExp(`^HTTP/1.1 ${status} `))
    expect(answer).toContain(`"reason":"${reason}"`)
    expect(answer.toLowerCase()).toContain('cuminvale-vm: gateway-1')
    expect(answer.toLowerCase()).toContain('cuminvale-request-id: ')
    // A valid request, sent afterwards, reaches an upstream later than any request that the refused one caused.
    const after = await send('/v1/completions', { method: 'POST', body: validBody })
    expect(after.status).toBe(200)
    expect(upstreamRequests()).toBe(before + 1)
  })

  it('asks for the body only after accepting the headers', async () => {
    const answer = await sendRaw(rawRequest({ headers: ['content-length: 9', 'expect: 100-continue'], body: '{"model":' }))
    expect(answer).toMatch(/^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 400 /)
    const refused = await sendRaw(rawRequest({ headers: ['content-length: 9000000', 'expect: 100-continue'] }))
    expect(refused).toMatch(/^HTTP\/1.1 413 /)
  })
})

const send = async (path: string, options: { method?: 'GET' | 'HEAD' | 'OPTIONS' | 'POST', body?: string } = {}) => {
  const response = await request(fleet.address(0) + path, {
    method: options.method ?? 'GET',
    headers: { authorization: `Bearer ${fleet.key(0)}` },
    ...(options.body === undefined ? {} : { body: options.body })
  })
  return { status: response.statusCode, headers: response.headers, text: await response.body.text() }
}

describe('the callers\' interface', () => {
  it('uses the first completion route of the plan if the request names none', async () => {
    const answer = await send('/v1/completions', { method: 'POST', body: validBody })
    expect(answer.status).toBe(200)
    expect(answer.headers).toMatchObject({ 'cuminvale-vm': 'gateway-1', 'cuminvale-outcome': 'done' })
  })

  it('lists the models of the plan, also with a query string, and answers HEAD and OPTIONS', async () => {
    const listed = JSON.parse((await send('/v1/models?limit=1')).text) as { data: Array<{ id: string }> }
    expect(listed.data.map(({ id }) => id)).toEqual(['catalogue-writer'])
    const head = await send('/v1/models', { method: 'HEAD' })
    expect([head.status, head.text]).toEqual([200, ''])
    const options = await send('/v1/completions', { method: 'OPTIONS' })
    expect([options.status, options.headers['allow']]).toEqual([204, 'POST, OPTIONS'])
  })

  it('cancels the upstream request when the caller disconnects', async () => {
    const cancelled = (): number => [...fleet.platform.engines.values()].reduce((sum, engine) => sum + engine.cancelled, 0)
    const before = cancelled()
    const controller = new AbortController()
    const response = await request(`${fleet.address(0)}/v1/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${fleet.key(0)}` },
      body: '{"model":"catalogue-writer","prompt":"Linen.","stream":true,"max_tokens":5000}',
      signal: controller.signal
    })
    response.body.on('error', () => {})
    await once(response.body, 'readable')
    controller.abort()
    await waitFor('the engine to see the cancellation', () => Promise.resolve(cancelled() === before + 1), 5_000)
  })
})
