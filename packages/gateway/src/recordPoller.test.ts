import { newIncarnationId, SeededRandom, toVmId } from '@cuminvale/common'
import { Result } from 'true-myth'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { GatewayMetrics } from './gatewayMetrics.js'
import { RecordFeed } from './recordFeed.js'
import { RecordPoller, RecordRole } from './recordPoller.js'
import { GatewayState } from './gatewayState.js'
import { SourceError, SourceErrorKind } from './errors.js'
import { TestDecoder, domain, region, testCodec } from './testSupport.js'
import type { Clock } from '@cuminvale/common'
import type { RecordChanges, RecordSnapshot, RecordSource } from './types.js'

let timers: NodeJS.Timeout[] = []
beforeEach(() => { vi.useFakeTimers() })
afterEach(() => {
  timers.forEach((timer) => clearInterval(timer))
  timers = []
  vi.useRealTimers()
})

const clock: Clock = { monotonic: () => performance.now(), wall: () => Date.now() }
const log = { info: () => { /* not asserted */ }, warn: () => { /* not asserted */ }, error: () => { /* not asserted */ } }

/** A source with answers set by the test; each call takes 10 ms. */
class ScriptedSource implements RecordSource {
  records: RecordSnapshot = { records: [], at: 1 }
  failure: SourceErrorKind | undefined
  snapshots = 0
  calls = 0

  async snapshot (): Promise<Result<RecordSnapshot, SourceError>> {
    this.snapshots += 1
    return await this.answer(() => this.records)
  }

  async changes (): Promise<Result<RecordChanges, SourceError>> {
    return await this.answer(() => ({ ...this.records, changes: this.records.records }))
  }

  async currentChanges (): Promise<Result<RecordChanges, SourceError>> {
    return await this.changes()
  }

  close (): void { /* nothing to close */ }

  private async answer<Value> (value: () => Value): Promise<Result<Value, SourceError>> {
    this.calls += 1
    await new Promise((resolve) => setTimeout(resolve, 10))
    if (this.failure !== undefined) return Result.err(new SourceError(this.failure, 'failure set by the test'))
    return Result.ok(value())
  }
}

interface StartedPoller {
  readonly source: ScriptedSource
  readonly poller: RecordPoller
  readonly state: GatewayState
  readonly feed: RecordFeed
  readonly decoder: TestDecoder
  readonly metrics: GatewayMetrics
}

const start = (role: () => RecordRole = () => RecordRole.Reading, seeds: readonly string[] = []): StartedPoller => {
  const settings = {
    vm: toVmId('vm-1'),
    region,
    failureDomain: domain,
    host: '127.0.0.1',
    callerPort: 0,
    linkPort: 0,
    processorCapacity: 1,
    seeds,
    domainRegions: new Map([[domain, region]]),
    bounds: { configurationApplyMilliseconds: 3_000, upstreamLeavingMilliseconds: 3_000, leavingGraceMilliseconds: 8_000, retryRatio: 0.2, retryWindowSeconds: 10, retryMargin: 56, coldOverage: 1.5, coldMargin: 3 }
  }
  const metrics = new GatewayMetrics()
  const decoder = new TestDecoder()
  const state = new GatewayState({
    settings,
    self: { vm: settings.vm, incarnation: newIncarnationId(), region, failureDomain: domain, linkAddress: 'a:1', callerAddress: 'a:2', processorCapacity: 1 },
    clock,
    random: new SeededRandom(1),
    codec: testCodec,
    decoder,
    log,
    metrics
  })
  const source = new ScriptedSource()
  const feed = new RecordFeed({ clock, records: state.records, takesRecords: () => role() === RecordRole.Fed, onRecordsAdopted: () => { /* not asserted */ } })
  const poller = new RecordPoller({ state, source, metrics, feed, role, onChange: () => { /* not asserted */ } })
  const timer = setInterval(() => poller.tick(), 200)
  timers.push(timer)
  poller.tick()
  return { source, poller, state, feed, decoder, metrics }
}

const keysOf = (state: GatewayState): readonly string[] => [...state.records.all].map(({ key }) => key)

