import fc from 'fast-check'
import { beforeEach, describe, expect, it } from 'vitest'
import { PublishedRecords } from './publishedRecords.js'
import { describePosition, eraOf, maximumEra, revisionOf, toPosition } from './recordPosition.js'
import { ManualClock } from './testSupport.js'
import type { RecordChange } from './publishedRecords.js'

let clock: ManualClock
let records: PublishedRecords
beforeEach(() => {
  clock = new ManualClock()
  records = new PublishedRecords({ clock, mayLapse: (key) => key.startsWith('upstreams/'), isOlder: (_key, value, known) => Number(value.slice(1)) < Number(known.slice(1)) })
})

const keys = (): readonly string[] => [...records.all].map(({ key }) => key).sort()
const set = (key: string, revision: number, value = `v${revision}`): RecordChange => ({ key, revision, value })
const removed = (key: string, revision: number): RecordChange => ({ key, revision, value: undefined })

describe('PublishedRecords', () => {
  it('ignores changes up to the known revision', () => {
    records.applyChanges([set('a', 5)], 5)
    expect(records.applyChanges([set('a', 3, 'old')], 3)).toBe(false)
    expect([...records.all][0]?.value).toBe('v5')
    expect(records.at).toBe(5)
  })

  it('ignores a snapshot that is older than the known revision', () => {
    records.applyChanges([set('a', 5)], 5)
    expect(records.applySnapshot([{ key: 'b', value: 'x', revision: 2 }], 4)).toBe(false)
    expect(keys()).toEqual(['a'])
  })

  it('removes records that a newer snapshot no longer holds', () => {
    records.applySnapshot([{ key: 'a', value: 'x', revision: 1 }, { key: 'b', value: 'x', revision: 2 }], 2)
    records.applySnapshot([{ key: 'b', value: 'x', revision: 2 }], 9)
    expect(keys()).toEqual(['b'])
  })

  it('delays the removal of upstreams that lapsed while the store was unavailable, and of no other records', () => {
    records.applyChanges([set('upstreams/1', 1), set('upstreams/2', 2), set('evacuated', 3)], 3)
    records.startLapseGrace()
    records.applySnapshot([], 9)
    expect(keys()).toEqual(['upstreams/1', 'upstreams/2'])
    records.applyChanges([set('upstreams/1', 10)], 10)
    clock.advance(2_600)
    expect(records.removeLapsed()).toBe(true)
    expect(keys()).toEqual(['upstreams/1'])
  })

  it('removes a record at once outside the grace period', () => {
    records.applyChanges([set('upstreams/1', 1)], 1)
    records.applyChanges([removed('upstreams/1', 2)], 2)
    expect(keys()).toEqual([])
  })

  it('ends with the newest state of each record for any order of changes and snapshots', () => {
    const history: readonly RecordChange[] = [set('a', 1), set('b', 2), removed('a', 3), set('a', 4), set('c', 5), removed('b', 6), set('a', 7)]
    const stateAt = (revision: number): Map<string, string> => {
      const state = new Map<string, string>()
      for (const { key, value, revision: changedAt } of history) {
        if (changedAt > revision) break
        if (value === undefined) state.delete(key)
        else state.set(key, value)
      }
      return state
    }
    const snapshot = (revision: number): Array<{ key: string, value: string, revision: number }> =>
      [...stateAt(revision)].map(([key, value]) => ({ key, value, revision: Number(value.slice(1)) }))
    const step = fc.record({ isSnapshot: fc.boolean(), revision: fc.integer({ min: 1, max: history.length }) })
    fc.assert(fc.property(fc.array(step, { maxLength: 20 }), (steps) => {
      const replica = new PublishedRecords({ clock: new ManualClock(), mayLapse: () => false, isOlder: () => false })
      for (const { isSnapshot, revision } of steps) {
        if (isSnapshot) replica.applySnapshot(snapshot(revision), revision)
        else if (revision >= replica.at) replica.applyChanges(history.filter((change) => change.revision > replica.at && change.revision <= revision), revision)
      }
      expect(new Map([...replica.all].map(({ key, value }) => [key, value]))).toEqual(stateAt(replica.at))
    }), { seed: 7, numRuns: 300 })
  })

  it('gives the changes since a revision, so that another VM ends with the same records', () => {
    const change = fc.record({ key: fc.constantFrom('a', 'b', 'c', 'd'), isRemoved: fc.boolean() })
    fc.assert(fc.property(fc.array(change, { minLength: 1, maxLength: 30 }), fc.nat(30), (changes, knownCount) => {
      const source = new PublishedRecords({ clock, mayLapse: () => false, isOlder: () => false })
      const copy = new PublishedRecords({ clock, mayLapse: () => false, isOlder: () => false })
      source.applySnapshot([], 1)
      copy.applySnapshot([], 1)
      changes.forEach(({ key, isRemoved }, index) => {
        const next = isRemoved ? removed(key, index + 2) : set(key, index + 2)
        source.applyChanges([next], index + 2)
        if (index < knownCount) copy.applyChanges([next], index + 2)
      })
      copy.applyChanges(source.changesSince(copy.at) ?? [], source.at)
      expect([...copy.all].map(({ key, value }) => [key, value]).sort()).toEqual([...source.all].map(({ key, value }) => [key, value]).sort())
    }))
  })

  it('gives no changes since a revision before its snapshot, as it does not know what was removed', () => {
    records.applySnapshot([{ key: 'a', value: 'x', revision: 5 }], 8)
    expect(records.changesSince(7)).toBeUndefined()
    expect(records.changesSince(0)).toBeUndefined()
    expect(records.changesSince(8)).toEqual([])
  })

  it('delays removals as long as the VM does that it takes the records from', () => {
    records.applySnapshot([{ key: 'upstreams/a', value: 'x', revision: 5 }, { key: 'upstreams/b', value: 'x', revision: 5 }], 8)
    records.addLapsing([['upstreams/a', 700]])
    records.extendLapseGrace(900)
    records.applyChanges([removed('upstreams/b', 9)], 9)
    clock.advance(800)
    records.removeLapsed()
    expect(keys()).toEqual(['upstreams/b'])
    clock.advance(200)
    records.removeLapsed()
    expect(keys()).toEqual([])
  })
})

