import { request } from 'undici'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { cooperativa } from './deployments.js'
import { TestFleet } from './testFleet.js'

let fleet: TestFleet

/** Longer than a budget loan, or a belief taken from the VM list, stays valid. */
const outageMilliseconds = 5_000

beforeAll(async () => {
  fleet = await TestFleet.start(cooperativa, 3)
})

afterAll(async () => {
  await fleet.stop()
})

const send = async (vm: number, path: string, body?: string, headers: Record<string, string> = {}) => {
  const response = await request(fleet.address(vm) + path, {
    method: body === undefined ? 'GET' : 'POST',
    headers: { authorization: `Bearer ${fleet.key(0)}`, ...headers },
    ...(body === undefined ? {} : { body })
  })
  return { status: response.statusCode, text: await response.body.text() }
}

const completion = JSON.stringify({ model: 'catalogue-writer', prompt: 'Linen.', max_tokens: 2 })

describe('a region that is cut off from the platform and every other region', () => {
  it('keeps serving completions, status requests and orders on the last configuration', async () => {
    const { configuration, vmList, clientDirectory } = fleet.platform
    configuration.setDown(true)
    await Promise.all([vmList.server.stop(), clientDirectory.server.stop()])
    await new Promise((resolve) => setTimeout(resolve, outageMilliseconds))
    for (const vm of [0, 1, 2]) {
      const entries = await send(vm, '/v1/entries')
      const { tickets } = JSON.parse(entries.text) as { tickets: readonly string[] }
      const answers = [
        entries,
        await send(vm, '/v1/completions', completion, { 'cuminvale-route': 'counter' }),
        await send(vm, '/v1/services/order-status/1'),
        await send(vm, '/v1/services/orders/place', `{"cut":${vm}}`, { 'cuminvale-ticket': tickets[0] ?? '' })
      ]
      expect(answers.map(({ status }) => status)).toEqual([200, 200, 200, 200])
    }
  })
})
