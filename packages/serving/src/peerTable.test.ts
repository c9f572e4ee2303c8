import { toIncarnationId, toVmId } from '@cuminvale/common'
import { beforeEach, describe, expect, it } from 'vitest'
import { listEntries } from './entryList.js'
import { PeerTable } from './peerTable.js'
import { ManualClock, north, northA, south, southA } from './testSupport.js'
import type { PeerIdentity } from './peerTable.js'

const identity = (name: string, region = north): PeerIdentity => ({
  vm: toVmId(name), incarnation: toIncarnationId(`i-${name}`), region, failureDomain: region === north ? northA : southA, linkAddress: `${name}:1`, callerAddress: `${name}:2`
})

let clock: ManualClock
let table: PeerTable
beforeEach(() => {
  clock = new ManualClock()
  table = new PeerTable(clock, identity('self'))
})

describe('PeerTable', () => {
  it('assumes a fleet before it has heard of one', () => {
    expect(table.heardShare()).toBeLessThan(0.1)
    expect(table.count).toBeGreaterThan(8)
  })

  it('counts a VM that others name, but does not use it before it is heard', () => {
    table.heard(identity('a'), true)
    expect(table.told(identity('b'))).toBe(true)
    expect(table.count).toBe(3)
    expect(table.heardShare()).toBeCloseTo(2 / 3)
    expect(table.heardPeers({ readyOnly: true }).map(({ vm }) => vm)).toEqual(['a'])
  })

  it('keeps using a ready VM that introduces itself again, and not one that has started anew', () => {
    table.heard(identity('a'), true)
    table.introduced(identity('a'))
    expect(table.heardPeers({ readyOnly: true })).toHaveLength(1)
    table.introduced({ ...identity('a'), incarnation: toIncarnationId('next') })
    expect(table.heardPeers({ readyOnly: true })).toHaveLength(0)
  })

  it('stops using a silent VM within two seconds, and still counts it', () => {
    table.heard(identity('a'), true)
    clock.advance(1_400)
    expect(table.heardPeers({ readyOnly: false })).toEqual([])
    expect(table.count).toBe(2)
    expect(table.heardShare()).toBe(0.5)
  })

  it('does not take the VMs of its region for fewer than they may be just after its start', () => {
    expect(table.countIn(north)).toBe(8)
    table.heard(identity('a'), true)
    expect(table.countIn(north)).toBe(8)
    clock.advance(3_000)
    expect(table.countIn(north)).toBe(2)
  })

  it('keeps to that as long as it has heard of none', () => {
    clock.advance(60_000)
    expect(table.countIn(north)).toBe(8)
  })

  it('forgets a VM that said that it stops', () => {
    table.heard(identity('a'), true)
    table.left(identity('a'))
    expect(table.known).toEqual([])
  })

  it('does not count a VM that left again because another one still names it', () => {
    table.heard(identity('a'), true)
    table.left(identity('a'))
    expect(table.told(identity('a'))).toBe(false)
    expect(table.told({ ...identity('a'), incarnation: toIncarnationId('next') })).toBe(true)
  })

  it('uses the VMs of another region while a speaker of it lists them', () => {
    const far = identity('c', south)
    table.told(far)
    expect(table.heardPeers({ readyOnly: true })).toEqual([])
    table.heardRegion(south, [{ identity: far, isReady: true }, { identity: identity('d', south), isReady: false }])
    expect(table.heardPeers({ readyOnly: true }).map(({ vm }) => vm)).toEqual(['c'])
    clock.advance(1_000)
    table.heardRegion(south, undefined)
    clock.advance(1_000)
    expect(table.heardPeers({ readyOnly: false })).toHaveLength(2)
    clock.advance(600)
    expect(table.heardPeers({ readyOnly: false })).toEqual([])
    expect(table.heardShare()).toBeCloseTo(1 / 3)
  })

  it('stops using a VM of another region that its speaker does not list any more, and still counts it', () => {
    table.heardRegion(south, [{ identity: identity('c', south), isReady: true }])
    table.heardRegion(south, [])
    expect(table.heardPeers({ readyOnly: false })).toEqual([])
    expect(table.count).toBe(2)
  })

  it('does not take a departed VM back from the list of a speaker that has not heard of it', () => {
    const far = identity('c', south)
    table.heardRegion(south, [{ identity: far, isReady: true }])
    table.left(far)
    table.heardRegion(south, [{ identity: far, isReady: true }])
    expect(table.known).toEqual([])
  })

  it('names what has become known since, once', () => {
    table.told(identity('a'))
    const { serial } = table.knownSince(0)
    table.told(identity('b'))
    const next = table.knownSince(serial)
    expect(next.identities.map(({ vm }) => vm)).toEqual(['b'])
    expect(table.knownSince(next.serial).identities).toEqual([])
  })

  it('never lists itself', () => {
    table.heard(identity('self'), true)
    expect(table.told(identity('self'))).toBe(false)
    expect(table.known).toEqual([])
  })
})

describe('listEntries', () => {
  it('names the VMs of the caller’s region, or all where it has none', () => {
    const vms = [identity('a'), identity('b', south)]
    expect(listEntries(north, vms)).toEqual(['a:2'])
    expect(listEntries(undefined, vms)).toEqual(['a:2', 'b:2'])
    expect(listEntries(south, vms.slice(0, 1))).toEqual(['a:2'])
  })
})
