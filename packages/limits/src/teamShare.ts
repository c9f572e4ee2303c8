/**
 * One VM's share of one team's rate and burst, and the unspent tokens in it.
 * Shares are parts of the fleet-wide rate and burst: a VM has its own share,
 * which it may lend in part, and shares borrowed from other VMs.
 *
 * The shares held across the fleet add up to at most 1, and each token level is
 * at most its holder's part of the burst. The tokens taken in any window are
 * therefore at most the burst plus the rate times the window.
 */

import { assertInvariant, millisecondsPerSecond } from '@cuminvale/common'
import type { IncarnationId, VmId } from '@cuminvale/common'
import { maximumClockDriftRatio, shareTolerance } from './constants.js'
import { HeadroomHistory } from './headroomHistory.js'

export interface LentLoan {
  readonly share: number
  readonly borrower: VmId
  /** Local monotonic milliseconds from which the borrower has certainly stopped spending. */
  endsAt: number
}

export interface BorrowedLoan {
  readonly id: number
  readonly share: number
  readonly lender: VmId
  readonly lenderIncarnation: IncarnationId
  endsAt: number
}

export interface RateLimit {
  readonly ratePerSecond: number
  readonly burst: number
}

export class TeamShare {
  private level = 0
  private own = 0
  private lentShare = 0
  private borrowedShare = 0
  readonly lentLoans = new Map<number, LentLoan>()
  private readonly borrowedLoanList: BorrowedLoan[] = []
  private readonly headroom = new HeadroomHistory()

  constructor (private rateLimit: RateLimit, private updatedAt: number) {}

  get ownShare (): number {
    return this.own
  }

  get totalLentShare (): number {
    return this.lentShare
  }

  get borrowedLoans (): readonly BorrowedLoan[] {
    return this.borrowedLoanList
  }

  /** Part of the fleet-wide rate and burst that this VM may use. */
  get held (): number {
    return Math.max(0, this.own - this.lentShare) + this.borrowedShare
  }

  get capacity (): number {
    return this.held * this.rateLimit.burst
  }

  get tokens (): number {
    return this.level
  }

  /** Own share that is not lent. */
  get unlentShare (): number {
    return Math.max(0, this.own - this.lentShare)
  }

  /**
   * Brings the token level up to date. Loans and an own share that ended in
   * the meantime count up to their end only.
   */
  advance (now: number, ownShareEndsAt: number): void {
    while (this.updatedAt < now) {
      const end = Math.min(now, this.nextExpiry(ownShareEndsAt))
      this.refill(Math.max(end, this.updatedAt))
      if (end >= now) break
      this.dropExpired(end, ownShareEndsAt)
    }
    this.dropExpired(now, ownShareEndsAt)
    for (const [id, loan] of this.lentLoans) if (loan.endsAt <= now) this.removeLent(id, loan)
  }

  /** The caller must have advanced the share to the current time. */
  setOwnShare (ownShare: number): void {
    this.own = ownShare
    this.clampLevel()
  }

  setRateLimit (rateLimit: RateLimit): void {
    this.rateLimit = rateLimit
    this.clampLevel()
  }

  take (chargeId: number, tokens: number): boolean {
    if (tokens > this.level) return false
    this.level -= tokens
    this.headroom.open(chargeId, this.capacity - this.level)
    return true
  }

  /** Refunds unused tokens of a charge, except those that would have overflowed since the charge. */
  refund (chargeId: number, tokens: number): void {
    const refunded = Math.min(tokens, this.headroom.minimumSince(chargeId))
    if (refunded <= 0) return
    this.level += refunded
    this.headroom.refund(refunded)
    this.clampLevel()
  }

  /** Charges tokens that a request used beyond its charge; the level may become negative. */
  overdraw (tokens: number): void {
    this.level -= tokens
  }

