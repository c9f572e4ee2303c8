import { afterEach, describe, expect, it } from 'vitest'
import { ManualClock, toModelName, toRequestId } from '@cuminvale/common'
import { CacheEventKind, HttpModelEngine } from '@cuminvale/services'
import type { EngineOrder, ModelEngine } from '@cuminvale/services'
import { FakeEngine } from './fakeEngine.js'
import { FakeModelEngine } from './fakeModelEngine.js'
import type { FakeModelEngineOptions } from './fakeModelEngine.js'

interface Subject {
  readonly engine: ModelEngine
  /** The in-memory fake behind the interface, through which a test sets up its conditions. */
  readonly fake: FakeModelEngine
}

type SubjectBuilder = (options: FakeModelEngineOptions) => Promise<Subject>

const startedEngines: FakeEngine[] = []

afterEach(async () => {
  await Promise.all(startedEngines.splice(0).map(async (fake) => await fake.server.stop()))
})

const inMemory: SubjectBuilder = (options) => {
  const fake = new FakeModelEngine(options)
  return Promise.resolve({ engine: fake, fake })
}

const overHttp: SubjectBuilder = async (options) => {
  const fakeEngine = new FakeEngine({ ...options, firstTokenMilliseconds: 0, tokenMilliseconds: 0 })
  await fakeEngine.server.start()
  startedEngines.push(fakeEngine)
  return { engine: new HttpModelEngine(fakeEngine.server.address), fake: fakeEngine.engine }
}

const state = { loaded: [toModelName('writer')], version: '1', role: 'both', fence: 5 }
const order = (fence: number, version = '1'): EngineOrder => ({ wanted: [toModelName('planner')], version, role: 'prefill', fence })
const threeBlocks = 'x'.repeat(768)

const expectOk = async <Value>(pending: Promise<{ isOk: boolean, value?: Value }>): Promise<Value> => {
  const result = await pending
  expect(result.isOk).toBe(true)
  return result.value as Value
}

describe.each<[string, SubjectBuilder]>([['in memory', inMemory], ['over HTTP', overHttp]])('a model engine %s', (_, build) => {
  it('reports the load with the configured lag', async () => {
    const clock = new ManualClock(0)
    const { engine, fake } = await build({ state, checksFencing: true, slots: 1, loadLagMilliseconds: 100, clock })
    fake.recordLoad()
    clock.now = 50
    await fake.slots.acquire('interactive')
    fake.slots.acquire('batch').catch(() => {})
    fake.recordLoad()
    clock.now = 120
    expect(await expectOk(engine.load())).toEqual({ running: 0, queued: 0, ageMilliseconds: 100, leaving: false })
    clock.now = 160
    fake.leaving = true
    expect(await expectOk(engine.load())).toEqual({ running: 1, queued: 1, ageMilliseconds: 100, leaving: true })
  })

  it('publishes cache events after their lag, in order, and only those after the given sequence number', async () => {
    const clock = new ManualClock(0)
    const { engine, fake } = await build({ state, checksFencing: true, cacheEventLagMilliseconds: 30, clock })
    fake.cachePrompt(threeBlocks)
    expect(await expectOk(engine.cacheEvents(0))).toEqual([])
    clock.now = 30
    const events = await expectOk(engine.cacheEvents(1))
    expect(events.map(({ sequence, kind, tokens }) => [sequence, kind, tokens]))
      .toEqual([[2, CacheEventKind.Stored, 128], [3, CacheEventKind.Stored, 192]])
  })

  it('shows a lost cache event as a gap in the sequence', async () => {
    const { engine, fake } = await build({ state, checksFencing: true, cacheEventLossInterval: 2 })
    fake.cachePrompt(threeBlocks)
    expect((await expectOk(engine.cacheEvents(0))).map(({ sequence }) => sequence)).toEqual([1, 3])
  })

  it('reports the evicted prefix when the cache is full', async () => {
    const { engine, fake } = await build({ state, checksFencing: true, cacheCapacityPrefixes: 2 })
    fake.cachePrompt(threeBlocks)
    const events = await expectOk(engine.cacheEvents(0))
    expect(events.map(({ kind }) => kind)).toEqual([CacheEventKind.Stored, CacheEventKind.Stored, CacheEventKind.Removed, CacheEventKind.Stored])
    expect(events[2]?.prefix).toBe(events[0]?.prefix)
  })

  it('clears its cache when an order changes the version', async () => {
    const { engine, fake } = await build({ state, checksFencing: true })
    fake.cachePrompt(threeBlocks)
    await expectOk(engine.order(order(6, '2')))
    expect((await expectOk(engine.cacheEvents(3))).map(({ kind }) => kind)).toEqual([CacheEventKind.Cleared])
    expect(fake.cachedTokens(threeBlocks)).toBe(0)
  })

  it.each<[string, boolean, number, boolean, number]>([
    ['accepts an order with a higher fencing number', true, 6, true, 6],
    ['accepts an order with an equal fencing number', true, 5, true, 5],
    ['refuses an order with an outdated fencing number if it checks fencing', true, 4, false, 5],
    ['accepts an order with an outdated fencing number if it does not check fencing', false, 4, true, 5]
  ])('%s', async (_name, checksFencing, fence, isAccepted, fenceAfter) => {
    const { engine } = await build({ state, checksFencing })
    const answer = await engine.order(order(fence))
    expect(answer.isOk).toBe(isAccepted)
    const after = await expectOk(engine.state())
    expect(after.fence).toBe(fenceAfter)
    expect(after.loaded).toEqual(isAccepted ? ['planner'] : ['writer'])
  })

  it('cancels a running request once', async () => {
    const { engine, fake } = await build({ state, checksFencing: true })
    let cancelled = 0
    fake.registerRequest(toRequestId('incarnation-1'), () => { cancelled += 1 })
    expect(await expectOk(engine.cancel(toRequestId('incarnation-1')))).toBe(true)
    expect(await expectOk(engine.cancel(toRequestId('incarnation-1')))).toBe(false)
    expect(cancelled).toBe(1)
  })

  it('exports cached prefixes, and another engine imports them', async () => {
    const source = await build({ state, checksFencing: true })
    const target = await build({ state, checksFencing: true })
    source.fake.cachePrompt(threeBlocks)
    for (const { prefix } of await expectOk(source.engine.cacheEvents(0))) {
      await expectOk(target.engine.importCache(prefix, await expectOk(source.engine.exportCache(prefix))))
    }
    expect(target.fake.cachedTokens(threeBlocks)).toBe(192)
    expect((await source.engine.exportCache('unknown')).isErr).toBe(true)
  })
})
