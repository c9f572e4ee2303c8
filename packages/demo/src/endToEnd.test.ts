import { request } from 'undici'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { Client } from '@cuminvale/caller'
import { cooperativa, keysDocument } from './deployments.js'
import { TestFleet } from './testFleet.js'
import { waitFor } from './waitFor.js'

let fleet: TestFleet

beforeAll(async () => {
  fleet = await TestFleet.start(cooperativa, 4)
})

afterAll(async () => {
  await fleet.stop()
})

const send = async (vm: number, path: string, options: { key?: string, body?: string, headers?: Record<string, string> } = {}) => {
  const response = await request(fleet.address(vm) + path, {
    method: options.body === undefined ? 'GET' : 'POST',
    headers: { ...(options.key === undefined ? {} : { authorization: `Bearer ${options.key}` }), ...options.headers },
    ...(options.body === undefined ? {} : { body: options.body })
  })
  return { status: response.statusCode, headers: response.headers, text: await response.body.text() }
}

describe('a request from end to end', () => {
  it('streams a completion to its end mark, and no upstream sees the key', async () => {
    const client = new Client({ seeds: [fleet.address(0)], key: fleet.key(0) })
    const answer = await client.call({
      path: '/v1/completions', route: 'drafting', body: { model: 'catalogue-writer', prompt: 'Linen.', stream: true, max_tokens: 5 }
    })
    await client.close()
    expect(answer.isOk && answer.value.body.trimEnd().endsWith('data: [DONE]')).toBe(true)
    const seen = [...fleet.platform.engines.values()].flatMap(({ headersSeen }) => headersSeen)
    expect(seen.length).toBeGreaterThan(0)
    expect(JSON.stringify(seen)).not.toContain(fleet.key(0))
  })

  it('runs an order once per ticket, through any VM', async () => {
    const key = fleet.key(0)
    const entries = JSON.parse((await send(0, '/v1/entries', { key })).text) as { tickets: string[] }
    const ticket = entries.tickets[0] ?? ''
    const order = { key, body: '{"item":"ledger"}', headers: { 'cuminvale-ticket': ticket } }
    const answers = await Promise.all([0, 1, 2, 3, 0].map(async (vm) => await send(vm, '/v1/services/orders/place', order)))
    const calls = [...fleet.platform.services.values()].flatMap((service) => service.calls)
    expect(calls.filter(({ body }) => body.includes('ledger'))).toHaveLength(1)
    expect(answers.map(({ status }) => status)).toEqual([200, 200, 200, 200, 200])
    expect(new Set(answers.map(({ text }) => text)).size).toBe(1)
  })

  it('refuses an order without a ticket as "not run" and offers a ticket', async () => {
    const refused = await send(1, '/v1/services/orders/place', { key: fleet.key(0), body: '{"item":"no-ticket"}' })
    expect(refused.status).toBe(428)
    expect(JSON.parse(refused.text)).toMatchObject({ outcome: 'not-run', reason: 'ticket-required' })
    const offered = String(refused.headers['cuminvale-ticket'])
    const second = await send(0, '/v1/services/orders/place', {
      key: fleet.key(0), body: '{"item":"no-ticket"}', headers: { 'cuminvale-ticket': offered }
    })
    expect(second.status).toBe(200)
  })

  it.each<[string, Parameters<typeof send>[1], Parameters<typeof send>[2], number, string]>([
    ['no key', '/v1/completions', { body: '{}', headers: { 'cuminvale-route': 'drafting' } }, 401, 'key-missing'],
    ['a malformed key', '/v1/completions', { key: 'x', body: '{}', headers: { 'cuminvale-route': 'drafting' } }, 401, 'key-malformed'],
    ['an unknown key', '/v1/completions', { key: `cmv_${'A'.repeat(43)}`, body: '{}', headers: { 'cuminvale-route': 'drafting' } }, 401, 'key-unknown'],
    ['an unknown path', '/v1/nothing', { body: '{}' }, 404, 'route-unknown'],
    ['an unknown route', '/v1/services/nothing/x', { body: '{}' }, 404, 'route-unknown']
  ])('refuses %s', async (_, path, options, status, reason) => {
    const refused = await send(0, path, options)
    expect(refused.status).toBe(status)
    expect(JSON.parse(refused.text)).toMatchObject({ reason, outcome: 'not-run' })
  })

  it.each<[string, string, string]>([
    ['malformed JSON', '{"model":', 'request-invalid'],
    ['a wrong type', '{"model":"catalogue-writer","prompt":7}', 'request-invalid'],
    ['an unknown model', '{"model":"nothing","prompt":"x"}', 'model-unknown']
  ])('refuses a body with %s', async (_, body, reason) => {
    const refused = await send(0, '/v1/completions', { key: fleet.key(0), body, headers: { 'cuminvale-route': 'drafting' } })
    expect(JSON.parse(refused.text)).toMatchObject({ reason, outcome: 'not-run' })
  })

  it('refuses a withdrawn key on every VM', async () => {
    const last = fleet.platform.keys.length - 1
    const key = fleet.key(last)
    const statusOf = async (vm: number) => (await send(vm, '/v1/services/order-status/1', { key })).status
    expect(await statusOf(0)).not.toBe(401)
    fleet.platform.configuration.publish({ keys: keysDocument(fleet.platform.keys.slice(0, last)) })
    await waitFor('the key to be refused', async () =>
      (await Promise.all(fleet.vms.map(async (_, vm) => await statusOf(vm)))).every((status) => status === 401), 10_000)
  })
})