  /** Lends part of the own share. The result is its part of the unspent tokens, which moves with the loan. */
  lend (id: number, loan: LentLoan): number {
    assertInvariant(loan.share <= this.own - this.lentShare + shareTolerance, 'limits-lent-share',
      () => `lends ${loan.share} of ${this.own} with ${this.lentShare} lent already`)
    const tokens = this.tokensForShare(loan.share)
    this.level -= tokens
    this.lentShare += loan.share
    this.lentLoans.set(id, loan)
    this.clampLevel()
    return tokens
  }

  /** Takes back a loan that has not ended. An ended, unknown or already returned loan adds no tokens. */
  acceptReturn (id: number, tokens: number): void {
    const loan = this.lentLoans.get(id)
    if (loan === undefined) return
    this.removeLent(id, loan)
    this.level += Math.max(0, Math.min(tokens, loan.share * this.rateLimit.burst))
    this.clampLevel()
  }

  borrow (loan: BorrowedLoan, tokens: number): void {
    this.borrowedLoanList.push(loan)
    this.borrowedShare += loan.share
    this.level += Math.max(0, Math.min(tokens, loan.share * this.rateLimit.burst))
    this.clampLevel()
  }

  /** Returns a borrowed loan. The result is the tokens that go back with it. */
  returnLoan (loan: BorrowedLoan): number {
    const tokens = this.tokensForShare(loan.share)
    this.level -= tokens
    this.removeBorrowed(loan)
    this.clampLevel()
    return tokens
  }

  /** Drops all borrowed loans, because the VM may have been suspended. */
  dropBorrowed (): void {
    this.borrowedLoanList.splice(0)
    this.borrowedShare = 0
    this.clampLevel()
  }

  /** True if there are neither lent nor borrowed loans. */
  get isIdle (): boolean {
    return this.lentLoans.size === 0 && this.borrowedLoanList.length === 0
  }

  /** Milliseconds until the level reaches the tokens at the current share; infinite without a share. */
  millisecondsUntil (tokens: number): number {
    if (tokens <= this.level) return 0
    const perSecond = this.held * this.rateLimit.ratePerSecond
    return perSecond <= 0 ? Infinity : (tokens - this.level) / perSecond * millisecondsPerSecond
  }

  private tokensForShare (share: number): number {
    const { held } = this
    return held <= 0 ? 0 : Math.max(0, this.level) * Math.min(1, share / held)
  }

  private nextExpiry (ownShareEndsAt: number): number {
    let end = this.own > 0 ? ownShareEndsAt : Infinity
    for (const loan of this.borrowedLoanList) end = Math.min(end, loan.endsAt)
    return end
  }

  private refill (until: number): void {
    const seconds = (until - this.updatedAt) / millisecondsPerSecond
    const gained = seconds * this.held * this.rateLimit.ratePerSecond * (1 - maximumClockDriftRatio)
    this.level = Math.min(this.capacity, this.level + Math.max(0, gained))
    this.updatedAt = until
    this.clampLevel()
  }

  private dropExpired (at: number, ownShareEndsAt: number): void {
    for (const loan of this.borrowedLoanList.filter(({ endsAt }) => endsAt <= at)) this.removeBorrowed(loan)
    if (ownShareEndsAt <= at) this.own = 0
    this.clampLevel()
  }

  private removeBorrowed (loan: BorrowedLoan): void {
    const index = this.borrowedLoanList.indexOf(loan)
    if (index < 0) return
    this.borrowedLoanList.splice(index, 1)
    this.borrowedShare = this.borrowedLoanList.reduce((sum, { share }) => sum + share, 0)
  }

  private removeLent (id: number, loan: LentLoan): void {
    this.lentLoans.delete(id)
    this.lentShare = this.lentLoans.size === 0 ? 0 : Math.max(0, this.lentShare - loan.share)
  }

  private clampLevel (): void {
    this.level = Math.min(this.level, this.capacity)
    this.headroom.record(this.capacity - this.level)
  }
}
