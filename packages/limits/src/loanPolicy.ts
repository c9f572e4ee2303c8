/**
 * How much of a team's share a VM requests, keeps and lends. Pure functions of
 * the demand at both ends of a loan.
 */

import { millisecondsPerSecond } from '@cuminvale/common'
import type { LoanWish } from '@cuminvale/messages'
import { reserveShare } from './constants.js'
import type { Amounts } from './teamShare.js'

/** The demand of one team at this VM. */
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
/** A loan is kept while the share without it would be under this multiple of the wanted share. */
const keepMargin = 1.5
const smallestWish = 0.002

/** Share of the fleet-wide rate and burst that covers the demand and any single request. */
export const wantedShare = ({ demandPerSecond, largestRequest, amounts }: ShareNeed): number =>
  Math.min(1, Math.max(
    demandPerSecond * demandMargin / amounts.ratePerSecond,
    largestRequest * requestsHeld / amounts.burst
  ))

/** Token level below which the VM requests a loan, before it would have to refuse requests. */
export const lowWaterTokens = ({ demandPerSecond, largestRequest }: ShareNeed): number =>
  Math.max(largestRequest, demandPerSecond * lowWaterMilliseconds / millisecondsPerSecond)

/** Share to request from peers; 0 if the VM has enough tokens, or too little is missing for a loan. */
export const missingShare = (need: ShareNeed, held: number, tokens: number): number => {
  if (tokens >= lowWaterTokens(need)) return 0
  const wanted = Math.min(1, Math.max(wantedShare(need), held * shortageGrowth))
  const missing = wanted - held
  return missing >= smallestWish ? missing : 0
}

/**
 * Share to give up for a peer's request. The VM keeps what it wants, but at most the part of both VMs' shares
 * that is proportional to its demand.
 */
export const spareShare = (need: ShareNeed, held: number, wish: LoanWish): number => {
  const demand = need.demandPerSecond + wish.demand
  const fair = demand <= 0 ? 0 : (held + wish.held) * need.demandPerSecond / demand
  const kept = Math.min(wantedShare(need), fair)
  return Math.max(0, Math.min(wish.share, held - kept))
}

/** Own share that may still be lent: what is not lent, less the part that is always kept. */
export const lendable = (unlent: number, own: number): number => Math.max(0, unlent - own * reserveShare)

/** Whether the borrower still needs a loan of the given share. */
export const isLoanNeeded = (need: ShareNeed, held: number, share: number): boolean =>
  held - share < wantedShare(need) * keepMargin
