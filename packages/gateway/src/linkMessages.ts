/**
 * Messages between VMs, packed with msgpackr. Lists of pairs stand for maps.
 */

import type { TeamId, UpstreamId } from '@cuminvale/common'
import type { SuspicionMessage } from '@cuminvale/messages'
import type { PeerIdentity, PromptPartId, ServiceName } from '@cuminvale/serving'

export interface HelloMessage {
  readonly kind: 'hello'
  readonly identity: PeerIdentity
  /** Other VMs that the sender knows of. */
  readonly known: readonly PeerIdentity[]
}

export interface HeartbeatMessage {
  readonly kind: 'heartbeat'
  readonly isReady: boolean
  /** Revision up to which the sender knows the published records. */
  readonly at: number
  readonly spent: ReadonlyArray<readonly [TeamId, number]>
  /** Requests and unread prompt tokens at upstreams; told within a region. */
  readonly loads?: ReadonlyArray<readonly [UpstreamId, number, number]>
  /** Prompt parts sent to upstreams lately; told within a region. */
  readonly parts?: ReadonlyArray<readonly [UpstreamId, readonly PromptPartId[]]>
  /** Prompt parts that upstreams of the sender's region were sent; told to other regions. */
  readonly regionParts?: readonly PromptPartId[]
  /** Upstreams, wait in milliseconds and free slots by service; told to other regions. */
  readonly forecasts?: ReadonlyArray<readonly [ServiceName, number, number, number]>
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

export type LinkMessage = SuspicionMessage | HelloMessage | HeartbeatMessage | LeavingMessage | RecordsRequestMessage | RecordsMessage