describe('RecordPoller', () => {
  it('applies a change well within the tightest bound, with few calls', async () => {
    const { source, state, poller } = start()
    await vi.advanceTimersByTimeAsync(1_000)
    const before = source.calls
    source.records = { records: [{ key: 'a', value: 'x', revision: 2 }], at: 2 }
    await vi.advanceTimersByTimeAsync(1_500)
    expect(keysOf(state)).toEqual(['a'])
    expect(source.calls - before).toBeLessThanOrEqual(3)
    poller.stop()
  })

  it('reads a new snapshot if the source has dropped the changes that it needs', async () => {
    const { source, state, poller } = start()
    await vi.advanceTimersByTimeAsync(1_000)
    source.failure = SourceErrorKind.HistoryDropped
    source.records = { records: [{ key: 'b', value: 'x', revision: 7 }], at: 7 }
    await vi.advanceTimersByTimeAsync(1_000)
    source.failure = undefined
    await vi.advanceTimersByTimeAsync(1_000)
    expect(source.snapshots).toBeGreaterThan(1)
    expect(keysOf(state)).toEqual(['b'])
    poller.stop()
  })

  it('reports a lost source, keeps its records, and continues when the source is back', async () => {
    const { source, state, poller } = start()
    source.records = { records: [{ key: 'a', value: 'x', revision: 2 }], at: 2 }
    await vi.advanceTimersByTimeAsync(1_000)
    source.failure = SourceErrorKind.Unreachable
    await vi.advanceTimersByTimeAsync(3_000)
    expect([poller.isSourceLost, ...keysOf(state)]).toEqual([true, 'a'])
    source.failure = undefined
    source.records = { records: [{ key: 'c', value: 'x', revision: 9 }], at: 9 }
    await vi.advanceTimersByTimeAsync(1_500)
    expect([poller.isSourceLost, ...keysOf(state)]).toEqual([false, 'a', 'c'])
    poller.stop()
  })

  it('reads nothing itself while another VM feeds it', async () => {
    const { source, feed, poller } = start(() => RecordRole.Fed)
    await vi.advanceTimersByTimeAsync(500)
    expect(source.calls).toBe(1)
    for (let seconds = 0; seconds < 20; seconds += 1) {
      feed.handleKnowledge({ at: 1, recordAge: 1_900 }, () => { /* not asserted */ })
      await vi.advanceTimersByTimeAsync(300)
    }
    expect(source.calls).toBe(1)
    poller.stop()
  })

  it('reads itself within the tightest bound of three seconds once its feed is silent or behind', async () => {
    const { source, feed, state, poller } = start(() => RecordRole.Fed)
    await vi.advanceTimersByTimeAsync(500)
    feed.handleKnowledge({ at: 1, recordAge: 0 }, () => { /* the VM that feeds doesn't answer */ })
    source.records = { records: [{ key: 'a', value: 'x', revision: 2 }], at: 2 }
    await vi.advanceTimersByTimeAsync(2_950)
    expect(keysOf(state)).toEqual(['a'])
    poller.stop()
  })

  it('reads once, with changes only, if another VM has given it the records', async () => {
    const { source, state, poller } = start()
    state.records.applySnapshot([{ key: 'a', value: 'x', revision: 2 }], 2)
    await vi.advanceTimersByTimeAsync(2_000)
    expect(source.snapshots).toBeLessThanOrEqual(1)
    poller.stop()
  })

  it('waits for the end of an outage that it noticed late, before it takes a missing record for gone', async () => {
    const { source, state, poller } = start(() => RecordRole.Fed)
    source.records = { records: [{ key: 'a', value: 'x', revision: 2 }], at: 2 }
    await vi.advanceTimersByTimeAsync(500)
    source.failure = SourceErrorKind.Unreachable
    await vi.advanceTimersByTimeAsync(2_900)
    expect(poller.isSourceLost).toBe(true)
    source.failure = undefined
    await vi.advanceTimersByTimeAsync(2_100)
    expect([poller.isSourceLost, state.records.lapseGraceMilliseconds > 0]).toEqual([false, true])
    poller.stop()
  })

  it('reads at once at a seed, and at other VMs only if no VM gives them the records', async () => {
    const seed = start(() => RecordRole.Fed, ['127.0.0.1:0'])
    const others = Array.from({ length: 8 }, () => start(() => RecordRole.Fed, ['10.0.0.1:1']))
    await vi.advanceTimersByTimeAsync(20)
    expect([seed, ...others].map(({ state }) => state.records.at > 0)).toEqual([true, ...others.map(() => false)])
    await vi.advanceTimersByTimeAsync(1_000)
    expect(others.every(({ state }) => state.records.at > 0)).toBe(true)
    for (const { poller } of [seed, ...others]) poller.stop()
  })

  // Guards against a change that is missed for good since its item could not be read.
  it('reads all records again after a change that names none', async () => {
    const { source, state, poller } = start()
    await vi.advanceTimersByTimeAsync(1_000)
    source.records = { records: [{ key: 'a', value: 'x', revision: 2 }], at: 2, skipped: 1 }
    await vi.advanceTimersByTimeAsync(2_000)
    expect([source.snapshots, ...keysOf(state)]).toEqual([2, 'a'])
    poller.stop()
  })

  // Guards against records that are left out unnoticed.
  it('counts the records that could not be read, and the items of the source that name none', async () => {
    const { source, decoder, state, metrics, poller } = start()
    decoder.view = { ...decoder.view, faults: [{ key: 'a', detail: 'not JSON' }] }
    state.adoptRecords()
    source.records = { records: [], at: 1, skipped: 2 }
    await vi.advanceTimersByTimeAsync(50)
    const { values } = await metrics.registry.getSingleMetric('cuminvale_gateway_unreadable_records_total')?.get() ?? { values: [] }
    expect(values.map(({ value }) => value)).toEqual([3])
    poller.stop()
  })
})
