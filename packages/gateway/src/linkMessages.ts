/**
 * Messages on the links between gateway processes, encoded with msgpackr. Maps
 * are sent as lists of pairs. Field names are part of the protocol. A frame may
 * hold several messages.
 */

import { Packr, unpackMultiple } from 'msgpackr'
import type { FailureDomainId, IncarnationId, RegionId, TeamId, UpstreamId, VmId } from '@cuminvale/common'
import type { SuspicionMessage } from '@cuminvale/messages'
import type { HandedHistory, PackedPerformance, PeerIdentity, PromptPartId, ServiceName, SoftwareVersion } from '@cuminvale/serving'

/** A VM, and whether it takes new requests. */
export type PackedMember = readonly [PeerIdentity, boolean]

/** A region and the VMs that are heard in it. */
export type RegionMembers = readonly [RegionId, readonly PackedMember[]]

/** A failure domain and the VMs that are heard in it. */
export type DomainMembers = readonly [FailureDomainId, readonly PackedMember[]]

export interface HelloMessage {
  readonly kind: 'hello'
  readonly identity: PeerIdentity
  /** Version of the sender's message format; absent from builds of the first one. */
  readonly format?: number
  /** Revision up to which the sender knows the published records. */
  readonly at: number
  /** VMs that the sender knows and has not yet named on this link. */
  readonly known: readonly PeerIdentity[]
  /** Whether the sender asks for the VMs that the receiver knows and for each that becomes known. */
  readonly isAsking: boolean
  /** The other regions that the sender hears; only at the start of a link. */
  readonly regions?: readonly RegionMembers[]
  /** Failure domains of the sender's region that it hears through hubs; only at the start of a link. */
  readonly domains?: readonly DomainMembers[]
  /** Long prompt parts that upstreams of the sender's region hold; sent only by speakers and hubs, at the start of a link. */
  readonly parts?: ReadonlyArray<readonly [UpstreamId, readonly PromptPartId[]]>
  /** Long prompt parts that other regions hold. */
  readonly regionParts?: ReadonlyArray<readonly [RegionId, readonly PromptPartId[]]>
  /** Learned unit times of the upstreams of the sender's region, by service; only at the start of a link. */
  readonly performance?: readonly PackedPerformance[]
}

/** Sent by a speaker to the speakers of other regions, which relay it within theirs. */
export interface RegionReport {
  readonly kind: 'region-report'
  readonly region: RegionId
  readonly vm: VmId
  readonly incarnation: IncarnationId
  readonly sequence: number
  /** Revision up to which the speaker knows the published records. */
  readonly at: number
  /** Spending of the region by team, since the speaker knows its VMs. */
  readonly spent: ReadonlyArray<readonly [TeamId, number]>
  /** By service: usable upstreams, wait in milliseconds, free slots. */
  readonly forecasts: ReadonlyArray<readonly [ServiceName, number, number, number]>
  /** By service: milliseconds of work per second that the region can take on for others. Absent from VMs of an earlier version. */
  readonly room?: ReadonlyArray<readonly [ServiceName, number]>
  /** By service: milliseconds of work per second that the region can't serve in time; services without need are left out. */
  readonly need?: ReadonlyArray<readonly [ServiceName, number]>
  /** Prompt parts sent to upstreams of the region since the last report. */
  readonly parts: readonly PromptPartId[]
  /** VMs of the region that are heard; omitted if the last list still holds. */
  readonly members?: readonly PackedMember[]
  /** VMs that announced that they stop. */
  readonly departed: readonly PeerIdentity[]
}

/** What the sender knows of the published records. */
export interface RecordKnowledge {
  /** Revision up to which the sender knows them. */
  readonly at: number
  /** Milliseconds since the sender knew that there was no later revision. */
  readonly recordAge: number
}

