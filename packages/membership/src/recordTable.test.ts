import { describe, expect, it } from 'vitest'
import { toFailureDomainId, toIncarnationId, toRegionId, toVmId } from '@cuminvale/common'
import { MemberState } from '@cuminvale/messages'
import type { MemberRecord } from '@cuminvale/messages'
import { incarnationSettledMilliseconds, refutationTimeoutMilliseconds } from './constants.js'
import { RecordTable, compareRecords } from './recordTable.js'

const startedAt = 1_000

const setup = () => {
  const clock = { now: 0, monotonic: () => clock.now, wall: () => startedAt + clock.now }
  const identity = {
    vm: toVmId('vm-1'), incarnation: toIncarnationId('b'), region: toRegionId('luzon'), failureDomain: toFailureDomainId('fd-1')
  }
  return { clock, table: new RecordTable(identity, clock) }
}

const record = (fields: Partial<MemberRecord> = {}): MemberRecord => ({
  vm: toVmId('vm-2'), incarnation: toIncarnationId('a'), generation: 5, version: 0, state: MemberState.Up, ...fields
})

describe('compareRecords', () => {
  it.each<[string, Partial<MemberRecord>, Partial<MemberRecord>]>([
    ['generation before version', { generation: 6 }, { version: 9, state: MemberState.Suspected }],
    ['version before state', { version: 1 }, { state: MemberState.Suspected }],
    ['a suspicion of the same version', { state: MemberState.Suspected }, {}]
  ])('orders by %s', (_, later, earlier) => {
    expect(compareRecords(record(later), record(earlier))).toBeGreaterThan(0)
    expect(compareRecords(record(earlier), record(later))).toBeLessThan(0)
  })
})

describe('RecordTable', () => {
  it('considers a suspected VM up until the refutation timeout ends', () => {
    const { clock, table } = setup()
    table.apply(record())
    table.suspect(toVmId('vm-2'))
    expect(table.isPresumedUp(toVmId('vm-2'))).toBe(true)
    clock.now = refutationTimeoutMilliseconds
    expect(table.isPresumedUp(toVmId('vm-2'))).toBe(false)
    table.apply(record({ version: 1 }))
    expect(table.isPresumedUp(toVmId('vm-2'))).toBe(true)
  })

  it('refutes a suspicion of itself with a higher version', () => {
    const { table } = setup()
    expect(table.apply({ ...table.own, state: MemberState.Suspected })?.version).toBe(1)
    expect(table.own).toMatchObject({ version: 1, state: MemberState.Up })
  })

  it.each<[string, number, boolean]>([
    ['a new incarnation raises its generation above that of an older one whose clock was ahead', 0, false],
    ['a settled incarnation is replaced by a newer one', incarnationSettledMilliseconds + 1, true]
  ])('%s', (_, age, isReplaced) => {
    const { clock, table } = setup()
    clock.now = age
    table.apply({ ...table.own, incarnation: toIncarnationId('a'), generation: startedAt + 500 })
    expect(table.isReplaced).toBe(isReplaced)
    expect(table.own.generation).toBe(isReplaced ? startedAt : startedAt + 501)
  })
})
