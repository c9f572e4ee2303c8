/**
 * Sets upstreams aside that keep failing. An ejection lasts longer each time,
 * and never takes more than a share of the upstreams, so that a fault common
 * to all of them does not leave none.
 */

import type { Clock, UpstreamId } from '@cuminvale/common'

export interface EjectionRecord {
  failures: number
  ejections: number
  ejectedUntil: number
}

export interface OutlierEjectionOptions {
  readonly clock: Clock
  /** Upstreams in the region, ejected or not. */
  readonly upstreamCount: () => number
}

const failuresBeforeEjection = 3
const firstEjectionMilliseconds = 2_000
const longestEjectionMilliseconds = 60_000
const ejectableShare = 0.5

export class OutlierEjection {
  private readonly records = new Map<UpstreamId, EjectionRecord>()

  constructor (private readonly options: OutlierEjectionOptions) {}

  isEjected (upstream: UpstreamId): boolean {
    const record = this.records.get(upstream)
    return record !== undefined && record.ejectedUntil > this.options.clock.monotonic()
  }

  /** When the upstream came back from its last ejection; undefined where it never left. */
  returnedAt (upstream: UpstreamId): number | undefined {
    const record = this.records.get(upstream)
    return record === undefined || record.ejections === 0 ? undefined : record.ejectedUntil
  }

  succeeded (upstream: UpstreamId): void {
    const record = this.records.get(upstream)
    if (record === undefined) return
    record.failures = 0
    if (!this.isEjected(upstream)) record.ejections = Math.max(0, record.ejections - 1)
    if (record.ejections === 0) this.records.delete(upstream)
  }

  failed (upstream: UpstreamId): void {
    const record = this.recordOf(upstream)
    record.failures += 1
    if (record.failures < failuresBeforeEjection || this.isEjected(upstream) || !this.mayEjectAnother()) return
    this.eject(record)
  }

  forget (upstream: UpstreamId): void {
    this.records.delete(upstream)
  }

  private eject (record: EjectionRecord): void {
    const span = Math.min(longestEjectionMilliseconds, firstEjectionMilliseconds * 2 ** record.ejections)
    record.failures = 0
    record.ejections += 1
    record.ejectedUntil = this.options.clock.monotonic() + span
  }

  private mayEjectAnother (): boolean {
    const ejected = [...this.records.keys()].filter((upstream) => this.isEjected(upstream)).length
    return ejected + 1 <= this.options.upstreamCount() * ejectableShare
  }

  private recordOf (upstream: UpstreamId): EjectionRecord {
    const existing = this.records.get(upstream)
    if (existing !== undefined) return existing
    const record: EjectionRecord = { failures: 0, ejections: 0, ejectedUntil: 0 }
    this.records.set(upstream, record)
    return record
  }
}
