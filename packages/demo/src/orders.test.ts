import { request } from 'undici'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { cooperativa } from './deployments.js'
import { TestFleet } from './testFleet.js'
import { waitFor } from './waitFor.js'

let fleet: TestFleet

beforeAll(async () => {
  fleet = await TestFleet.start(cooperativa, 4)
})

afterAll(async () => {
  await fleet.stop()
})

interface OrderAnswer {
  readonly status: number
  readonly outcome: string
  readonly offeredTicket: string
  readonly text: string
}

const ticketsOf = async (vm: number): Promise<string[]> => {
  const response = await request(fleet.address(vm) + '/v1/entries', { headers: { authorization: `Bearer ${fleet.key(0)}` } })
  return (await response.body.json() as { tickets: string[] }).tickets
}

const order = async (vm: number, ticket: string, item: string, key = fleet.key(0)): Promise<OrderAnswer> => {
  const response = await request(fleet.address(vm) + '/v1/services/orders/place', {
    method: 'POST', headers: { authorization: `Bearer ${key}`, 'cuminvale-ticket': ticket }, body: item
  })
  return {
    status: response.statusCode,
    outcome: String(response.headers['cuminvale-outcome']),
    offeredTicket: String(response.headers['cuminvale-ticket'] ?? ''),
    text: await response.body.text()
  }
}

const runsOf = (item: string): number =>
  [...fleet.platform.services.values()].flatMap(({ calls }) => calls).filter(({ body }) => body === item).length

const memberOf = (vm: number, other: number) =>
  fleet.vms[vm]?.daemon.context.membership.find(fleet.vms[other]?.listed.name as never)

/** Removes a VM from the VM list, as if it had failed. */
const unlist = async (vm: number): Promise<void> => {
  fleet.platform.vmList.set(fleet.vms.filter((_, index) => index !== vm).map(({ listed }) => listed))
  await waitFor('the VM to be off every list', () =>
    Promise.resolve(fleet.vms.every((_, index) => index === vm || memberOf(index, vm) === undefined)), 5_000)
}

describe('orders', () => {
  it('refuses another request with a used ticket, without claiming that nothing ran', async () => {
    const [ticket = ''] = await ticketsOf(0)
    expect((await order(0, ticket, 'first')).outcome).toBe('done')
    expect(await order(1, ticket, 'second')).toMatchObject({ status: 400, outcome: 'unknown' })
    expect(runsOf('second')).toBe(0)
  })

  it.each([0, 1])('a refusal by VM %i before the ledger is asked does not say "not run" for a ticket that ran', async (vm) => {
    const [ticket = ''] = await ticketsOf(0)
    expect((await order(0, ticket, `refused early by ${vm}`)).outcome).toBe('done')
    const refused = await order(vm, ticket, `refused early by ${vm}`, 'malformed')
    expect(refused).toMatchObject({ status: 401, outcome: 'unknown', offeredTicket: '' })
  })

  it('answers from a copy when the VM that minted the ticket is unlisted, and answers unknown if there is no copy', async () => {
    const [ticket = '', unused = ''] = await ticketsOf(0)
    const first = await order(0, ticket, 'copied')
    expect(first.outcome).toBe('done')
    await unlist(0)
    expect(await order(2, ticket, 'copied')).toMatchObject({ status: first.status, outcome: 'done', text: first.text })
    expect(await order(2, unused, 'never run')).toMatchObject({ status: 504, outcome: 'unknown' })
    expect([runsOf('copied'), runsOf('never run')]).toEqual([1, 0])
    fleet.list()
    await fleet.waitUntilLinked()
  })

  it('answers a true "not run" for unused tickets of a VM that shut down gracefully', async () => {
    const [used = '', unused = ''] = await ticketsOf(3)
    const first = await order(3, used, 'before leaving')
    const [left] = fleet.vms.splice(3, 1)
    await left?.daemon.shutdown()
    fleet.list()
    const refused = await order(0, unused, 'after leaving')
    expect(refused).toMatchObject({ status: 409, outcome: 'not-run' })
    expect(await order(1, used, 'before leaving')).toMatchObject({ outcome: 'done', text: first.text })
    expect((await order(0, refused.offeredTicket, 'after leaving')).outcome).toBe('done')
    expect([runsOf('before leaving'), runsOf('after leaving')]).toEqual([1, 1])
  })
})