/** Sent by each VM to the other VMs of a small region, or to the hubs of its failure domain in a large one. */
export interface HeartbeatMessage extends RecordKnowledge {
  readonly kind: 'heartbeat'
  readonly sequence: number
  /** Milliseconds of the sender's steady clock. */
  readonly steadyMilliseconds: number
  readonly isReady: boolean
  /** The sender's spending by team since its start; most messages omit the sums that have not changed. */
  readonly spent: ReadonlyArray<readonly [TeamId, number]>
  /** Whether `spent` names all teams. */
  readonly isSpentFull: boolean
  /** Upstreams of the region that the sender doesn't reach, or that failed often there. */
  readonly unreached?: readonly UpstreamId[]
  /** By upstream: the sender's running requests and unread prompt tokens. */
  readonly loads: ReadonlyArray<readonly [UpstreamId, number, number]>
  /** Prompt parts that the sender sent to upstreams since its last heartbeat. */
  readonly parts: ReadonlyArray<readonly [UpstreamId, readonly PromptPartId[]]>
  /** Reports of other regions that the sender relays as a speaker. */
  readonly reports: readonly RegionReport[]
}

/** Sums of a failure domain, made by one of its hubs. */
export interface DomainDigest {
  readonly domain: FailureDomainId
  readonly vm: VmId
  readonly incarnation: IncarnationId
  readonly processorCapacity: number
  readonly sequence: number
  /** Spending of the domain by team, since the hub first heard each VM. */
  readonly spent: ReadonlyArray<readonly [TeamId, number]>
  /** By upstream: running requests and unread prompt tokens of the domain's VMs. */
  readonly loads: ReadonlyArray<readonly [UpstreamId, number, number]>
  /** Prompt parts sent to upstreams since the last digest. */
  readonly parts: ReadonlyArray<readonly [UpstreamId, readonly PromptPartId[]]>
  /** VMs of the domain that are heard; omitted if the last list still holds. */
  readonly members?: readonly PackedMember[]
  /** VMs that announced that they stop. */
  readonly departed: readonly PeerIdentity[]
}

/** Sent by a hub to the VMs that report to it, and to the hubs of the other failure domains. */
export interface DigestMessage extends RecordKnowledge {
  readonly kind: 'digest'
  /** Milliseconds of the sender's steady clock. */
  readonly steadyMilliseconds: number
  readonly own: DomainDigest
  /** Digests of other failure domains; empty in a message to another hub. */
  readonly relayed: readonly DomainDigest[]
  readonly reports: readonly RegionReport[]
}

/** Precedes a digest in its frame: the receiver's last heartbeat that the digest's own sums include. */
export interface AcknowledgementMessage {
  readonly kind: 'acknowledgement'
  readonly sequence: number
}

/** The sender stops; it spends nothing and sends no message after this one. */
export interface LeavingMessage {
  readonly kind: 'leaving'
  readonly identity: PeerIdentity
}

/** An upstream said in an answer that it leaves. */
export interface UpstreamLeavingMessage {
  readonly kind: 'upstream-leaving'
  readonly upstream: UpstreamId
  /** The announced start of the upstream; one that has started since doesn't leave. */
  readonly startedAt: number | undefined
}

/** An upstream said that it is cold when the sender inspected it. */
export interface UpstreamColdMessage {
  readonly kind: 'upstream-cold'
  readonly upstream: UpstreamId
  /** The announced start of the upstream as the sender knows it. */
  readonly startedAt: number | undefined
  /** Milliseconds for which it stays cold. */
  readonly coldMilliseconds: number
}

/** An upstream, its announced start, the limit that it named last (null for none), the age of that answer in milliseconds, and the sender's sends while it named limits. */
export type PackedLimit = readonly [UpstreamId, number | undefined, number | null, number, number]

/** Rates that upstreams named, or that they name no longer. */
export interface UpstreamLimitsMessage {
  readonly kind: 'upstream-limits'
  readonly vm: VmId
  readonly incarnation: IncarnationId
  readonly limits: readonly PackedLimit[]
}

/** Asks for the published records that the receiver knows. */
export interface RecordsRequestMessage {
  readonly kind: 'records-request'
  /** Revision up to which the sender knows them; 0 if it knows none. */
  readonly after: number
}

/** Key, value and revision of a record; the value is null if the record was removed. */
export type PackedChange = readonly [string, string | null, number]

export interface RecordChangesMessage {
  readonly kind: 'record-changes'
  /** Revision that the changes follow. */
  readonly after: number
  /** Revision up to which the changes are complete. */
  readonly at: number
  readonly changes: readonly PackedChange[]
  /** Milliseconds for which removals of records that may have lapsed must still be delayed. */
  readonly lapseGrace: number
}

