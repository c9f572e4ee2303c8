/**
 * What a deployment's adapter provides to the gateway, and the settings of
 * one gateway process.
 */

import type { FailureDomainId, Refusal, RegionId, UpstreamId, VmId } from '@cuminvale/common'
import type { AdmittedRequest, AnnouncedUpstream, AttemptId, PublishedRecord, RecordChange, ReportedLoad, RequestHead, ServingDocument } from '@cuminvale/serving'
import type { IncomingMessage } from 'node:http'
import type { Result } from 'true-myth'
import type { SourceError } from './errors.js'

/** Bounds that the users set for their deployment. */
export interface ServingBounds {
  /** Time in which a new configuration is to be in force. */
  readonly configurationMilliseconds: number
  /** Time in which nothing more may be sent to an upstream that leaves. */
  readonly leavingMilliseconds: number
  /** Time between a request to stop and the end of the process. */
  readonly graceMilliseconds: number
  readonly retryRatio: number
  readonly retryWindowSeconds: number
  readonly retryMargin: number
  readonly coldOverage: number
  readonly coldMargin: number
}

export interface GatewaySettings {
  readonly vm: VmId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly host: string
  readonly callerPort: number
  readonly linkPort: number
  /** Link addresses of VMs to ask first; they may be down. */
  readonly seeds: readonly string[]
  readonly domainRegions: ReadonlyMap<FailureDomainId, RegionId>
  readonly bounds: ServingBounds
}

export interface AnswerHead {
  readonly status: number
  /** The attempt that the upstream says it answers. */
  readonly attempt: AttemptId | undefined
  /** Whether it carries the upstream's mark of authorship. */
  readonly isSealed: boolean
  /** Whether the upstream states that it did not run the request. */
  readonly isNotRun: boolean
  readonly load: ReportedLoad | undefined
  /** Headers to pass on, name and value by turns. */
  readonly headers: readonly string[]
}

export interface UpstreamHeaderOptions {
  readonly request: AdmittedRequest
  readonly upstream: UpstreamId
  readonly remainingMilliseconds: number
  /** Id of the last event that the caller has, where a stream goes on. */
  readonly resumeAfter: string | undefined
}

/** Translates between the users' HTTP conventions and the gateway's types. */
export interface RequestCodec {
  decodeRequest (request: IncomingMessage): RequestHead
  upstreamHeaders (options: UpstreamHeaderOptions): string[]
  decodeAnswer (status: number, headers: Readonly<Record<string, string | string[] | undefined>>): AnswerHead
  statusOf (refusal: Refusal): number
}

export interface RecordSnapshot {
  readonly records: readonly PublishedRecord[]
  readonly at: number
}

export interface RecordChanges {
  readonly changes: readonly RecordChange[]
  readonly at: number
}

/** Reads the published records. */
export interface RecordSource {
  snapshot (): Promise<Result<RecordSnapshot, SourceError>>
  /** Waits for changes after a revision; answers with none once the wait is over. */
  changes (after: number, waitMilliseconds: number): Promise<Result<RecordChanges, SourceError>>
  close (): void
}

/** What the published records say. */
export interface PublishedView {
  readonly configuration: ServingDocument | undefined
  readonly upstreams: readonly AnnouncedUpstream[]
  readonly evacuated: ReadonlySet<FailureDomainId>
  /** Records that could not be read, with the reason. */
  readonly faults: ReadonlyArray<{ readonly key: string, readonly detail: string }>
}

export interface RecordDecoder {
  decode (records: Iterable<PublishedRecord>): PublishedView
  /** Whether a record is an upstream's, which can lapse while the store is away. */
  mayLapse (key: string): boolean
}
