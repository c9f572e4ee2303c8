import { newIncarnationId, SeededRandom, toVmId } from '@cuminvale/common'
import { Result } from 'true-myth'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { GatewayMetrics } from './gatewayMetrics.js'
import { RecordPoller } from './recordPoller.js'
import { GatewayState } from './gatewayState.js'
import { SourceError, SourceErrorKind } from './errors.js'
import { TestDecoder, domain, region, testCodec } from './testSupport.js'
import type { Clock } from '@cuminvale/common'
import type { RecordChanges, RecordSnapshot, RecordSource } from './types.js'

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

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
    return await this.answer(() => ({ changes: this.records.records, at: this.records.at }))
  }

  close (): void { /* nothing to close */ }

  private async answer<Value> (value: () => Value): Promise<Result<Value, SourceError>> {
    this.calls += 1
    await new Promise((resolve) => setTimeout(resolve, 10))
    if (this.failure !== undefined) return Result.err(new SourceError(this.failure, 'failure set by the test'))
    return Result.ok(value())
  }
}

const start = (): { source: ScriptedSource, keeper: RecordPoller, state: GatewayState } => {
  const settings = {
    vm: toVmId('vm-1'),
    region,
    failureDomain: domain,
    host: '127.0.0.1',
    callerPort: 0,
    linkPort: 0,
    seeds: [],
    domainRegions: new Map([[domain, region]]),
    bounds: { configurationApplyMilliseconds: 3_000, upstreamLeavingMilliseconds: 3_000, leavingGraceMilliseconds: 8_000, retryRatio: 0.2, retryWindowSeconds: 10, retryMargin: 56, coldOverage: 1.5, coldMargin: 3 }
  }
  const metrics = new GatewayMetrics()
  const state = new GatewayState({
    settings,
    self: { vm: settings.vm, incarnation: newIncarnationId(), region, failureDomain: domain, linkAddress: 'a:1', callerAddress: 'a:2' },
    clock,
    random: new SeededRandom(1),
    codec: testCodec,
    decoder: new TestDecoder(),
    log,
    metrics
  })
  const source = new ScriptedSource()
  const keeper = new RecordPoller({ state, source, metrics, onChange: () => { /* not asserted */ } })
  keeper.start()
  return { source, keeper, state }
}

const keysOf = (state: GatewayState): readonly string[] => [...state.records.all].map(({ key }) => key)

describe('RecordPoller', () => {
  it('applies a change well within the tightest bound, with few calls', async () => {
    const { source, state, keeper } = start()
    await vi.advanceTimersByTimeAsync(1_000)
    const before = source.calls
    source.records = { records: [{ key: 'a', value: 'x', revision: 2 }], at: 2 }
    await vi.advanceTimersByTimeAsync(1_500)
    expect(keysOf(state)).toEqual(['a'])
    expect(source.calls - before).toBeLessThanOrEqual(3)
    keeper.stop()
  })

  it('reads a new snapshot if the source has dropped the changes that it needs', async () => {
    const { source, state, keeper } = start()
    await vi.advanceTimersByTimeAsync(1_000)
    source.failure = SourceErrorKind.HistoryDropped
    source.records = { records: [{ key: 'b', value: 'x', revision: 7 }], at: 7 }
    await vi.advanceTimersByTimeAsync(1_000)
    source.failure = undefined
    await vi.advanceTimersByTimeAsync(1_000)
    expect(source.snapshots).toBeGreaterThan(1)
    expect(keysOf(state)).toEqual(['b'])
    keeper.stop()
  })

  it('reports a lost source, keeps its records, and continues when the source is back', async () => {
    const { source, state, keeper } = start()
    source.records = { records: [{ key: 'a', value: 'x', revision: 2 }], at: 2 }
    await vi.advanceTimersByTimeAsync(1_000)
    source.failure = SourceErrorKind.Unreachable
    await vi.advanceTimersByTimeAsync(3_000)
    expect([keeper.isSourceLost, ...keysOf(state)]).toEqual([true, 'a'])
    source.failure = undefined
    source.records = { records: [{ key: 'c', value: 'x', revision: 9 }], at: 9 }
    await vi.advanceTimersByTimeAsync(1_500)
    expect([keeper.isSourceLost, ...keysOf(state)]).toEqual([false, 'a', 'c'])
    keeper.stop()
  })
})