export interface RecordsMessage {
  readonly kind: 'records'
  /** Revision up to which the records are complete. */
  readonly at: number
  /** Key, value and revision of each record. */
  readonly records: ReadonlyArray<readonly [string, string, number]>
  /** Records whose removal is delayed, with the milliseconds until it takes effect. */
  readonly lapsing: ReadonlyArray<readonly [string, number]>
}

/** Asks a VM that reads the source of the records to confirm them up to now. */
export interface ConfirmationRequestMessage {
  readonly kind: 'confirmation-request'
  readonly request: number
  /** Revision up to which the sender knows the records. */
  readonly after: number
}

export interface ConfirmationMessage {
  readonly kind: 'confirmation'
  readonly request: number
  /** Revision up to which the records are complete at a moment after the request; absent if that can't be confirmed. */
  readonly at?: number
}

/** Another message, packed and compressed, since a configuration is long and goes to many VMs. */
export interface CompressedMessage {
  readonly kind: 'compressed'
  readonly deflated: Buffer
}

/** An observation: id, upstream, service, age in milliseconds, and the requests as digests and shared parts of prompts. */
export type PackedObservation = readonly [string, UpstreamId, ServiceName, number, ReadonlyArray<readonly [string, readonly PromptPartId[]]>]

/** Evidence of what crashes upstreams. Times are ages, since clocks of VMs differ. */
export interface CrashEvidenceMessage {
  readonly kind: 'crash-evidence'
  readonly observations: readonly PackedObservation[]
  /** Parts with which upstreams have completed requests, with the age of the last completion in milliseconds. */
  readonly completions: ReadonlyArray<readonly [ServiceName, PromptPartId, number]>
}

/** Service, software version, and the keys of streams that began there, of 6 bytes each. */
export type PackedOrigins = readonly [ServiceName, SoftwareVersion, Buffer]

/** The software versions that streams began at. */
export interface StreamOriginsMessage {
  readonly kind: 'stream-origins'
  readonly origins: readonly PackedOrigins[]
  /** Whether it answers a question; otherwise it tells of streams that have just begun. */
  readonly isAnswer?: boolean
}

/** Asks for the origins of streams. */
export interface StreamQuestionMessage {
  readonly kind: 'stream-question'
  /** Keys of 6 bytes each. */
  readonly keys: Buffer
  /** How often the question may be passed on. */
  readonly hops: number
}

/** Asks for what the receiver knows of the software versions of the past. */
export interface VersionHistoryRequestMessage {
  readonly kind: 'version-history-request'
  readonly request: number
  /** Milliseconds for which the sender knows all versions itself. */
  readonly completeAge: number
  /** Link addresses of VMs that the sender knows and has never heard. */
  readonly unheard: readonly string[]
}

/** Milliseconds since a routing ended, and its routes that differ from those of now: host, prefix of the path, timeout in milliseconds, services. */
export type PackedRouting = readonly [number, ReadonlyArray<readonly [string, string, number, readonly ServiceName[]]>]

/** What a VM knows of the software versions of the past; ages are in milliseconds. */
export interface VersionHistoryMessage extends Omit<HandedHistory, 'routings'> {
  readonly kind: 'version-history'
  readonly request: number
  /** Version of the configuration that the routings are compared with. */
  readonly configuration: number
  readonly routings: readonly PackedRouting[]
  /** Link addresses of VMs that the receiver has never heard, and the age of their last message. */
  readonly heard: ReadonlyArray<readonly [string, number]>
}

export type LinkMessage =
  | SuspicionMessage | CrashEvidenceMessage | HelloMessage | HeartbeatMessage | RegionReport | DigestMessage | AcknowledgementMessage | LeavingMessage | UpstreamLeavingMessage | UpstreamColdMessage | UpstreamLimitsMessage
  | RecordsRequestMessage | RecordChangesMessage | RecordsMessage | CompressedMessage | StreamOriginsMessage | StreamQuestionMessage | ConfirmationRequestMessage | ConfirmationMessage
  | VersionHistoryRequestMessage | VersionHistoryMessage

// Records name the fields of equal objects once in a message, which halves a list of VMs.
const packr = new Packr({ useRecords: true })

export const packMessage = (message: LinkMessage): Buffer => packr.pack(message)

export const unpackMessages = (frame: Buffer): readonly LinkMessage[] => unpackMultiple(frame) as LinkMessage[]
