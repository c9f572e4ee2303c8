/**
 * The sends of one execution: to an upstream of this region, or to another VM.
 */

import type { RegionId } from '@cuminvale/common'
import type { UpstreamBelief } from '@cuminvale/serving'
import type { ForwardCall } from './forwardCall.js'
import type { UpstreamCall } from './upstreamCall.js'

export interface LocalAttempt {
  readonly kind: 'local'
  readonly call: UpstreamCall
  readonly belief: UpstreamBelief
  readonly predictedMilliseconds: number
  readonly sentAt: number
  pendingTokens: number
  isAnswered: boolean
  /** Silent, but nothing allows another send. */
  isLeftWaiting: boolean
}

export interface ForwardAttempt {
  readonly kind: 'forward'
  readonly call: ForwardCall
  readonly region: RegionId
  readonly workMilliseconds: number
  readonly sentAt: number
  isAnswered: boolean
  /** Silent, but nothing allows another send. */
  isLeftWaiting: boolean
}

export type Attempt = LocalAttempt | ForwardAttempt
