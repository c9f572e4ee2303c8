/**
 * Polls the source of the published records for the gateway process: a snapshot
 * first, then the changes. Each call has a cost, so that polls are spaced out,
 * at a fraction of the tightest bound.
 */

import { changePollMilliseconds, recordExpiryOutageMilliseconds, pollIntervalShare, sourceRetryIntervalMilliseconds } from './constants.js'
import { SourceErrorKind } from './errors.js'
import type { SourceError } from './errors.js'
import type { GatewayMetrics } from './gatewayMetrics.js'
import type { GatewayState } from './gatewayState.js'
import type { RecordSource } from './types.js'

export interface RecordPollerOptions {
  readonly state: GatewayState
  readonly source: RecordSource
  readonly metrics: GatewayMetrics
  readonly onChange: () => void
}

export class RecordPoller {
  private needsSnapshot = true
  private sourceLostAt: number | undefined
  private isStopped = false
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly options: RecordPollerOptions) {}

  /** Whether the last call to the source failed. */
  get isSourceLost (): boolean {
    return this.sourceLostAt !== undefined
  }

  start (): void {
    this.pollOnce().catch((error: Error) => this.options.state.log.error('record-keeper-failed', { detail: error.message }))
  }

  stop (): void {
    this.isStopped = true
    clearTimeout(this.timer)
  }

  private async pollOnce (): Promise<void> {
    const failure = this.needsSnapshot ? await this.readSnapshot() : await this.readChanges()
    if (this.isStopped) return
    const pauseMilliseconds = failure === undefined ? this.pollIntervalMilliseconds : failure.kind === SourceErrorKind.HistoryDropped ? 0 : sourceRetryIntervalMilliseconds
    this.timer = setTimeout(() => this.start(), pauseMilliseconds)
  }

  private get pollIntervalMilliseconds (): number {
    const { configurationApplyMilliseconds, upstreamLeavingMilliseconds } = this.options.state.settings.bounds
    return Math.min(configurationApplyMilliseconds, upstreamLeavingMilliseconds) * pollIntervalShare
  }

  private async readSnapshot (): Promise<SourceError | undefined> {
    const { state, source } = this.options
    const read = await source.snapshot()
    if (read.isErr) return this.failed(read.error)
    this.succeeded()
    this.needsSnapshot = false
    state.records.applySnapshot(read.value.records, read.value.at)
    this.options.onChange()
    return undefined
  }

  private async readChanges (): Promise<SourceError | undefined> {
    const { state, source } = this.options
    const read = await source.changes(state.records.at, changePollMilliseconds)
    if (read.isErr) return this.failed(read.error)
    this.succeeded()
    if (state.records.applyChanges(read.value.changes, read.value.at)) this.options.onChange()
    return undefined
  }

  private failed (error: SourceError): SourceError {
    const { state, metrics } = this.options
    metrics.sourceCalls.inc({ result: error.kind })
    if (error.kind === SourceErrorKind.HistoryDropped) {
      this.needsSnapshot = true
      state.log.warn('source-history-lost', { at: state.records.at })
      return error
    }
    if (this.sourceLostAt === undefined) {
      this.sourceLostAt = state.clock.monotonic()
      state.log.warn('source-lost', { kind: error.kind, detail: error.message, at: state.records.at })
    }
    return error
  }

  private succeeded (): void {
    const { state, metrics } = this.options
    metrics.sourceCalls.inc({ result: 'ok' })
    if (this.sourceLostAt === undefined) return
    const lostMilliseconds = Math.round(state.clock.monotonic() - this.sourceLostAt)
    this.sourceLostAt = undefined
    if (lostMilliseconds >= recordExpiryOutageMilliseconds) state.records.startLapseGrace()
    state.log.info('source-regained', { lostMilliseconds, at: state.records.at })
  }
}
