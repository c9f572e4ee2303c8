import { SeededRandom, toIncarnationId, toVmId } from '@cuminvale/common'
import { describe, expect, it } from 'vitest'
import { TeamRateLimiter } from './teamRateLimiter.js'
import { ManualClock, team } from './testSupport.js'

const vms = [0, 1, 2, 3].map((index) => ({ vm: toVmId(`vm-${index}`), incarnation: toIncarnationId(`i-${index}`) }))
const limitedTeam = team({ ratePerSecond: 1_000, burst: 1_000 })

interface Fleet {
  readonly clock: ManualClock
  readonly rates: TeamRateLimiter[]
  readonly shares: number[]
  /** Amount spent by all VMs in each step of 100 ms. */
  readonly spent: number[]
}

const fleetOf = (size: number): Fleet => {
  const clock = new ManualClock()
  const shares = new Array<number>(size).fill(1)
  return { clock, shares, rates: shares.map((_, index) => new TeamRateLimiter({ clock, heardShare: () => shares[index] ?? 1 })), spent: [] }
}

/** Runs one step: every VM is asked for far more than its share, and VMs that hear each other report. */
const step = ({ clock, rates, spent }: Fleet, hears: (from: number, to: number) => boolean): void => {
  clock.advance(100)
  let sum = 0
  rates.forEach((rate) => {
    for (let request = 0; request < 10; request += 1) {
      if (rate.trySpend(limitedTeam, 20)) sum += 20
    }
  })
  spent.push(sum)
  rates.forEach((rate, from) => rates.forEach((other, to) => {
    const sender = vms[from]
    if (from !== to && sender !== undefined && hears(from, to)) other.recordReport({ ...sender, spent: rate.spending(), isComplete: true })
  }))
}

const mostInWindow = (spent: readonly number[], steps: number): number =>
  Math.max(...spent.map((_, start) => spent.slice(start, start + steps).reduce((sum, each) => sum + each, 0)))

