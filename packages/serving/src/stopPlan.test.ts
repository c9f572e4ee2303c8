import { SeededRandom, toRouteName } from '@cuminvale/common'
import { describe, expect, it } from 'vitest'
import { AnswerDurations } from './answerDurations.js'
import { StopPlan } from './stopPlan.js'

const plan = new StopPlan({ signalledAt: 1_000, graceMilliseconds: 8_000, reserveMilliseconds: 800 })

describe('StopPlan', () => {
  it('serves what ends before the requests under way are ended, by the bound of its duration or by its deadline', () => {
    expect(plan.endsAt).toBe(8_200)
    expect(plan.serves({ now: 5_000, deadlineAt: 20_000, boundMilliseconds: 3_200 })).toBe(true)
    expect(plan.serves({ now: 5_000, deadlineAt: 20_000, boundMilliseconds: 3_201 })).toBe(false)
    expect(plan.serves({ now: 5_000, deadlineAt: 8_200, boundMilliseconds: Infinity })).toBe(true)
    expect(plan.serves({ now: 5_000, deadlineAt: 8_201, boundMilliseconds: Infinity })).toBe(false)
  })

  // Guards against a run whose answer waits for an earlier one on its connection, which the stop cuts.
  it('serves nothing behind an answer that may be cut', () => {
    expect(plan.serves({ now: 5_000, deadlineAt: 20_000, boundMilliseconds: 10, precedingEndsAt: 8_300 })).toBe(false)
  })

  // Guards against a VM that still listens when its grace is over, where that is short.
  it('stops listening before the requests are ended', () => {
    expect(plan.listensUntil(2_500)).toBe(3_500)
    expect(new StopPlan({ signalledAt: 0, graceMilliseconds: 1_800, reserveMilliseconds: 800 }).listensUntil(2_500)).toBe(800)
  })
})

describe('AnswerDurations', () => {
  const stream = { name: toRouteName('streams'), kind: 'stream', objectiveMilliseconds: 500 } as const
  const order = { name: toRouteName('orders'), kind: 'order', objectiveMilliseconds: 500 } as const

  it('knows nothing of a stream without answers, and expects other requests within a multiple of their objective', () => {
    const durations = new AnswerDurations()
    expect(durations.boundMilliseconds(stream, 100)).toBe(Infinity)
    expect(durations.boundMilliseconds(order, 100)).toBe(2_000)
    durations.record(order, 100, 4_500)
    expect(durations.boundMilliseconds(order, 100)).toBeCloseTo(4_950)
    expect(durations.boundMilliseconds(stream, 100)).toBe(Infinity)
  })

  it.each([0.3, 0.8])('is exceeded by one answer in two hundred at most, and not by far (spread %f)', (spread) => {
    const random = new SeededRandom(7)
    const durations = new AnswerDurations()
    let exceeded = 0
    for (let answer = 0; answer < 20_000; answer += 1) {
      const predicted = 100 + random.next() * 2_000
      const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())
      const observed = predicted * Math.exp(0.5 + spread * normal)
      if (answer >= 2_000 && observed > durations.boundMilliseconds(stream, predicted)) exceeded += 1
      durations.record(stream, predicted, observed)
    }
    expect(exceeded / 18_000).toBeGreaterThan(0.0005)
    expect(exceeded / 18_000).toBeLessThan(0.005)
  })

  // Guards against orders that a VM began shortly before its end, since it expected any request of an unseen route within a multiple of its objective.
  it('expects a request of a route that has had few answers to take the predicted time at least', () => {
    const durations = new AnswerDurations()
    expect(durations.boundMilliseconds(order, 6_000)).toBeGreaterThanOrEqual(6_000)
    durations.record(order, 100, 50)
    expect(durations.boundMilliseconds(order, 6_000)).toBeGreaterThanOrEqual(6_000)
  })

  // Guards against long streams that a VM begins late in its stop, since its load has gone and with it the waits that their predictions contained.
  it.fails('does not shrink with the predicted wait for streams whose own time is not predicted', () => {
    const durations = new AnswerDurations()
    for (let answer = 0; answer < 200; answer += 1) durations.record(stream, 2_000, 2_000 + 6_000)
    expect(durations.boundMilliseconds(stream, 20)).toBeGreaterThanOrEqual(6_000)
  })

  // Guards against routes in use that are forgotten for others, so that a VM that stops refuses all of their streams.
  it('keeps the routes that are in use', () => {
    const durations = new AnswerDurations()
    for (let other = 0; other < 1_030; other += 1) {
      durations.record(stream, 100, 200)
      durations.record({ ...stream, name: toRouteName(`other-${other}`) }, 100, 200)
    }
    expect(durations.boundMilliseconds(stream, 100)).toBeLessThan(1_000)
  })

  it('follows a service that has become slower within some tens of answers', () => {
    const durations = new AnswerDurations()
    for (let answer = 0; answer < 200; answer += 1) durations.record(stream, 100, 200)
    for (let answer = 0; answer < 30; answer += 1) durations.record(stream, 100, 1_600)
    expect(durations.boundMilliseconds(stream, 100)).toBeGreaterThan(1_600)
  })
})
