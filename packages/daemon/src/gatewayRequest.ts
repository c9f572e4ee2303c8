/**
 * A request that has been read and classified, with everything the decisions
 * ask about it.
 */

import type { OrderSender, ParsedTicket } from '@cuminvale/orders'
import type { KeyIdentity } from '@cuminvale/keys'
import type { ModelName, RegionId, RequestId, TeamId } from '@cuminvale/common'
import type { Plan, Route } from '@cuminvale/documents'

export interface GatewayRequest {
  readonly id: RequestId
  /** Absent on open routes. */
  readonly identity?: KeyIdentity
  readonly team: TeamId
  readonly plan?: Plan
  readonly route: Route
  readonly model?: ModelName
  readonly method: string
  /** Path and query for the upstream. */
  readonly path: string
  readonly contentType: string
  /** The caller's own header, kept on open routes only. */
  readonly authorization?: string
  readonly body: Buffer
  readonly prompt: string
  readonly promptTokens: number
  readonly outputTokens: number
  readonly streaming: boolean
  readonly allowedRegions: readonly RegionId[]
  /** Monotonic milliseconds. */
  readonly arrivedAt: number
  readonly deadlineAt: number
  readonly hops: number
  readonly borderCrossings: number
  /** Whether another VM has already charged the team. */
  readonly charged: boolean
  readonly ticketText?: string
  readonly ticket?: ParsedTicket
  /** The VM that minted the ticket, where it hands the order over to be run here. */
  readonly runOrderFor?: OrderSender
  /** Aborted when the caller goes away. */
  readonly signal: AbortSignal
}

export const requestTokens = (request: GatewayRequest): number =>
  request.promptTokens + request.outputTokens
