/**
 * Interfaces that a deployment's adapter implements for the gateway process,
 * and the settings of one such process.
 */

import type { FailureDomainId, Refusal, RegionId, UpstreamId, VmId } from '@cuminvale/common'
import type { AdmittedRequest, AnnouncedUpstream, AttemptId, PublishedRecord, RecordChange, ReportedLoad, RequestHead, ServingDocument } from '@cuminvale/serving'
import type { IncomingMessage } from 'node:http'
import type { Result } from 'true-myth'
import type { SourceError } from './errors.js'

/** Service bounds that the users set for their deployment. */
export interface ServingBounds {
  /** Time within which a published configuration must be in force on every VM. */
  readonly configurationApplyMilliseconds: number
  /** Time after which no request may be sent to an upstream that has announced that it leaves. */
  readonly upstreamLeavingMilliseconds: number
  /** Time from the stop signal until the process must have exited. */
  readonly leavingGraceMilliseconds: number
  /** Repeated sends allowed for each request. */
  readonly retryRatio: number
  readonly retryWindowSeconds: number
  /** Repeated sends allowed beyond the ratio in one window, over all VMs. */
  readonly retryMargin: number
  /** Factor on the request rate that a service states for a cold upstream. */
  readonly coldOverage: number
  /** Requests per second that a cold upstream may receive beyond that rate. */
  readonly coldMargin: number
}

export interface GatewaySettings {
  readonly vm: VmId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly host: string
  readonly callerPort: number
  readonly linkPort: number
  /** Processor time that the VM may use, in seconds of one core per second. */
  readonly processorCapacity: number
  /** Memory that the VM may use, in bytes; undefined if the settings name none. */
  readonly memoryBytes?: number | undefined
  /** Sockets that the process may have open; undefined if the settings name none. */
  readonly sockets?: number | undefined
  /** Link addresses of VMs to contact at the start; they may be down. */
  readonly seeds: readonly string[]
  readonly domainRegions: ReadonlyMap<FailureDomainId, RegionId>
  readonly bounds: ServingBounds
  /** Whether requests are admitted by rank, team and time left while capacity is short (docs/design/admission.md); on if undefined. */
  readonly hasAdmissionControl?: boolean
  /** Whether forwards keep to shares of the room that regions report (docs/design/region-shares.md); on if undefined. */
  readonly hasRegionShares?: boolean
}

export interface AnswerHead {
  readonly status: number
  /** Attempt id that the answer names. */
  readonly attempt: AttemptId | undefined
  /** Whether the answer carries the header by which the upstream proves that it wrote it. */
  readonly isSealed: boolean
  /** Whether the upstream states that it has not run the request. */
  readonly isDeclined: boolean
  /** Whether callers take the status as a promise that the request has not run. */
  readonly promisesNotRun: boolean
  readonly load: ReportedLoad | undefined
  /** Whether the upstream says that it leaves. */
  readonly isLeaving: boolean
  /** Time for which the upstream wants no request of this VM; 0 if it didn't say so. */
  readonly pauseMilliseconds: number
  /** Requests a second that the upstream takes from all VMs together; null if it named no limit, undefined if what it named can't be read. */
  readonly limitPerSecond: number | null | undefined
  /** Requests a second beyond which a brittle upstream falls over if it has to turn them away; null if it isn't brittle, undefined if what it said can't be read. */
  readonly brittleRejections: number | null | undefined
  /** Headers to pass on, as alternating names and values. */
  readonly headers: readonly string[]
}

/** What an upstream says of itself in its answer to an inspection. */
export interface UpstreamHealth {
  readonly upstream: UpstreamId
  /** Milliseconds for which it stays cold; 0 if it is warm. */
  readonly coldMilliseconds: number
}

export interface UpstreamHeaderOptions {
  readonly request: AdmittedRequest
  readonly upstream: UpstreamId
  readonly remainingMilliseconds: number
  /** Id of the last event that the caller has, if a stream is resumed. */
  readonly resumeAfter: string | undefined
}

/** Translates between the users' HTTP conventions and the gateway's types. */
export interface RequestCodec {
  decodeRequest (request: IncomingMessage): RequestHead
  upstreamHeaders (options: UpstreamHeaderOptions): string[]
  decodeAnswer (status: number, headers: Readonly<Record<string, string | string[] | undefined>>): AnswerHead
  /** Undefined if the answer isn't that of an upstream to an inspection, or can't be read. */
  decodeHealth (status: number, headers: Readonly<Record<string, string | string[] | undefined>>): UpstreamHealth | undefined
  statusOf (refusal: Refusal): number
}

export interface RecordSnapshot {
  readonly records: readonly PublishedRecord[]
  /** Position up to which the records are complete. */
  readonly at: number
  /** Items of the source that name no record, and were left out. */
  readonly skipped?: number
}

export interface RecordChanges {
  readonly changes: readonly RecordChange[]
  /** Position up to which the changes are complete. */
  readonly at: number
  /** Changes that name no record, and were left out. */
  readonly skipped?: number
}

/** Reads the published records. */
export interface RecordSource {
  snapshot (): Promise<Result<RecordSnapshot, SourceError>>
  /** Long poll for changes after a position; resolves with an empty list when the wait expires. */
  changes (after: number, waitMilliseconds: number): Promise<Result<RecordChanges, SourceError>>
  /** The changes after a position up to a moment after the call; may be called while another call waits. */
  currentChanges (after: number): Promise<Result<RecordChanges, SourceError>>
  close (): void
}

/** Decoded contents of the published records. */
export interface PublishedView {
  readonly configuration: ServingDocument | undefined
  readonly upstreams: readonly AnnouncedUpstream[]
  readonly evacuated: ReadonlySet<FailureDomainId>
  /** Records that could not be decoded, with the reason. */
  readonly faults: ReadonlyArray<{ readonly key: string, readonly detail: string }>
}

export interface RecordDecoder {
  decode (records: Iterable<PublishedRecord>): PublishedView
  /** What a record publishes by itself, whatever was decoded before. */
  decodeOne (record: PublishedRecord): Partial<Pick<PublishedView, 'configuration'>> & { readonly upstream?: AnnouncedUpstream | undefined }
  /** Whether the record belongs to an upstream, so that it can expire while the store is unavailable. */
  mayLapse (key: string): boolean
  /** Whether a value of a record is an earlier one than that which is known. */
  isOlder (key: string, value: string, known: string): boolean
}
