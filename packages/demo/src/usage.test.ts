import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { mergeUsage } from '@cuminvale/metering'
import type { UsageReport } from '@cuminvale/metering'
import { cooperativa } from './deployments.js'
import { TestFleet } from './testFleet.js'

const token = 'a secret for tests'
const routes = cooperativa.routes

let fleet: TestFleet

beforeAll(async () => {
  fleet = await TestFleet.start(cooperativa, 3)
})

afterAll(async () => await fleet.stop())

const askUsage = async (vm: number) => {
  const listed = fleet.vms[vm]?.listed
  const response = await request(`http://${listed?.host}:${listed?.administrationPort}/administration/usage`, {
    headers: { authorization: `Bearer ${token}` }
  })
  const { vm: name, incarnation, reports, dropped } = await response.body.json() as UsageReport & {
    readonly reports: readonly UsageReport[], readonly dropped: readonly UsageReport[]
  }
  return { self: { vm: name, incarnation }, reports, dropped }
}

describe('usage of a fleet', () => {
  it('is kept when a VM leaves, counted once and without gaps', async () => {
    for (let index = 0; index < 5; index += 1) {
      const response = await request(`${fleet.address(0)}/v1/services/${routes.status}/1`, {
        headers: { authorization: `Bearer ${fleet.key(0)}` }
      })
      expect(response.statusCode).toBe(200)
      await response.body.dump()
    }
    const before = mergeUsage(await Promise.all([0, 1, 2].map(askUsage)))
    const [left] = fleet.vms
    await left?.daemon.shutdown()
    const after = mergeUsage(await Promise.all([1, 2].map(askUsage)))
    fleet.vms.splice(0, 1)
    expect(before.counts).toMatchObject([{ team: cooperativa.teams[0]?.name, route: routes.status, requests: 5 }])
    expect(after).toEqual({ counts: before.counts, gaps: [] })
  })
})
