import { describe, expect, it } from 'vitest'
import { RetryBudget } from './retryBudget.js'
import { SendWindow } from './sendWindow.js'
import { ManualClock, desk } from './testSupport.js'

describe('SendWindow', () => {
  it('allows no more sends than the bound in any second', () => {
    const clock = new ManualClock()
    const window = new SendWindow(clock)
    const sentAt: number[] = []
    for (let step = 0; step < 500; step += 1) {
      clock.advance(10)
      if (!window.allows(4.4)) continue
      window.sent()
      sentAt.push(clock.now)
    }
    const most = Math.max(...sentAt.map((from) => sentAt.filter((at) => at >= from && at < from + 1_000).length))
    expect(most).toBe(4)
    expect(sentAt.length).toBeGreaterThan(14)
  })

  it('allows no send if the share of the bound is below one', () => {
    expect(new SendWindow(new ManualClock()).allows(0.9)).toBe(false)
  })
})

describe('RetryAllowance', () => {
  const bounds = { ratio: 0.2, margin: 56, windowSeconds: 10 }

  it.each([1, 8, 65])('keeps the retries of %i VMs together within ratio and margin while every request fails', (vmCount) => {
    const clock = new ManualClock()
    const budgets = Array.from({ length: vmCount }, () => new RetryBudget({ clock, ...bounds, vmCount: () => vmCount }))
    const requests: number[] = []
    const repeats: number[] = []
    for (let step = 0; step < 400; step += 1) {
      clock.advance(100)
      let taken = 0
      for (const budget of budgets) {
        budget.started(desk)
        while (budget.tryTake(desk)) taken += 1
      }
      requests.push(vmCount)
      repeats.push(taken)
    }
    const sumFrom = (list: readonly number[], start: number): number => list.slice(start, start + 100).reduce((sum, each) => sum + each, 0)
    const excess = repeats.map((_, start) => sumFrom(repeats, start) - (sumFrom(requests, start) * bounds.ratio + Math.max(bounds.margin, vmCount)))
    expect(Math.max(...excess.slice(0, 300))).toBeLessThanOrEqual(0)
  })

  it('allows a retry for a service with little traffic', () => {
    const budget = new RetryBudget({ clock: new ManualClock(), ...bounds, vmCount: () => 8 })
    budget.started(desk)
    expect(budget.tryTake(desk)).toBe(true)
  })
})
