/**
 * The published records that this VM knows, with the revision up to which it
 * knows them. Knowledge only moves forward, whether it comes from the store
 * or from another VM. Records of upstreams can lapse while the store is away;
 * such a removal takes effect only after the upstream had time to come back.
 */

import type { Clock } from '@cuminvale/common'

export interface PublishedRecord {
  readonly key: string
  readonly value: string
  readonly revision: number
}

export interface RecordChange {
  readonly key: string
  readonly revision: number
  /** Undefined where the record was removed. */
  readonly value: string | undefined
}

export interface PublishedRecordsOptions {
  readonly clock: Clock
  /** Whether the record can lapse by itself while the store is away. */
  readonly mayLapse: (key: string) => boolean
}

/** Lapsed records are back within about two seconds of the store's return; the rest is the delay of a watch. */
const lapseGraceMilliseconds = 2_500

export class PublishedRecords {
  private readonly records = new Map<string, PublishedRecord>()
  /** Removals that are put off, by the time at which they take effect. */
  private readonly lapsing = new Map<string, number>()
  private graceUntil = 0
  private revision = 0

  constructor (private readonly options: PublishedRecordsOptions) {}

  /** Revision up to which the records are complete; 0 before the first snapshot. */
  get at (): number {
    return this.revision
  }

  get all (): Iterable<PublishedRecord> {
    return this.records.values()
  }

  /** Starts the time in which records that lapsed may come back. */
  storeReturned (): void {
    this.graceUntil = this.options.clock.monotonic() + lapseGraceMilliseconds
  }

  /** Applies what changed after the known revision; true where anything did. */
  apply (changes: readonly RecordChange[], at: number): boolean {
    let changed = false
    for (const change of changes) {
      if (change.revision <= this.revision) continue
      changed = this.applyOne(change) || changed
    }
    this.revision = Math.max(this.revision, at)
    return changed
  }

  /** Adopts a full snapshot unless more is known already. */
  adopt (snapshot: readonly PublishedRecord[], at: number): boolean {
    if (at < this.revision) return false
    let changed = false
    const listed = new Set<string>()
    for (const record of snapshot) {
      listed.add(record.key)
      if ((this.records.get(record.key)?.revision ?? 0) >= record.revision && !this.lapsing.has(record.key)) continue
      changed = this.applyOne(record) || changed
    }
    for (const { key, revision } of [...this.records.values()]) {
      if (listed.has(key) || revision > at) continue
      changed = this.remove(key) || changed
    }
    this.revision = at
    return changed
  }

  /** Carries out the removals whose grace has run out. */
  expire (): boolean {
    const now = this.options.clock.monotonic()
    let changed = false
    for (const [key, until] of this.lapsing) {
      if (until > now) continue
      this.lapsing.delete(key)
      changed = this.records.delete(key) || changed
    }
    return changed
  }

  private applyOne ({ key, value, revision }: RecordChange): boolean {
    if (value === undefined) return this.remove(key)
    this.lapsing.delete(key)
    const held = this.records.get(key)
    this.records.set(key, { key, value, revision })
    return held?.value !== value
  }

  private remove (key: string): boolean {
    if (!this.records.has(key)) return false
    const now = this.options.clock.monotonic()
    if (now < this.graceUntil && this.options.mayLapse(key)) {
      if (!this.lapsing.has(key)) this.lapsing.set(key, this.graceUntil)
      return false
    }
    this.lapsing.delete(key)
    return this.records.delete(key)
  }
}