describe('SharedRate', () => {
  it('keeps the fleet near the rate while its VMs hear each other', () => {
    const fleet = fleetOf(4)
    for (let count = 0; count < 300; count += 1) step(fleet, () => true)
    expect(mostInWindow(fleet.spent, 80)).toBeLessThanOrEqual((8 * 1_000 + 1_000) * 1.25)
    expect(fleet.spent.slice(100).reduce((sum, each) => sum + each, 0)).toBeGreaterThan(200 * 100 * 0.9)
  })

  it('keeps both sides of a partition together within the rate', () => {
    const fleet = fleetOf(4)
    for (let count = 0; count < 50; count += 1) step(fleet, () => true)
    fleet.shares.fill(0.5)
    for (let count = 0; count < 300; count += 1) step(fleet, (from, to) => (from < 2) === (to < 2))
    expect(mostInWindow(fleet.spent, 80)).toBeLessThanOrEqual((8 * 1_000 + 1_000) * 1.25)
  })

  it('allows no second burst after a restart', () => {
    const fleet = fleetOf(1)
    const { clock, rates } = fleet
    let first = 0
    while (rates[0]?.trySpend(limitedTeam, 100) === true) first += 100
    clock.advance(1)
    const restarted = new TeamRateLimiter({ clock, heardShare: () => 1 / 16 })
    let second = 0
    while (restarted.trySpend(limitedTeam, 10)) second += 10
    expect(first).toBeGreaterThan(900)
    expect(second).toBeLessThan(100)
  })

  it('does not deduct what other VMs spent before their first report', () => {
    const rate = new TeamRateLimiter({ clock: new ManualClock(), heardShare: () => 1 })
    rate.trySpend(limitedTeam, 10)
    rate.recordReport({ vm: toVmId('old'), incarnation: toIncarnationId('i'), spent: new Map([[limitedTeam.id, 1_000_000]]), isComplete: true })
    expect(rate.trySpend(limitedTeam, 10)).toBe(true)
  })

  it('counts the spending of a restarted VM from zero', () => {
    const rate = new TeamRateLimiter({ clock: new ManualClock(), heardShare: () => 1 })
    const old = { vm: toVmId('peer'), incarnation: toIncarnationId('first') }
    rate.trySpend(limitedTeam, 10)
    rate.recordReport({ ...old, spent: new Map([[limitedTeam.id, 500]]), isComplete: true })
    rate.recordReport({ ...old, incarnation: toIncarnationId('second'), spent: new Map([[limitedTeam.id, 2_000]]), isComplete: true })
    expect(rate.trySpend(limitedTeam, 1)).toBe(false)
    expect(rate.millisecondsUntilAvailable(limitedTeam)).toBeGreaterThan(900)
  })

  it('deducts the spending of another region once, although two of its speakers report it', () => {
    const rate = new TeamRateLimiter({ clock: new ManualClock(), heardShare: () => 1 })
    const [first, second] = [{ vm: toVmId('s1'), incarnation: toIncarnationId('i') }, { vm: toVmId('s2'), incarnation: toIncarnationId('i') }]
    rate.trySpend(limitedTeam, 100)
    const reportBoth = (amount: number): void => {
      rate.recordRegionReport({ ...first, spent: new Map([[limitedTeam.id, amount]]), isComplete: true }, true)
      rate.recordRegionReport({ ...second, spent: new Map([[limitedTeam.id, amount]]), isComplete: true }, false)
    }
    reportBoth(0)
    reportBoth(600)
    expect(rate.trySpend(limitedTeam, 250)).toBe(true)
    expect(rate.trySpend(limitedTeam, 250)).toBe(true)
    expect(rate.trySpend(limitedTeam, 250)).toBe(false)
    expect(rate.regionSpending().get(limitedTeam.id)).toBe(600)
  })

  it('continues with the second speaker if the first falls silent, without deducting anything twice', () => {
    const rate = new TeamRateLimiter({ clock: new ManualClock(), heardShare: () => 1 })
    const spentBy = (vm: string, amount: number): Parameters<TeamRateLimiter['recordRegionReport']>[0] => ({
      vm: toVmId(vm), incarnation: toIncarnationId('i'), spent: new Map([[limitedTeam.id, amount]]), isComplete: true
    })
    rate.trySpend(limitedTeam, 100)
    rate.recordRegionReport(spentBy('s1', 0), true)
    rate.recordRegionReport(spentBy('s2', 5_000), false)
    rate.recordRegionReport(spentBy('s1', 400), true)
    rate.recordRegionReport(spentBy('s2', 5_400), false)
    rate.recordRegionReport(spentBy('s2', 5_800), true)
    expect(rate.trySpend(limitedTeam, 99)).toBe(true)
    expect(rate.trySpend(limitedTeam, 1)).toBe(true)
    expect(rate.trySpend(limitedTeam, 1)).toBe(false)
  })

  it('does not deduct the whole total of a team that an incomplete first report left out', () => {
    const rate = new TeamRateLimiter({ clock: new ManualClock(), heardShare: () => 1 })
    const peer = { vm: toVmId('peer'), incarnation: toIncarnationId('i') }
    rate.trySpend(limitedTeam, 10)
    rate.recordReport({ ...peer, spent: new Map(), isComplete: false })
    rate.recordReport({ ...peer, spent: new Map([[limitedTeam.id, 1_000_000]]), isComplete: true })
    expect(rate.trySpend(limitedTeam, 10)).toBe(true)
    rate.recordReport({ ...peer, spent: new Map([[limitedTeam.id, 1_002_000]]), isComplete: false })
    expect(rate.trySpend(limitedTeam, 10)).toBe(false)
  })

  it('sums the spending of the region’s VMs for other regions', () => {
    const rate = new TeamRateLimiter({ clock: new ManualClock(), heardShare: () => 1 })
    const peer = { vm: toVmId('peer'), incarnation: toIncarnationId('i') }
    rate.trySpend(limitedTeam, 10)
    rate.recordReport({ ...peer, spent: new Map([[limitedTeam.id, 100]]), isComplete: true })
    rate.recordReport({ ...peer, spent: new Map([[limitedTeam.id, 130]]), isComplete: true })
    rate.recordReport({ ...peer, spent: new Map([[limitedTeam.id, 130]]), isComplete: true })
    expect(rate.regionSpending().get(limitedTeam.id)).toBe(40)
  })

  it('returns the charge of a request that never ran', () => {
    const rate = new TeamRateLimiter({ clock: new ManualClock(), heardShare: () => 1 })
    while (rate.trySpend(limitedTeam, 100)) { /* until the bucket is empty */ }
    rate.refund(limitedTeam, 500)
    expect(rate.trySpend(limitedTeam, 100)).toBe(true)
  })

  it('never limits a team without a rate', () => {
    const rate = new TeamRateLimiter({ clock: new ManualClock(), heardShare: () => 0.1 })
    const free = team({ ratePerSecond: 0 })
    const random = new SeededRandom(3)
    for (let request = 0; request < 100; request += 1) expect(rate.trySpend(free, random.next() * 1e6)).toBe(true)
  })
})
