/**
 * States of an order, and a VM's decisions on attempts to run it.
 */

import type { Result } from 'true-myth'
import type { Refusal, VmId } from '@cuminvale/common'
import type { RecordedAnswer } from '@cuminvale/messages'

export type OrderResult = Result<RecordedAnswer, Refusal>

export const OrderState = {
  /** Accepted, nothing sent yet. */
  Pending: 'pending',
  /** Sent upstream; the outcome is not known yet. */
  Sent: 'sent',
  /** Ended; the result is final. */
  Ended: 'ended'
} as const

export type OrderState = typeof OrderState[keyof typeof OrderState]

export const OrderStep = {
  Run: 'run',
  Repeat: 'repeat',
  Refuse: 'refuse',
  /** Forward the attempt to the VM that minted its ticket. */
  Forward: 'forward',
  /** Run the order on behalf of the VM that minted its ticket. */
  RunForMinter: 'run-for-minter',
  /** Look up the outcome, in local copies or by asking their holders. */
  Recall: 'recall'
} as const

/** The ledger's decision: run the attempt, repeat the result of the first attempt, or refuse. */
export type LedgerDecision =
  | { readonly step: typeof OrderStep.Run }
  | { readonly step: typeof OrderStep.Repeat, readonly result: Promise<OrderResult> }
  | { readonly step: typeof OrderStep.Refuse, readonly refusal: Refusal }

export type OrderDecision =
  | LedgerDecision
  | { readonly step: typeof OrderStep.Forward, readonly to: VmId }
  | { readonly step: typeof OrderStep.RunForMinter }
  | { readonly step: typeof OrderStep.Recall }
