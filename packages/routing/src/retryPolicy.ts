/**
 * Decides whether a failed attempt is retried, and after which delay.
 */

import type { TeamId } from '@cuminvale/common'

export interface FailedAttempt {
  readonly team: TeamId
  /** Attempts made so far, the failed one included. */
  readonly attempts: number
  readonly remainingMilliseconds: number
}

export const RetryDecisionKind = { Retry: 'retry', GiveUp: 'give-up' } as const

export type RetryDecision =
  | { readonly kind: typeof RetryDecisionKind.Retry, readonly delayMilliseconds: number }
  | { readonly kind: typeof RetryDecisionKind.GiveUp, readonly reason: string }

export interface RetryPolicy {
  /** Records the first attempt of a request. */
  started (team: TeamId): void
  decide (failed: FailedAttempt): RetryDecision
}
