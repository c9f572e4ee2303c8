/**
 * Messages on the links between gateway processes, encoded with msgpackr. Maps
 * are sent as lists of pairs. Field names are part of the protocol.
 */

import type { IncarnationId, RegionId, TeamId, UpstreamId, VmId } from '@cuminvale/common'
import type { SuspicionMessage } from '@cuminvale/messages'
import type { PeerIdentity, PromptPartId, ServiceName } from '@cuminvale/serving'

/** A region and the VMs that are heard in it, each with whether it takes new requests. */
export type RegionMembers = readonly [RegionId, ReadonlyArray<readonly [PeerIdentity, boolean]>]

export interface HelloMessage {
  readonly kind: 'hello'
  readonly identity: PeerIdentity
  /** VMs that the sender knows and has not yet named on this link. */
  readonly known: readonly PeerIdentity[]
  /** Whether the sender asks for the VMs that the receiver knows and for each that becomes known. */
  readonly isAsking: boolean
  /** The other regions that the sender hears; only at the start of a link. */
  readonly regions?: readonly RegionMembers[]
  /** Long prompt parts that upstreams of the sender's region hold; sent only by speakers, at the start of a link. */
  readonly parts?: ReadonlyArray<readonly [UpstreamId, readonly PromptPartId[]]>
  /** Long prompt parts that other regions hold. */
  readonly regionParts?: ReadonlyArray<readonly [RegionId, readonly PromptPartId[]]>
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
  /** Prompt parts sent to upstreams of the region since the last report. */
  readonly parts: readonly PromptPartId[]
  /** VMs of the region that are heard; omitted if the last list still holds. */
  readonly members?: ReadonlyArray<readonly [PeerIdentity, boolean]>
  /** VMs that announced that they stop. */
  readonly departed: readonly PeerIdentity[]
}

/** Sent by each VM to the other VMs of its region. */
export interface HeartbeatMessage {
  readonly kind: 'heartbeat'
  readonly isReady: boolean
  /** Revision up to which the sender knows the published records. */
  readonly at: number
  /** The sender's spending by team since its start; most messages omit the sums that have not changed. */
  readonly spent: ReadonlyArray<readonly [TeamId, number]>
  /** Whether `spent` names all teams. */
  readonly isSpentFull: boolean
  /** By upstream: the sender's running requests and unread prompt tokens. */
  readonly loads: ReadonlyArray<readonly [UpstreamId, number, number]>
  /** Prompt parts that the sender sent to upstreams since its last heartbeat. */
  readonly parts: ReadonlyArray<readonly [UpstreamId, readonly PromptPartId[]]>
  /** Reports of other regions that the sender relays as a speaker. */
  readonly reports: readonly RegionReport[]
}

/** The sender stops; it spends nothing and sends no message after this one. */
export interface LeavingMessage {
  readonly kind: 'leaving'
}

/** Asks for the published records that the receiver knows. */
export interface RecordsRequestMessage {
  readonly kind: 'records-request'
}

export interface RecordsMessage {
  readonly kind: 'records'
  /** Revision up to which the records are complete. */
  readonly at: number
  /** Key, value and revision of each record. */
  readonly records: ReadonlyArray<readonly [string, string, number]>
}

export type LinkMessage = SuspicionMessage | HelloMessage | HeartbeatMessage | RegionReport | LeavingMessage | RecordsRequestMessage | RecordsMessage
