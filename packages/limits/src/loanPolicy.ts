/**
 * How much of a team's rate a VM wants, keeps and gives. Pure functions over
 * the demand at both ends of a loan.
 */

import { millisecondsPerSecond } from '@cuminvale/common'
import type { LoanWish } from '@cuminvale/messages'
import { reserveShare } from './constants.js'
import type { Amounts } from './teamShare.js'

/** A VM's own side of the question, for one team. */
export interface ShareNeed {
  readonly demandPerSecond: number
  /** Tokens of the largest recent request. */
  readonly largestRequest: number
  readonly amounts: Amounts
}

const demandMargin = 1.25
const requestsHeld = 2
const lowWaterMilliseconds = 400
const shortageGrowth = 1.5
/** Loans are kept while the share without them would be under this multiple of what is wanted. */
const keepMargin = 1.5
const smallestWish = 0.002

/** Share of the fleet-wide amounts that covers the demand and any single request. */
export const wantedShare = ({ demandPerSecond, largestRequest, amounts }: ShareNeed): number =>
  Math.min(1, Math.max(
    demandPerSecond * demandMargin / amounts.ratePerSecond,
    largestRequest * requestsHeld / amounts.burst
  ))

/** Tokens below which the VM asks for more before it must refuse. */
export const lowWaterTokens = ({ demandPerSecond, largestRequest }: ShareNeed): number =>
  Math.max(largestRequest, demandPerSecond * lowWaterMilliseconds / millisecondsPerSecond)

/** Share to ask for; 0 where nothing is missing. */
export const missingShare = (need: ShareNeed, held: number, tokens: number): number => {
  if (tokens >= lowWaterTokens(need)) return 0
  const wanted = Math.min(1, Math.max(wantedShare(need), held * shortageGrowth))
  const missing = wanted - held
  return missing >= smallestWish ? missing : 0
}

/** Share to part with for a peer's wish: what is not needed, and a fair part of what is. */
export const spareShare = (need: ShareNeed, held: number, wish: LoanWish): number => {
  const demand = need.demandPerSecond + wish.demand
  const fair = demand <= 0 ? 0 : (held + wish.held) * need.demandPerSecond / demand
  const kept = Math.min(wantedShare(need), fair)
  return Math.max(0, Math.min(wish.share, held - kept))
}

/** Own share that may be lent, above the reserve. */
export const lendable = (unlent: number, own: number): number => Math.max(0, unlent - own * reserveShare)

/** Whether a loan of a share is still of use to the borrower. */
export const isLoanNeeded = (need: ShareNeed, held: number, share: number): boolean =>
  held - share < wantedShare(need) * keepMargin
