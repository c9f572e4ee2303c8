/**
 * Messages between VMs, packed with msgpackr. Lists of pairs stand for maps.
 */

import type { IncarnationId, RegionId, TeamId, UpstreamId, VmId } from '@cuminvale/common'
import type { SuspicionMessage } from '@cuminvale/messages'
import type { PeerIdentity, PromptPartId, ServiceName } from '@cuminvale/serving'

/** A region and the VMs that are heard in it, each with whether it takes new work. */
export type RegionMembers = readonly [RegionId, ReadonlyArray<readonly [PeerIdentity, boolean]>]

export interface HelloMessage {
  readonly kind: 'hello'
  readonly identity: PeerIdentity
  /** VMs that the sender knows of and has not named on this link yet. */
  readonly known: readonly PeerIdentity[]
  /** Whether the sender asks to be told of all VMs that become known. */
  readonly isAsking: boolean
  /** Other regions as the sender hears them; at the beginning of a link. */
  readonly regions?: readonly RegionMembers[]
  /** Long prompt parts that upstreams of the sender's region hold; from a speaker to its neighbours, at the beginning of a link. */
  readonly parts?: ReadonlyArray<readonly [UpstreamId, readonly PromptPartId[]]>
  /** The same by region, for the other ones. */
  readonly regionParts?: ReadonlyArray<readonly [RegionId, readonly PromptPartId[]]>
}

/** What a speaker tells the speakers of other regions, who pass it on within theirs. */
export interface RegionReport {
  readonly kind: 'region-report'
  readonly region: RegionId
  readonly vm: VmId
  readonly incarnation: IncarnationId
  readonly sequence: number
  /** Revision up to which the speaker knows the published records. */
  readonly at: number
  readonly spent: ReadonlyArray<readonly [TeamId, number]>
  /** Upstreams, wait in milliseconds and free slots by service. */
  readonly forecasts: ReadonlyArray<readonly [ServiceName, number, number, number]>
  /** Prompt parts that upstreams of the region were sent. */
  readonly parts: readonly PromptPartId[]
  /** VMs of the region that are heard; left out while they are those of the last list. */
  readonly members?: ReadonlyArray<readonly [PeerIdentity, boolean]>
  /** VMs that said that they stop. */
  readonly departed: readonly PeerIdentity[]
}

/** What a VM tells those of its region. */
export interface HeartbeatMessage {
  readonly kind: 'heartbeat'
  readonly isReady: boolean
  /** Revision up to which the sender knows the published records. */
  readonly at: number
  /** Sums by team; those that have not changed are left out of most messages. */
  readonly spent: ReadonlyArray<readonly [TeamId, number]>
  readonly isSpentFull: boolean
  /** Requests and unread prompt tokens at upstreams. */
  readonly loads: ReadonlyArray<readonly [UpstreamId, number, number]>
  /** Prompt parts sent to upstreams lately. */
  readonly parts: ReadonlyArray<readonly [UpstreamId, readonly PromptPartId[]]>
  /** Reports of other regions, where the sender is a speaker. */
  readonly reports: readonly RegionReport[]
}

/** The sender stops; it spends and sends nothing after this. */
export interface LeavingMessage {
  readonly kind: 'leaving'
}

export interface RecordsRequestMessage {
  readonly kind: 'records-request'
}

export interface RecordsMessage {
  readonly kind: 'records'
  readonly at: number
  readonly records: ReadonlyArray<readonly [string, string, number]>
}

export type LinkMessage = SuspicionMessage | HelloMessage | HeartbeatMessage | RegionReport | LeavingMessage | RecordsRequestMessage | RecordsMessage
