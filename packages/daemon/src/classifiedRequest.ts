/**
 * A request that the daemon has read and classified, with all fields that admission, limits and
 * routing decide by.
 */

import type { OrderSender, ParsedTicket } from '@cuminvale/orders'
import type { KeyIdentity } from '@cuminvale/keys'
import type { ModelName, RegionId, RequestId, TeamId } from '@cuminvale/common'
import type { Plan, Route } from '@cuminvale/documents'

export interface ClassifiedRequest {
  readonly id: RequestId
  /** Absent on open routes. */
  readonly identity?: KeyIdentity
  readonly team: TeamId
  readonly plan?: Plan
  readonly route: Route
  readonly model?: ModelName
  readonly method: string
  /** Path and query that the upstream is called with. */
  readonly path: string
  readonly contentType: string
  /** The caller's own header, passed on for open routes only. */
  readonly authorization?: string
  readonly body: Buffer
  readonly prompt: string
  readonly promptTokens: number
  readonly outputTokens: number
  readonly streaming: boolean
  readonly allowedRegions: readonly RegionId[]
  /** Milliseconds of the monotonic clock, as is `deadlineAt`. */
  readonly arrivedAt: number
  readonly deadlineAt: number
  readonly hops: number
  readonly borderCrossings: number
  /** Whether another VM has already charged the team. */
  readonly isAlreadyCharged: boolean
  readonly ticketText?: string
  readonly ticket?: ParsedTicket
  /** The VM that minted the ticket, if it forwarded the order to be run here. */
  readonly runOnBehalfOf?: OrderSender
  /** Aborted when the caller disconnects or the request's key is withdrawn. */
  readonly signal: AbortSignal
}

/** Estimate that the team is charged; the charge is settled to the tokens used. */
export const estimatedRequestTokens = (request: ClassifiedRequest): number =>
  request.promptTokens + request.outputTokens
