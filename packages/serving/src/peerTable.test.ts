import { toIncarnationId, toRegionId, toVmId } from '@cuminvale/common'
import { beforeEach, describe, expect, it } from 'vitest'
import { listEntries } from './entryList.js'
import { PeerTable } from './peerTable.js'
import { ManualClock, north, northA, south, southA } from './testSupport.js'
import type { PeerIdentity } from './peerTable.js'

const identity = (name: string, region = north): PeerIdentity => ({
  vm: toVmId(name), incarnation: toIncarnationId(`i-${name}`), region, failureDomain: region === north ? northA : southA, linkAddress: `${name}:1`, callerAddress: `${name}:2`, processorCapacity: 0.3
})

let clock: ManualClock
let table: PeerTable
beforeEach(() => {
  clock = new ManualClock()
  table = new PeerTable(clock, identity('self'))
})

describe('PeerTable', () => {
  it('assumes a fleet size before it knows any other VM', () => {
    expect(table.heardShare()).toBeLessThan(0.1)
    expect(table.count).toBeGreaterThan(8)
  })

  it('counts a VM that others name, but uses it only once it is heard', () => {
    table.recordContact(identity('a'), true)
    expect(table.addNamed(identity('b'))).toBe(true)
    expect(table.count).toBe(3)
    expect(table.heardShare()).toBeCloseTo(2 / 3)
    expect(table.heardPeers({ readyOnly: true }).map(({ vm }) => vm)).toEqual(['a'])
  })

  it('keeps using a ready VM that introduces itself again, but not a new incarnation of it', () => {
    table.recordContact(identity('a'), true)
    table.recordIntroduction(identity('a'))
    expect(table.heardPeers({ readyOnly: true })).toHaveLength(1)
    table.recordIntroduction({ ...identity('a'), incarnation: toIncarnationId('next') })
    expect(table.heardPeers({ readyOnly: true })).toHaveLength(0)
  })

  it('stops using a silent VM within two seconds, but still counts it', () => {
    table.recordContact(identity('a'), true)
    clock.advance(1_400)
    expect(table.heardPeers({ readyOnly: false })).toEqual([])
    expect(table.count).toBe(2)
    expect(table.heardShare()).toBe(0.5)
  })

  it('has lost most others if half of those that it heard lately are silent, and no longer once they have likely ended', () => {
    for (const name of ['a', 'b', 'c']) table.recordContact(identity(name), true)
    expect(table.hasLostMost).toBe(false)
    clock.advance(600)
    table.recordContact(identity('a'), true)
    clock.advance(200)
    expect(table.hasLostMost).toBe(true)
    table.recordContact(identity('b'), true)
    expect(table.hasLostMost).toBe(false)
    clock.advance(9_500)
    for (const name of ['a', 'b']) table.recordContact(identity(name), true)
    expect(table.hasLostMost).toBe(false)
  })

  it('has lost a region once its reports cease', () => {
    table.recordRegionReport(south, [{ identity: identity('far', south), isReady: true }])
    clock.advance(1_400)
    expect(table.hasLostMost).toBe(false)
    clock.advance(200)
    expect(table.hasLostMost).toBe(true)
  })

  it('assumes at least a minimum region size just after startup', () => {
    expect(table.countIn(north)).toBe(8)
    table.recordContact(identity('a'), true)
    expect(table.countIn(north)).toBe(8)
    clock.advance(3_000)
    expect(table.countIn(north)).toBe(2)
  })

  it('keeps the assumed region size while it knows no other VM of the region', () => {
    clock.advance(60_000)
    expect(table.countIn(north)).toBe(8)
  })

  it('removes a VM that announced that it leaves', () => {
    table.recordContact(identity('a'), true)
    table.left(identity('a'))
    expect(table.known).toEqual([])
  })

  it('does not add a departed VM again because another VM still names it', () => {
    table.recordContact(identity('a'), true)
    table.left(identity('a'))
    expect(table.addNamed(identity('a'))).toBe(false)
    expect(table.addNamed({ ...identity('a'), incarnation: toIncarnationId('next') })).toBe(true)
  })

  it('uses the VMs of another region while one of its speakers lists them', () => {
    const far = identity('c', south)
    table.addNamed(far)
    expect(table.heardPeers({ readyOnly: true })).toEqual([])
    table.recordRegionReport(south, [{ identity: far, isReady: true }, { identity: identity('d', south), isReady: false }])
    expect(table.heardPeers({ readyOnly: true }).map(({ vm }) => vm)).toEqual(['c'])
    clock.advance(1_000)
    table.recordRegionReport(south, undefined)
    clock.advance(1_000)
    expect(table.heardPeers({ readyOnly: false })).toHaveLength(2)
    clock.advance(600)
    expect(table.heardPeers({ readyOnly: false })).toEqual([])
    expect(table.heardShare()).toBeCloseTo(1 / 3)
  })

  it('stops using a VM of another region that its speaker no longer lists, but still counts it', () => {
    table.recordRegionReport(south, [{ identity: identity('c', south), isReady: true }])
    table.recordRegionReport(south, [])
    expect(table.heardPeers({ readyOnly: false })).toEqual([])
    expect(table.count).toBe(2)
  })

  it('does not add a departed VM again from the list of a speaker that does not know of its departure', () => {
    const far = identity('c', south)
    table.recordRegionReport(south, [{ identity: far, isReady: true }])
    table.left(far)
    table.recordRegionReport(south, [{ identity: far, isReady: true }])
    expect(table.known).toEqual([])
  })

  it('lists the VMs that became known after a serial, each only once', () => {
    table.addNamed(identity('a'))
    const { serial } = table.knownSince(0)
    table.addNamed(identity('b'))
    const next = table.knownSince(serial)
    expect(next.identities.map(({ vm }) => vm)).toEqual(['b'])
    expect(table.knownSince(next.serial).identities).toEqual([])
  })

  it('never lists itself', () => {
    table.recordContact(identity('self'), true)
    expect(table.addNamed(identity('self'))).toBe(false)
    expect(table.known).toEqual([])
  })
})

