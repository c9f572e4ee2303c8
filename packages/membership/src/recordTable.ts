/**
 * The newest record of every VM. Only the VM itself raises the generation and
 * version of its record; other VMs may only suspect the version that they hold.
 */

import { assertInvariant } from '@cuminvale/common'
import { MemberState } from '@cuminvale/messages'
import type { Clock, VmId } from '@cuminvale/common'
import type { MemberRecord, PeerIdentity } from '@cuminvale/messages'
import { digestBucketCount, incarnationSettledMilliseconds, refutationTimeoutMilliseconds } from './constants.js'
import { hashText } from './hash.js'

interface RecordEntry {
  readonly record: MemberRecord
  readonly hash: number
  /** Start of the refutation timeout: when this VM stored the record, or the end of a later pause of this process. */
  refutationStartedAt: number
}

const stateRank = { [MemberState.Up]: 0, [MemberState.Suspected]: 1 } as const

/** Positive if the first record replaces the second. */
export const compareRecords = (first: MemberRecord, second: MemberRecord): number => {
  if (first.generation !== second.generation) return first.generation - second.generation
  if (first.incarnation !== second.incarnation) return first.incarnation < second.incarnation ? -1 : 1
  return first.version - second.version || stateRank[first.state] - stateRank[second.state]
}

const hashRecord = (record: MemberRecord): number =>
  hashText([record.vm, record.incarnation, record.generation, record.version, record.state].join(' '))

export class RecordTable {
  /** Records of the other VMs. */
  private readonly held = new Map<VmId, RecordEntry>()
  private ownRecord: MemberRecord
  /** Set by a pause: this incarnation may have been replaced meanwhile, so it no longer raises its generation. */
  private isSettled = false
  private replaced = false
  private readonly startedAt: number

  constructor (self: PeerIdentity, private readonly clock: Clock) {
    this.startedAt = clock.monotonic()
    this.ownRecord = {
      vm: self.vm,
      incarnation: self.incarnation,
      generation: Math.floor(clock.wall()),
      version: 0,
      state: MemberState.Up
    }
  }

  get own (): MemberRecord {
    return this.ownRecord
  }

  get isReplaced (): boolean {
    return this.replaced
  }

  find (vm: VmId): MemberRecord | undefined {
    return this.held.get(vm)?.record
  }

  /** Whether a VM has a record that is not suspected, or that is suspected and within the refutation timeout. */
  isPresumedUp (vm: VmId): boolean {
    const entry = this.held.get(vm)
    if (entry === undefined) return false
    if (entry.record.state === MemberState.Up) return true
    return this.clock.monotonic() - entry.refutationStartedAt < refutationTimeoutMilliseconds
  }

  /** Applies a received record. Returns the record to forward to other VMs, or undefined if nothing changed. */
  apply (record: MemberRecord): MemberRecord | undefined {
    if (record.vm === this.ownRecord.vm) return this.applyToSelf(record)
    const before = this.held.get(record.vm)?.record
    if (before !== undefined && compareRecords(record, before) <= 0) return undefined
    assertInvariant(before === undefined || record.generation >= before.generation, 'incarnation-never-back',
      () => `record of ${record.vm} goes back from generation ${before?.generation} to ${record.generation}`)
    this.held.set(record.vm, { record, hash: hashRecord(record), refutationStartedAt: this.clock.monotonic() })
    return record
  }

  /** Suspects the known version of a VM; returns undefined if it is unknown or already suspected. */
  suspect (vm: VmId): MemberRecord | undefined {
    const before = this.held.get(vm)?.record
    return before === undefined ? undefined : this.apply({ ...before, state: MemberState.Suspected })
  }

  /** After a pause: restarts the refutation timeouts, which ran on meanwhile, and marks this incarnation as settled. */
  resumeAfterPause (): void {
    this.isSettled = true
    for (const entry of this.held.values()) entry.refutationStartedAt = this.clock.monotonic()
  }

  /** Deletes the records of VMs for which the predicate is false. */
  retain (keeps: (vm: VmId) => boolean): void {
    for (const vm of this.held.keys()) {
      if (!keeps(vm)) this.held.delete(vm)
    }
  }

  /** One digest per bucket, over the records of the named VMs. */
  bucketDigests (vms: Iterable<VmId>): readonly number[] {
    const buckets = new Array<number>(digestBucketCount).fill(0)
    for (const vm of vms) {
      const bucket = bucketOf(vm)
      buckets[bucket] = ((buckets[bucket] ?? 0) ^ this.hashOf(vm)) >>> 0
    }
    return buckets
  }

  /** The records of the named VMs that fall into buckets whose digests differ. */
  differingRecords (vms: Iterable<VmId>, own: readonly number[], other: readonly number[]): readonly MemberRecord[] {
    const records: MemberRecord[] = []
    for (const vm of vms) {
      const bucket = bucketOf(vm)
      const record = vm === this.ownRecord.vm ? this.ownRecord : this.find(vm)
      if (record !== undefined && own[bucket] !== other[bucket]) records.push(record)
    }
    return records
  }

  private hashOf (vm: VmId): number {
    return vm === this.ownRecord.vm ? hashRecord(this.ownRecord) : this.held.get(vm)?.hash ?? 0
  }

  private applyToSelf (record: MemberRecord): MemberRecord | undefined {
    if (record.incarnation !== this.ownRecord.incarnation) return this.resolveIncarnationConflict(record)
    const isSuspicion = record.state === MemberState.Suspected && record.version >= this.ownRecord.version
    if (!isSuspicion || this.replaced) return undefined
    this.ownRecord = { ...this.ownRecord, version: record.version + 1 }
    return this.ownRecord
  }

  /** A new incarnation raises its generation above that of the other; a settled one has been replaced by it. */
  private resolveIncarnationConflict (record: MemberRecord): MemberRecord | undefined {
    if (record.generation < this.ownRecord.generation) return undefined
    const age = this.clock.monotonic() - this.startedAt
    if (this.isSettled || age > incarnationSettledMilliseconds) {
      this.replaced = true
      return undefined
    }
    this.ownRecord = { ...this.ownRecord, generation: record.generation + 1 }
    return this.ownRecord
  }
}

const bucketOf = (vm: VmId): number => hashText(vm) % digestBucketCount
