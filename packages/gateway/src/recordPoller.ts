/**
 * Reads the published records from their source: a snapshot first, then the
 * changes. Each call has a cost, so only a few VMs of a region poll the source
 * and feed the others, and their polls are spaced out, at a fraction of the
 * tightest bound. A fed VM reads for itself while its knowledge is too old.
 */

import {
  changePollMilliseconds, feedingPollShare, fedSourceRetryIntervalMilliseconds, maximumFirstReadDelayMilliseconds, pollIntervalShare, recordExpiryOutageMilliseconds, sourceRetryIntervalMilliseconds, staleKnowledgeJitterShare,
  staleKnowledgeShare
} from './constants.js'
import { SourceErrorKind } from './errors.js'
import { describePosition } from '@cuminvale/serving'
import type { RecordChange } from '@cuminvale/serving'
import type { SourceError } from './errors.js'
import type { GatewayMetrics } from './gatewayMetrics.js'
import type { GatewayState } from './gatewayState.js'
import type { RecordFeed } from './recordFeed.js'
import type { RecordChanges, RecordSource } from './types.js'

/** Which VMs a VM gets the records from or gives them to. */
export const RecordRole = {
  /** Reads the source, and feeds no other VM. */
  Reading: 'reading',
  /** Reads the source, and passes changes on. */
  Feeding: 'feeding',
  /** Reads the source only if the feed fails. */
  Fed: 'fed'
} as const

export type RecordRole = typeof RecordRole[keyof typeof RecordRole]

export interface RecordPollerOptions {
  readonly state: GatewayState
  readonly source: RecordSource
  readonly metrics: GatewayMetrics
  readonly feed: RecordFeed
  readonly role: () => RecordRole
  readonly onChange: () => void
  /** Called with changes that the source reported after a revision. */
  readonly onChangesRead?: (changes: readonly RecordChange[], after: number) => void
}

export class RecordPoller {
  /** Whether the source no longer holds the changes that this VM needs. */
  private isHistoryLost = false
  private sourceLostAt: number | undefined
  private isStopped = false
  private isPolling = false
  private pollAt: number
  private readonly startedAt: number
  /** Age at which this VM's knowledge counts as stale; a random part differs from VM to VM. */
  private readonly staleAfterMilliseconds: number

  constructor (private readonly options: RecordPollerOptions) {
    const { clock, random, settings } = options.state
    this.startedAt = clock.monotonic()
    // Seeds read at once, since the others ask them first.
    const isSeed = settings.seeds.length === 0 || settings.seeds.includes(`${settings.host}:${settings.linkPort}`)
    this.pollAt = this.startedAt + (isSeed ? 0 : random.next() * maximumFirstReadDelayMilliseconds)
    this.staleAfterMilliseconds = this.tightestBoundMilliseconds * (staleKnowledgeShare + random.next() * staleKnowledgeJitterShare)
  }

  /** Whether the last call to the source failed. */
  get isSourceLost (): boolean {
    return this.sourceLostAt !== undefined
  }

  /** Starts a poll if one is due. Called every tick, and by this poller after a pause. */
  tick (): void {
    const { clock, log } = this.options.state
    if (this.isPolling || this.isStopped || clock.monotonic() < this.pollAt || !this.mustRead) return
    this.isPolling = true
    this.poll()
      .catch((error: Error) => log.error('record-poll-failed', { detail: error.message }))
      .finally(() => { this.isPolling = false })
  }

  stop (): void {
    this.isStopped = true
  }

  /** A fed VM reads when its knowledge is stale; without any, as soon as its first delay is over. */
  private get mustRead (): boolean {
    const { state, feed, role } = this.options
    return role() !== RecordRole.Fed || state.records.at === 0 || feed.ageMilliseconds > this.staleAfterMilliseconds
  }

  private async poll (): Promise<void> {
    const { clock, records } = this.options.state
    const failure = records.at === 0 || this.isHistoryLost ? await this.readSnapshot() : await this.readChanges()
    if (this.isStopped) return
    const pauseMilliseconds = failure === undefined ? this.tightestBoundMilliseconds * pollIntervalShare : this.retryPauseMilliseconds(failure)
    this.pollAt = clock.monotonic() + pauseMilliseconds
    setTimeout(() => this.tick(), pauseMilliseconds)
  }

