/**
 * Ejects upstreams that keep failing. Each further ejection of an upstream
 * lasts longer. Only a share of the upstreams is ejected at a time, so that a
 * fault common to all of them leaves some in use.
 */

import type { Clock, UpstreamId } from '@cuminvale/common'

export interface EjectionRecord {
  failures: number
  ejections: number
  ejectedUntil: number
}

export interface OutlierEjectionOptions {
  readonly clock: Clock
  /** Number of upstreams, including ejected ones; only a share of them may be ejected. */
  readonly upstreamCount: () => number
}

const consecutiveFailuresBeforeEjection = 3
const firstEjectionMilliseconds = 2_000
const maximumEjectionMilliseconds = 60_000
const maximumEjectedShare = 0.5

export class OutlierEjection {
  private readonly records = new Map<UpstreamId, EjectionRecord>()

  constructor (private readonly options: OutlierEjectionOptions) {}

  isEjected (upstream: UpstreamId): boolean {
    const record = this.records.get(upstream)
    return record !== undefined && record.ejectedUntil > this.options.clock.monotonic()
  }

  /** Monotonic time at which the upstream's last ejection ends; undefined if no ejection is on record. */
  ejectionEndsAt (upstream: UpstreamId): number | undefined {
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
    const record = this.findOrAddRecord(upstream)
    record.failures += 1
    if (record.failures < consecutiveFailuresBeforeEjection || this.isEjected(upstream) || !this.mayEjectAnother()) return
    this.eject(record)
  }

  forget (upstream: UpstreamId): void {
    this.records.delete(upstream)
  }

  private eject (record: EjectionRecord): void {
    const durationMilliseconds = Math.min(maximumEjectionMilliseconds, firstEjectionMilliseconds * 2 ** record.ejections)
    record.failures = 0
    record.ejections += 1
    record.ejectedUntil = this.options.clock.monotonic() + durationMilliseconds
  }

  private mayEjectAnother (): boolean {
    const ejected = [...this.records.keys()].filter((upstream) => this.isEjected(upstream)).length
    return ejected + 1 <= this.options.upstreamCount() * maximumEjectedShare
  }

  private findOrAddRecord (upstream: UpstreamId): EjectionRecord {
    const existing = this.records.get(upstream)
    if (existing !== undefined) return existing
    const record: EjectionRecord = { failures: 0, ejections: 0, ejectedUntil: 0 }
    this.records.set(upstream, record)
    return record
  }
}
