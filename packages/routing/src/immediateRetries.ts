/**
 * Baseline: up to three retries without delay, regardless of how much else fails.
 */

import { RetryDecisionKind } from './retryPolicy.js'
import type { FailedAttempt, RetryDecision, RetryPolicy } from './retryPolicy.js'

const maximumRetries = 3

export class ImmediateRetries implements RetryPolicy {
  started (): void {}

  decide (failed: FailedAttempt): RetryDecision {
    if (failed.attempts > maximumRetries) return { kind: RetryDecisionKind.GiveUp, reason: 'three retries were made' }
    return { kind: RetryDecisionKind.Retry, delayMilliseconds: 0 }
  }
}