describe('listEntries', () => {
  const noHomes = new Map()

  it('lists the VMs of the caller’s region, or all VMs if it has none', () => {
    const vms = [identity('a'), identity('b', south)]
    expect(listEntries({ region: north, homes: noHomes, vms })).toEqual(['a:2'])
    expect(listEntries({ region: undefined, homes: noHomes, vms })).toEqual(['a:2', 'b:2'])
    expect(listEntries({ region: south, homes: noHomes, vms: vms.slice(0, 1) })).toEqual(['a:2'])
  })

  it('lists the VMs of the host’s home regions if the caller’s region has none, as when its last VM is stopped', () => {
    const west = toRegionId('west')
    const vms = [identity('a'), identity('b', south)]
    expect(listEntries({ region: west, homes: new Map([[west, 2], [south, 2]]), vms })).toEqual(['b:2'])
    expect(listEntries({ region: west, homes: new Map([[west, 2]]), vms })).toEqual(['a:2', 'b:2'])
    expect(listEntries({ region: north, homes: new Map([[south, 2]]), vms })).toEqual(['a:2'])
  })

  // Guards against VMs of regions that may serve none of the host's bound routes, where these have no region in common (HOME).
  it('lists the VMs of the regions that may serve most of the host’s routes if none may serve all', () => {
    const west = toRegionId('west')
    const vms = [identity('a'), identity('b', south), identity('c', west)]
    expect(listEntries({ region: toRegionId('east'), homes: new Map([[south, 2], [west, 1]]), vms })).toEqual(['b:2'])
    expect(listEntries({ region: toRegionId('east'), homes: new Map([[south, 2], [west, 1]]), vms: [identity('a'), identity('c', west)] })).toEqual(['c:2'])
  })
})
