/**
 * Spreads the published records over the links between VMs, so that only a few
 * VMs of a region call their source. Each VM tells how far and until when it
 * knows the records. From that, each VM judges how old its own knowledge is, and
 * asks another VM, or the source, for what it lacks.
 */

import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { packMessage } from './linkMessages.js'
import { recordRequestIntervalMilliseconds } from './constants.js'
import type { PublishedRecords, RecordChange } from '@cuminvale/serving'
import type { Clock } from '@cuminvale/common'
import type { CompressedMessage, RecordChangesMessage, RecordKnowledge, RecordsMessage } from './linkMessages.js'

export interface RecordFeedOptions {
  readonly clock: Clock
  readonly records: PublishedRecords
  /** Whether this VM asks others for records that it lacks, because it is part of a feed or because its source fails. */
  readonly takesRecords: () => boolean
  /** Called after the records of another VM were applied. */
  readonly onRecordsAdopted: () => void
}

/** Messages longer than this are compressed; shorter ones cost more processor time than bytes. */
const compressionThresholdBytes = 2_048
const fastestCompressionLevel = 1

export class RecordFeed {
  /** Monotonic time at which the records were last known to be complete. */
  private confirmedAt = -Infinity
  private requestedAt = -Infinity

  constructor (private readonly options: RecordFeedOptions) {}

  get knowledge (): RecordKnowledge {
    return { at: this.options.records.at, recordAge: Math.round(this.ageMilliseconds) }
  }

  /** Milliseconds since the records were last known to be complete. */
  get ageMilliseconds (): number {
    return this.options.clock.monotonic() - this.confirmedAt
  }

  /** Records that the source has just answered up to its latest revision. */
  confirm (): void {
    this.confirmedAt = this.options.clock.monotonic()
  }

  /** Applies what another VM tells of its knowledge; requests the records that it knows and this VM lacks. */
  handleKnowledge ({ at, recordAge }: RecordKnowledge, send: (message: Buffer) => void): void {
    const { clock, records, takesRecords } = this.options
    const now = clock.monotonic()
    if (at <= records.at) {
      this.confirmedAt = Math.max(this.confirmedAt, now - recordAge)
      return
    }
    if (!takesRecords() || now - this.requestedAt < recordRequestIntervalMilliseconds) return
    this.requestedAt = now
    send(packMessage({ kind: 'records-request', after: records.at }))
  }

  /** Packs the answer to a request: the later changes if they are still known, otherwise all records. */
  answerRequest (after: number): Buffer {
    const { records } = this.options
    const changes = records.changesSince(after)
    if (changes !== undefined) return this.packChanges(changes, after)
    return compress(packMessage({
      kind: 'records',
      at: records.at,
      records: [...records.all].map(({ key, value, revision }) => [key, value, revision] as const),
      lapsing: records.lapsing
    }))
  }

  /** Packs the changes after a revision, up to the latest known one. */
  packChanges (changes: readonly RecordChange[], after: number): Buffer {
    const { records } = this.options
    return compress(packMessage({
      kind: 'record-changes', after, at: records.at, changes: changes.map(({ key, value, revision }) => [key, value ?? null, revision] as const), lapseGrace: records.lapseGraceMilliseconds
    }))
  }

  /** Applies changes from another VM. Returns false if they are known, or if earlier ones are missing. */
  applyChanges ({ after, at, changes, lapseGrace }: RecordChangesMessage): boolean {
    const { records, onRecordsAdopted } = this.options
    if (after > records.at || at <= records.at) return false
    records.extendLapseGrace(lapseGrace)
    if (records.applyChanges(changes.map(([key, value, revision]) => ({ key, value: value ?? undefined, revision })), at)) onRecordsAdopted()
    return true
  }

  applySnapshot ({ at, records: snapshot, lapsing }: RecordsMessage): void {
    const { records, onRecordsAdopted } = this.options
    if (at <= records.at) return
    records.applySnapshot(snapshot.map(([key, value, revision]) => ({ key, value, revision })), at)
    records.addLapsing(lapsing)
    onRecordsAdopted()
  }
}

/** A message for a link, compressed if it is long. */
export const compress = (message: Buffer): Buffer => {
  if (message.length < compressionThresholdBytes) return message
  return packMessage({ kind: 'compressed', deflated: deflateRawSync(message, { level: fastestCompressionLevel }) })
}

export const decompress = ({ deflated }: CompressedMessage, maximumBytes: number): Buffer => inflateRawSync(deflated, { maxOutputLength: maximumBytes })
