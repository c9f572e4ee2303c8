import { describe, expect, it } from 'vitest'
import { Outcome, PriorityClass, RefusalReason, toRequestId, toTeamId } from '@cuminvale/common'
import { FairQueue } from './fairQueue.js'
import type { FairQueueOptions } from './fairQueue.js'
import type { QueuedRequest } from './types.js'

const fixture = (bounds: Partial<FairQueueOptions> = {}) => {
  const clock = { now: 0, monotonic: () => clock.now, wall: () => clock.now }
  const queue = new FairQueue<QueuedRequest>({
    clock,
    capacityRequests: 10_000,
    capacityTokens: 10_000_000,
    teamShare: 1,
    interactiveHeadStartTokens: 1_000,
    agingMilliseconds: 5_000,
    deadlineSlack: 1,
    ...bounds
  })
  let next = 0
  const add = (team: string, request: Partial<QueuedRequest> = {}) => {
    next += 1
    return queue.enqueue({
      id: toRequestId(`${team}-${next}`),
      team: toTeamId(team),
      pool: 'pool',
      priority: PriorityClass.Interactive,
      weight: 1,
      cost: 100,
      enqueuedAt: clock.now,
      deadlineAt: clock.now + 60_000,
      ...request
    })
  }
  const take = () => queue.dequeue(() => true)
  const takeTeams = (count: number) => Array.from({ length: count }, () => String(take()?.team))
  return { clock, queue, add, take, takeTeams }
}

const repeat = (count: number, action: () => void): void => {
  for (let index = 0; index < count; index += 1) action()
}

describe('FairQueue', () => {
  it.each([
    ['equal weights', 1, 1, 20],
    ['weights 3 and 1', 3, 1, 30]
  ])('divides tokens between backlogged teams by weight: %s', (_, first, second, expected) => {
    const { add, takeTeams } = fixture()
    repeat(100, () => add('one', { weight: first }))
    repeat(100, () => add('two', { weight: second }))
    expect(takeTeams(40).filter((team) => team === 'one')).toHaveLength(expected)
  })

  it('serves a newly active team before the backlog of another team', () => {
    const { add, takeTeams } = fixture()
    repeat(1_000, () => add('large'))
    takeTeams(50)
    add('small')
    expect(takeTeams(2)).toContain('small')
  })

  it('serves interactive before batch requests, and aged batch requests like interactive ones', () => {
    const { clock, add, take } = fixture()
    add('one', { priority: PriorityClass.Batch })
    add('two')
    expect(take()?.team).toBe('two')
    clock.now = 6_000
    add('two')
    add('three')
    expect([take()?.team, take()?.team, take()?.team]).toContain('one')
  })

  it('does not starve batch requests under continuous interactive requests of other teams', () => {
    const { add, takeTeams } = fixture()
    add('slow', { priority: PriorityClass.Batch })
    repeat(1_000, () => add('busy'))
    expect(takeTeams(12)).toContain('slow')
  })

  it('skips a pool that cannot dispatch', () => {
    const { queue, add } = fixture()
    add('one', { pool: 'full' })
    add('one', { pool: 'free' })
    expect(queue.dequeue(({ pool }) => pool === 'free')?.pool).toBe('free')
    expect(queue.waitingCount('full')).toBe(1)
  })

  it('sheds the newest request of the team with the most tokens relative to its weight, as not run', () => {
    const { add } = fixture({ capacityRequests: 5 })
    repeat(4, () => add('large'))
    add('small')
    const shed = add('small')
    expect(shed.map(({ request }) => request.id)).toEqual(['large-4'])
    expect(shed[0]?.refusal).toMatchObject({ reason: RefusalReason.QueueFull, outcome: Outcome.NotRun })
    expect(shed[0]?.refusal.retryAfterMilliseconds).toBeGreaterThan(0)
  })

  it.each([
    ['requests', { capacityRequests: 10, teamShare: 0.5 }, 5],
    ['tokens', { capacityTokens: 600, teamShare: 0.5 }, 3]
  ])('bounds what one team may queue, by %s', (_, bounds, expected) => {
    const { queue, add } = fixture(bounds)
    repeat(20, () => add('large'))
    expect(queue.length).toBe(expected)
  })

  it('refuses at once a request that cannot start before its deadline, with a retry time', () => {
    const { clock, add, take } = fixture()
    repeat(200, () => add('one'))
    repeat(50, () => {
      clock.now += 100
      take()
    })
    const [shed] = add('one', { deadlineAt: clock.now + 1_000 })
    expect(shed?.refusal).toMatchObject({ reason: RefusalReason.DeadlineExceeded, outcome: Outcome.NotRun })
    expect(shed?.refusal.retryAfterMilliseconds).toBeGreaterThan(1_000)
    expect(add('two', { deadlineAt: clock.now + 1_000 })).toEqual([])
  })

  it('expires requests at their deadline and not before', () => {
    const { clock, queue, add } = fixture()
    add('one', { deadlineAt: 50 })
    add('one', { deadlineAt: 60 })
    clock.now = 50
    expect(queue.expire().map(({ request }) => request.deadlineAt)).toEqual([50])
    expect(queue.length).toBe(1)
  })
})
