/**
 * The published records that this VM knows, and the position up to which it
 * knows them. The position never decreases, whether records come from the store
 * or from another VM. Records of upstreams can lapse while the store is
 * unavailable. Such a removal takes effect only after the upstream has had time
 * to publish its record again. After the store has come back from an older copy,
 * what was known before holds for a time, until it is written again.
 */

import { eraOf } from './recordPosition.js'
import type { Clock } from '@cuminvale/common'

export interface PublishedRecord {
  readonly key: string
  readonly value: string
  /** Position of the last change. */
  readonly revision: number
}

export interface RecordChange {
  readonly key: string
  /** Position of the change. */
  readonly revision: number
  /** Undefined if the record was removed. */
  readonly value: string | undefined
}

export interface PublishedRecordsOptions {
  readonly clock: Clock
  /** Whether the record can lapse without being deleted while the store is unavailable. */
  readonly mayLapse: (key: string) => boolean
  /** Whether a value is an earlier one than that which is known. */
  readonly isOlder: (key: string, value: string, known: string) => boolean
}

/** Lapsed records are published again within about two seconds of the store's return; the rest is the delay of a watch. */
const lapseGraceMilliseconds = 2_500
/** Removals that are remembered for VMs that know an earlier revision. */
const maximumRemovalCount = 512
/** Time after the store has returned in a new era in which the operator writes again what was lost. */
const restoreMilliseconds = 10_000

export class PublishedRecords {
  private readonly records = new Map<string, PublishedRecord>()
  /** Keys of delayed removals, with the monotonic time at which each takes effect. */
  private readonly pendingRemovals = new Map<string, number>()
  private graceUntil = 0
  private revision = 0
  /** Latest removals, oldest first. */
  private removals: Array<{ readonly key: string, readonly revision: number }> = []
  /** Revision after which all removals are in that list. */
  private removalsKnownSince = 0
  /** Keys that were removed last, oldest first. An older copy of the store may hold them. */
  private readonly removedKeys = new Set<string>()
  /** Positions of records that an older copy holds although they had been removed; they count only once they are written again. */
  private readonly restoredRemovals = new Map<string, number>()
  private restoredUntil = -Infinity

  constructor (private readonly options: PublishedRecordsOptions) {}

  /** Position up to which the records are complete; 0 before the first snapshot. */
  get at (): number {
    return this.revision
  }

  /** Whether the store has come back in a new era so recently that it may lack records which it had acknowledged. */
  get isRestoring (): boolean {
    return this.options.clock.monotonic() < this.restoredUntil
  }

  get all (): Iterable<PublishedRecord> {
    return this.records.values()
  }

  /** Starts the grace period in which lapsed records may be published again, after the store has returned. */
  startLapseGrace (): void {
    this.graceUntil = this.options.clock.monotonic() + lapseGraceMilliseconds
  }

  /** Milliseconds of that grace period that are left. */
  get lapseGraceMilliseconds (): number {
    return Math.max(0, this.graceUntil - this.options.clock.monotonic())
  }

  /** Applies the grace period of another VM, whose changes this VM takes. */
  extendLapseGrace (milliseconds: number): void {
    this.graceUntil = Math.max(this.graceUntil, this.options.clock.monotonic() + milliseconds)
  }

  /** Records whose removal is delayed, with the milliseconds until it takes effect. */
  get lapsing (): ReadonlyArray<readonly [string, number]> {
    const now = this.options.clock.monotonic()
    return [...this.pendingRemovals].map(([key, removeAt]) => [key, Math.max(0, removeAt - now)] as const)
  }

  /** Delays the removal of records as the VM does whose snapshot was applied. */
  addLapsing (lapsing: ReadonlyArray<readonly [string, number]>): void {
    const now = this.options.clock.monotonic()
    for (const [key, milliseconds] of lapsing) {
      if (this.records.has(key)) this.pendingRemovals.set(key, now + milliseconds)
    }
  }

  /** The changes after a revision; undefined if removals since then are no longer known. */
  changesSince (revision: number): readonly RecordChange[] | undefined {
    if (revision < this.removalsKnownSince || revision === 0) return undefined
    const changes: RecordChange[] = this.removals.filter((removal) => removal.revision > revision).map((removal) => ({ ...removal, value: undefined }))
    for (const record of this.records.values()) {
      if (record.revision > revision) changes.push(record)
    }
    return changes.sort((first, second) => first.revision - second.revision)
  }

