import { describe, expect, it } from 'vitest'
import { toFailureDomainId, toIncarnationId, toRegionId, toVmId } from '@cuminvale/common'
import type { PeerIdentity } from '@cuminvale/messages'
import { shareLeaseMilliseconds, withClockMargin } from './constants.js'
import { HolderSet } from './holderSet.js'

const identity = (name: string): PeerIdentity => ({
  vm: toVmId(name), incarnation: toIncarnationId(`${name}-1`), region: toRegionId('veneto'), failureDomain: toFailureDomainId('a')
})

const listLagMilliseconds = 1_000
const self = identity('vm-1')
const peer = identity('vm-2')
const later = withClockMargin(listLagMilliseconds + shareLeaseMilliseconds) + 1

const holdersWithList = (names: readonly PeerIdentity[], now: number): HolderSet => {
  const holders = new HolderSet({ self, listLagMilliseconds }, 0)
  holders.adoptList(new Set(names.map(({ vm }) => vm)), now)
  return holders
}

const recognise = (holders: HolderSet, sentAt: number, holding: boolean): void =>
  holders.recognised(peer, { kind: 'limits.recognition', to: self.incarnation, sentAt, recognised: true, holding, counted: [] }, sentAt)

describe('HolderSet', () => {
  it('does not hold before every counted VM has recognised it, however long it waits', () => {
    const holders = holdersWithList([self, peer], later)
    holders.tick(later)
    expect(holders.isHolding).toBe(false)
    recognise(holders, later, false)
    holders.tick(later)
    expect(holders.isHolding).toBe(true)
    expect(holders.count).toBe(2)
  })

  it('holds earlier if a holder recognises it, but not before loans of earlier incarnations have ended', () => {
    const early = 100
    const holders = holdersWithList([self, peer], early)
    recognise(holders, early, true)
    holders.tick(early)
    expect(holders.isHolding).toBe(false)
    const ended = withClockMargin(shareLeaseMilliseconds)
    recognise(holders, ended, true)
    holders.tick(ended)
    expect(holders.isHolding).toBe(true)
  })

  it('waits until unknown holders have stopped if no counted VM holds', () => {
    const ended = withClockMargin(shareLeaseMilliseconds)
    const holders = holdersWithList([self, peer], ended)
    recognise(holders, ended, false)
    holders.tick(ended)
    expect(holders.isHolding).toBe(false)
  })

  it('takes its lease only from the VM list while it counts no other VM', () => {
    const holders = holdersWithList([self], later)
    holders.tick(later)
    expect(holders.isHolding).toBe(true)
    expect(holders.leaseEndsAt).toBe(later + shareLeaseMilliseconds)
  })

  it('renews its lease by recognition while the VM list cannot be read', () => {
    const holders = holdersWithList([self, peer], later)
    recognise(holders, later + 5_000, true)
    expect(holders.leaseEndsAt).toBe(later + 5_000 + shareLeaseMilliseconds)
  })

  it('counts an unlisted VM until its lease has certainly expired', () => {
    const holders = holdersWithList([self, peer], 0)
    for (const now of [500, 1_000, 1_501]) holders.adoptList(new Set([self.vm]), now)
    holders.tick(1_502)
    expect(holders.count).toBe(2)
    holders.tick(500 + later)
    expect(holders.count).toBe(1)
  })

  it('ignores an answer to an earlier incarnation', () => {
    const holders = holdersWithList([self, peer], later)
    holders.recognised(peer, {
      kind: 'limits.recognition', to: toIncarnationId('vm-1-0'), sentAt: later, recognised: true, holding: true, counted: []
    }, later)
    holders.tick(later)
    expect(holders.isHolding).toBe(false)
  })
})