  private retryPauseMilliseconds ({ kind }: SourceError): number {
    const { state: { random, records }, role } = this.options
    if (kind === SourceErrorKind.HistoryDropped) return 0
    if (role() !== RecordRole.Fed || records.at === 0) return sourceRetryIntervalMilliseconds
    return fedSourceRetryIntervalMilliseconds * (1 - random.next() / 2)
  }

  private get tightestBoundMilliseconds (): number {
    const { configurationApplyMilliseconds, upstreamLeavingMilliseconds } = this.options.state.settings.bounds
    return Math.min(configurationApplyMilliseconds, upstreamLeavingMilliseconds)
  }

  private get waitMilliseconds (): number {
    if (this.options.role() === RecordRole.Reading) return changePollMilliseconds
    return Math.min(changePollMilliseconds, this.tightestBoundMilliseconds * feedingPollShare)
  }

  private async readSnapshot (): Promise<SourceError | undefined> {
    const { state, source } = this.options
    const read = await source.snapshot()
    if (read.isErr) return this.failed(read.error)
    this.succeeded()
    this.isHistoryLost = false
    this.reportSkipped(read.value.skipped)
    state.records.applySnapshot(read.value.records, read.value.at)
    this.options.onChange()
    return undefined
  }

  private async readChanges (): Promise<SourceError | undefined> {
    const { state, source } = this.options
    const after = state.records.at
    const read = await source.changes(after, this.waitMilliseconds)
    if (read.isErr) return this.failed(read.error)
    this.succeeded()
    this.applyChanges(read.value, after)
    return undefined
  }

  /**
   * Reads the changes up to now, beside a poll that waits for the next ones.
   * False if they could not be read; the poll finds out why, and what follows.
   */
  async readCurrent (): Promise<boolean> {
    const { state, source, metrics, feed } = this.options
    const after = state.records.at
    if (after === 0 || this.isHistoryLost) return false
    const read = await source.currentChanges(after)
    metrics.sourceCalls.inc({ result: read.isErr ? read.error.kind : 'ok' })
    if (read.isErr || this.isStopped || this.isHistoryLost) return false
    feed.confirm()
    this.applyChanges(read.value, after)
    return (read.value.skipped ?? 0) === 0
  }

  private applyChanges ({ changes, at, skipped }: RecordChanges, after: number): void {
    const { state, onChange, onChangesRead } = this.options
    state.versions.recordSourceChanges({ changes, at, skipped: skipped ?? 0 }, after)
    if (at <= state.records.at) return
    this.reportSkipped(skipped)
    // Which record has changed isn't known, so all are read again.
    if ((skipped ?? 0) > 0) this.isHistoryLost = true
    if (state.records.applyChanges(changes, at)) onChange()
    onChangesRead?.(changes, after)
  }

  private reportSkipped (count = 0): void {
    if (count === 0) return
    this.options.metrics.unreadableRecords.inc(count)
    this.options.state.log.warn('source-items-unreadable', { count })
  }

  private failed (error: SourceError): SourceError {
    const { state, metrics, feed } = this.options
    metrics.sourceCalls.inc({ result: error.kind })
    if (error.kind === SourceErrorKind.HistoryDropped) {
      this.isHistoryLost = true
      state.log.warn('source-history-lost', { at: describePosition(state.records.at) })
      return error
    }
    if (this.sourceLostAt === undefined) {
      // A fed VM didn't poll, so the source may have been lost since its knowledge was last confirmed.
      const now = state.clock.monotonic()
      this.sourceLostAt = this.options.role() === RecordRole.Fed ? Math.max(this.startedAt, now - feed.ageMilliseconds) : now
      state.log.warn('source-lost', { kind: error.kind, detail: error.message, at: describePosition(state.records.at) })
    }
    return error
  }

  private succeeded (): void {
    const { state, metrics, feed } = this.options
    metrics.sourceCalls.inc({ result: 'ok' })
    feed.confirm()
    if (this.sourceLostAt === undefined) return
    const lostMilliseconds = Math.round(state.clock.monotonic() - this.sourceLostAt)
    this.sourceLostAt = undefined
    if (lostMilliseconds >= recordExpiryOutageMilliseconds) state.records.startLapseGrace()
    state.log.info('source-regained', { lostMilliseconds, at: describePosition(state.records.at) })
  }
}