describe('positions', () => {
  it('are ordered by era first, then by revision, and give both back', () => {
    const era = fc.integer({ min: 0, max: maximumEra })
    const revision = fc.integer({ min: 0, max: 2 ** 36 - 1 })
    fc.assert(fc.property(era, revision, era, revision, (firstEra, firstRevision, secondEra, secondRevision) => {
      const [first, second] = [toPosition(firstEra, firstRevision), toPosition(secondEra, secondRevision)]
      expect(Math.sign(first - second)).toBe(Math.sign(firstEra - secondEra) || Math.sign(firstRevision - secondRevision))
      expect([eraOf(first), revisionOf(first)]).toEqual([firstEra, firstRevision])
      expect(Number.isSafeInteger(first)).toBe(true)
    }), { seed: 1 })
    expect([describePosition(7), describePosition(toPosition(2, 7))]).toEqual([7, '2/7'])
  })
})

describe('PublishedRecords after the store has come back from an older copy', () => {
  const inEra = (era: number, revision: number): number => toPosition(era, revision)
  const valueOf = (key: string): string | undefined => [...records.all].find((record) => record.key === key)?.value

  beforeEach(() => {
    records.applySnapshot([{ key: 'config', value: 'v7', revision: 90 }, { key: 'upstreams/1', value: 'v4', revision: 80 }], 100)
  })

  // Guards against a configuration with a withdrawn key, or an upstream that had left, out of an older copy.
  it('keeps the values that it knows against older ones, until they are written again', () => {
    records.applySnapshot([{ key: 'config', value: 'v5', revision: inEra(1, 50) }, { key: 'upstreams/1', value: 'v2', revision: inEra(1, 40) }], inEra(1, 60))
    expect([valueOf('config'), valueOf('upstreams/1')]).toEqual(['v7', 'v4'])
    records.applyChanges([set('config', inEra(1, 61), 'v7'), set('upstreams/1', inEra(1, 62), 'v9')], inEra(1, 62))
    expect([valueOf('config'), valueOf('upstreams/1')]).toEqual(['v7', 'v9'])
    expect(records.at).toBe(inEra(1, 62))
  })

  it('takes revisions that were given out again', () => {
    records.applySnapshot([{ key: 'config', value: 'v7', revision: inEra(1, 50) }], inEra(1, 60))
    expect(records.applyChanges([set('config', inEra(1, 91), 'v8')], inEra(1, 91))).toBe(true)
    expect(valueOf('config')).toBe('v8')
  })

  it('ignores what arrives late from an earlier era', () => {
    records.applySnapshot([{ key: 'config', value: 'v7', revision: inEra(2, 50) }], inEra(2, 60))
    expect(records.applySnapshot([{ key: 'config', value: 'v9', revision: inEra(1, 900) }], inEra(1, 900))).toBe(false)
    expect(records.applyChanges([set('config', 901, 'v9')], 901)).toBe(false)
    expect(valueOf('config')).toBe('v7')
  })

  it('keeps records that the copy lacks for as long as they may be written again', () => {
    records.applyChanges([set('evacuated', 101)], 101)
    records.applySnapshot([], inEra(1, 60))
    records.applySnapshot([], inEra(1, 61))
    clock.advance(2_499)
    expect(records.removeLapsed()).toBe(false)
    expect(keys()).toEqual(['config', 'evacuated', 'upstreams/1'])
    records.applyChanges([set('evacuated', inEra(1, 62))], inEra(1, 62))
    clock.advance(10_000)
    records.removeLapsed()
    expect(keys()).toEqual(['evacuated'])
  })

  it('does not bring back records that it knows to be removed, until they are written again', () => {
    records.applyChanges([removed('upstreams/1', 101)], 101)
    const copy = [{ key: 'config', value: 'v7', revision: inEra(1, 50) }, { key: 'upstreams/1', value: 'v4', revision: inEra(1, 40) }]
    records.applySnapshot(copy, inEra(1, 60))
    records.applySnapshot(copy, inEra(1, 61))
    expect(keys()).toEqual(['config'])
    records.applyChanges([set('upstreams/1', inEra(1, 62))], inEra(1, 62))
    expect(keys()).toEqual(['config', 'upstreams/1'])
  })

  it('has no changes for a VM that knows another era, which then takes all records', () => {
    records.applySnapshot([{ key: 'config', value: 'v7', revision: inEra(1, 50) }], inEra(1, 60))
    expect(records.changesSince(100)).toBeUndefined()
    expect(records.changesSince(inEra(1, 60))).toEqual([])
  })
})
