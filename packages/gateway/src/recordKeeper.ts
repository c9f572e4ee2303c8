/**
 * Polls the source of the published records for the gateway process: a snapshot
 * first, then the changes. Each call has a cost, so that polls are spaced out,
 * at a fraction of the tightest bound.
 */

import { changeWaitMilliseconds, lapsingOutageMilliseconds, lookShare, sourceRetryMilliseconds } from './constants.js'
import { SourceErrorKind } from './errors.js'
import type { SourceError } from './errors.js'
import type { GatewayMetrics } from './gatewayMetrics.js'
import type { ServingState } from './servingState.js'
import type { RecordSource } from './types.js'

export interface RecordKeeperOptions {
  readonly state: ServingState
  readonly source: RecordSource
  readonly metrics: GatewayMetrics
  readonly onChange: () => void
}

export class RecordKeeper {
  private needsSnapshot = true
  private sourceLostAt: number | undefined
  private isStopped = false
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly options: RecordKeeperOptions) {}

  /** Whether the last call to the source failed. */
  get isLost (): boolean {
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
    const pauseMilliseconds = failure === undefined ? this.pollIntervalMilliseconds : failure.kind === SourceErrorKind.Forgotten ? 0 : sourceRetryMilliseconds
    this.timer = setTimeout(() => this.start(), pauseMilliseconds)
  }

  private get pollIntervalMilliseconds (): number {
    const { configurationMilliseconds, leavingMilliseconds } = this.options.state.settings.bounds
    return Math.min(configurationMilliseconds, leavingMilliseconds) * lookShare
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
    const read = await source.changes(state.records.at, changeWaitMilliseconds)
    if (read.isErr) return this.failed(read.error)
    this.succeeded()
    if (state.records.applyChanges(read.value.changes, read.value.at)) this.options.onChange()
    return undefined
  }

  private failed (error: SourceError): SourceError {
    const { state, metrics } = this.options
    metrics.sourceCalls.inc({ result: error.kind })
    if (error.kind === SourceErrorKind.Forgotten) {
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
    if (lostMilliseconds >= lapsingOutageMilliseconds) state.records.startLapseGrace()
    state.log.info('source-regained', { lostMilliseconds, at: state.records.at })
  }
}