  /** Applies the changes after the known revision; returns true if any record changed. */
  applyChanges (changes: readonly RecordChange[], at: number): boolean {
    let changed = false
    for (const change of changes) {
      if (change.revision <= this.revision) continue
      changed = this.applyOne(change) || changed
      if (change.value === undefined) this.rememberRemoval(change)
    }
    this.revision = Math.max(this.revision, at)
    return changed
  }

  /** Applies a full snapshot unless a later position is already known; returns true if any record changed. */
  applySnapshot (snapshot: readonly PublishedRecord[], at: number): boolean {
    if (at < this.revision) return false
    const isNewEra = this.revision > 0 && eraOf(at) > eraOf(this.revision)
    if (isNewEra) this.startEra(snapshot)
    let changed = false
    const listedKeys = new Set<string>()
    for (const record of snapshot) {
      listedKeys.add(record.key)
      if (this.restoredRemovals.get(record.key) === record.revision) continue
      if ((this.records.get(record.key)?.revision ?? 0) >= record.revision && !this.pendingRemovals.has(record.key)) continue
      changed = this.applyOne(record) || changed
    }
    for (const { key, revision } of [...this.records.values()]) {
      if (listedKeys.has(key) || revision > at) continue
      if (isNewEra) this.delayRemoval(key)
      else if (!this.pendingRemovals.has(key)) changed = this.remove(key) || changed
    }
    this.revision = at
    // A snapshot doesn't tell at which revisions the missing records were removed.
    this.removals = []
    this.removalsKnownSince = at
    return changed
  }

  /** Carries out delayed removals whose grace period has ended; returns true if any record was removed. */
  removeLapsed (): boolean {
    const now = this.options.clock.monotonic()
    let changed = false
    for (const [key, removeAt] of this.pendingRemovals) {
      if (removeAt > now) continue
      this.pendingRemovals.delete(key)
      changed = this.delete(key) || changed
    }
    return changed
  }

  /** Keeps what is known of the last era against an older copy of it. */
  private startEra (snapshot: readonly PublishedRecord[]): void {
    this.restoredUntil = this.options.clock.monotonic() + restoreMilliseconds
    this.restoredRemovals.clear()
    for (const { key, revision } of snapshot) {
      if (this.removedKeys.has(key) && !this.records.has(key)) this.restoredRemovals.set(key, revision)
    }
  }

  private delayRemoval (key: string): void {
    const graceMilliseconds = this.options.mayLapse(key) ? lapseGraceMilliseconds : restoreMilliseconds
    this.pendingRemovals.set(key, this.options.clock.monotonic() + graceMilliseconds)
  }

  private rememberRemoval ({ key, revision }: RecordChange): void {
    this.removals.push({ key, revision })
    if (this.removals.length <= maximumRemovalCount) return
    this.removalsKnownSince = this.removals.shift()?.revision ?? this.revision
  }

  private applyOne ({ key, value, revision }: RecordChange): boolean {
    if (value === undefined) return this.remove(key)
    this.pendingRemovals.delete(key)
    this.restoredRemovals.delete(key)
    this.removedKeys.delete(key)
    const existing = this.records.get(key)
    const isRestoring = this.options.clock.monotonic() < this.restoredUntil
    const keepsKnown = isRestoring && existing !== undefined && this.options.isOlder(key, value, existing.value)
    this.records.set(key, { key, value: keepsKnown ? existing.value : value, revision })
    return existing?.value !== value && !keepsKnown
  }

  private remove (key: string): boolean {
    if (!this.records.has(key)) return false
    const now = this.options.clock.monotonic()
    if (now < this.graceUntil && this.options.mayLapse(key)) {
      if (!this.pendingRemovals.has(key)) this.pendingRemovals.set(key, this.graceUntil)
      return false
    }
    this.pendingRemovals.delete(key)
    return this.delete(key)
  }

  private delete (key: string): boolean {
    this.removedKeys.delete(key)
    this.removedKeys.add(key)
    if (this.removedKeys.size > maximumRemovalCount) this.removedKeys.delete([...this.removedKeys][0] ?? '')
    return this.records.delete(key)
  }
}
