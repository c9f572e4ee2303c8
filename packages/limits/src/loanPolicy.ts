/**
 * How much of a team's share a VM requests, keeps and lends. Pure functions of
 * the demand at both ends of a loan.
 */

import { millisecondsPerSecond } from '@cuminvale/common'
import type { LoanRequest } from '@cuminvale/messages'
import { minimumUnlentRatio } from './constants.js'
import type { RateLimit } from './teamShare.js'

/** The demand of one team at this VM. */
export interface TeamDemand {
  readonly demandPerSecond: number
  /** Tokens of the largest recent request. */
  readonly largestRequestTokens: number
  readonly rateLimit: RateLimit
}

const demandMarginFactor = 1.25
const minimumRequestsPerBurst = 2
const lowWaterDemandMilliseconds = 400
const shortageGrowthFactor = 1.5
/** A loan is kept while the share without it would be under this multiple of the wanted share. */
const keepMarginFactor = 1.5
const minimumBorrowShare = 0.002

/** Share of the fleet-wide rate and burst that covers the demand and any single request. */
export const wantedShare = ({ demandPerSecond, largestRequestTokens, rateLimit }: TeamDemand): number =>
  Math.min(1, Math.max(
    demandPerSecond * demandMarginFactor / rateLimit.ratePerSecond,
    largestRequestTokens * minimumRequestsPerBurst / rateLimit.burst
  ))

/** Token level below which the VM requests a loan, before it would have to refuse requests. */
export const lowWaterTokens = ({ demandPerSecond, largestRequestTokens }: TeamDemand): number =>
  Math.max(largestRequestTokens, demandPerSecond * lowWaterDemandMilliseconds / millisecondsPerSecond)

/** Share to request from peers; 0 if the VM has enough tokens, or too little is missing for a loan. */
export const missingShare = (teamDemand: TeamDemand, heldShare: number, tokens: number): number => {
  if (tokens >= lowWaterTokens(teamDemand)) return 0
  const wanted = Math.min(1, Math.max(wantedShare(teamDemand), heldShare * shortageGrowthFactor))
  const missing = wanted - heldShare
  return missing >= minimumBorrowShare ? missing : 0
}

/**
 * Share to give up for a peer's request. The VM keeps what it wants, but at most the part of both VMs' shares
 * that is proportional to its demand.
 */
export const spareShare = (teamDemand: TeamDemand, heldShare: number, wish: LoanRequest): number => {
  const combinedDemand = teamDemand.demandPerSecond + wish.demand
  const proportionalShare = combinedDemand <= 0 ? 0 : (heldShare + wish.held) * teamDemand.demandPerSecond / combinedDemand
  const keptShare = Math.min(wantedShare(teamDemand), proportionalShare)
  return Math.max(0, Math.min(wish.share, heldShare - keptShare))
}

/** Own share that may still be lent: what is not lent, less the part that is always kept. */
export const lendableShare = (unlentShare: number, ownShare: number): number => Math.max(0, unlentShare - ownShare * minimumUnlentRatio)

/** Whether the borrower still needs a loan of the given share. */
export const isLoanNeeded = (teamDemand: TeamDemand, heldShare: number, share: number): boolean =>
  heldShare - share < wantedShare(teamDemand) * keepMarginFactor
