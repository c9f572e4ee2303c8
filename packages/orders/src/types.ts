/**
 * What is known of an order, and what a VM decides to do with an attempt.
 */

import type { Result } from 'true-myth'
import type { Refusal, VmId } from '@cuminvale/common'
import type { RecordedAnswer } from '@cuminvale/messages'

export type OrderResult = Result<RecordedAnswer, Refusal>

export const OrderState = {
  /** Accepted, nothing sent yet. */
  Pending: 'pending',
  /** Sent upstream; the outcome is open. */
  Sent: 'sent',
  /** Ended; the result is final. */
  Ended: 'ended'
} as const

export type OrderState = typeof OrderState[keyof typeof OrderState]

export const OrderStep = {
  Run: 'run',
  Repeat: 'repeat',
  Refuse: 'refuse',
  /** Pass the attempt to the VM that minted its ticket. */
  Forward: 'forward',
  /** Run the order on behalf of the VM that minted its ticket. */
  RunForMinter: 'run-for-minter',
  /** Ask the holders of copies. */
  Recall: 'recall'
} as const

/** What the ledger does with an attempt: run it, answer as the first attempt is answered, or refuse. */
export type LedgerDecision =
  | { readonly step: typeof OrderStep.Run }
  | { readonly step: typeof OrderStep.Repeat, readonly result: Promise<OrderResult> }
  | { readonly step: typeof OrderStep.Refuse, readonly refusal: Refusal }

export type OrderDecision =
  | LedgerDecision
  | { readonly step: typeof OrderStep.Forward, readonly to: VmId }
  | { readonly step: typeof OrderStep.RunForMinter }
  | { readonly step: typeof OrderStep.Recall }
