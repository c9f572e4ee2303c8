import { describe, expect, it } from 'vitest'
import { SeededRandom, toTeamId } from '@cuminvale/common'
import { RetryBudget } from './retryBudget.js'
import { RetryDecisionKind } from './retryPolicy.js'

const team = toTeamId('binders')

const setup = () => {
  const time = { now: 0 }
  const clock = { monotonic: () => time.now, wall: () => time.now }
  return { time, budget: new RetryBudget({ clock, random: new SeededRandom(1) }) }
}

const attempt = { team, attempts: 1, remainingMilliseconds: 10_000 }

const countRetries = (budget: RetryBudget, tries: number): number => {
  let retries = 0
  for (let index = 0; index < tries; index += 1) {
    budget.started(team)
    if (budget.decide(attempt).kind === RetryDecisionKind.Retry) retries += 1
  }
  return retries
}

describe('RetryBudget', () => {
  it('keeps retries to a tenth of the work when everything fails', () => {
    const { budget } = setup()
    expect(countRetries(budget, 1_000)).toBeLessThanOrEqual(1_000 * 0.1 + 20)
  })

  it('lets a team with few requests retry, and gives up near the deadline or after the last retry', () => {
    const { budget } = setup()
    budget.started(team)
    expect(budget.decide(attempt).kind).toBe(RetryDecisionKind.Retry)
    expect(budget.decide({ ...attempt, remainingMilliseconds: 0 }).kind).toBe(RetryDecisionKind.GiveUp)
    expect(budget.decide({ ...attempt, attempts: 4 }).kind).toBe(RetryDecisionKind.GiveUp)
  })

  it('jitters delays below a growing upper bound', () => {
    const { budget } = setup()
    const delays = [1, 2, 3].map((attempts) => {
      const decision = budget.decide({ ...attempt, attempts })
      return decision.kind === RetryDecisionKind.Retry ? decision.delayMilliseconds : NaN
    })
    delays.forEach((delay, index) => expect(delay).toBeLessThanOrEqual(10 * 2 ** index))
    expect(new Set(delays).size).toBe(3)
  })
})
