/**
 * Requests, grants, renews and returns the loans of one VM.
 */

import type { IncarnationId, Random, RegionId, TeamId, VmId } from '@cuminvale/common'
import type {
  LimitBorrow, LimitLend, LimitReturn, LoanGrant, LoanReturn, LoanRequest, OutboundMessage, PeerIdentity
} from '@cuminvale/messages'
import { maximumLoanMilliseconds, loanRenewalThresholdMilliseconds, shareTolerance, initialBorrowBackoffMilliseconds, withClockMargin, withoutClockMargin } from './constants.js'
import { isLoanNeeded, lendableShare, missingShare, spareShare } from './loanPolicy.js'
import type { EscrowTeam } from './escrowTeam.js'
import type { HolderSet } from './holderSet.js'
import type { BorrowedLoan } from './teamShare.js'

/** A VM from which loans may be requested. */
export interface LoanPeer {
  readonly vm: VmId
  readonly region: RegionId
}

export interface LoanManagerOptions {
  readonly self: PeerIdentity
  readonly random: Random
  readonly peers: () => readonly LoanPeer[]
  readonly holders: HolderSet
  readonly teams: ReadonlyMap<TeamId, EscrowTeam>
}

/** The current time, and the time at which the lease on the own share ends. */
export interface LoanTimes {
  readonly now: number
  readonly ownShareEndsAt: number
}

/** Content of one borrow message. `lender` is the incarnation that granted the loans in `renewals`. */
interface BorrowBatch {
  readonly wishes: LoanRequest[]
  readonly renewals: number[]
  lender: IncarnationId
}

const localLendersPerRequest = 3
const remoteLendersPerRequest = 2
/** Smallest share of a team's rate that is granted as a loan. */
const minimumGrantShare = 0.0005
const minimumLoanMilliseconds = 200
const lendingCapMilliseconds = 1_000
/** Lender of a batch without renewals. */
const noLender = '' as IncarnationId

export class LoanManager {
  private nextLoan = 1
  private lendingCap: { readonly part: number, readonly until: number } | undefined
  /** Returned loans that have not been reported to their lenders yet. */
  private readonly returns = new Map<VmId, { lender: IncarnationId, returns: LoanReturn[] }>()

  constructor (private readonly options: LoanManagerOptions) {}

  loanTimes (now: number, ownShareEndsAt: number): LoanTimes {
    return { now, ownShareEndsAt }
  }

  /** Advances the shares, and returns whether the lent share of every team is within the given part of the region's share. */
  fits (part: number, now: number): boolean {
    for (const { share, regionShare } of this.options.teams.values()) {
      share.advance(now, this.options.holders.isHolding ? this.options.holders.leaseEndsAt : -Infinity)
      if (share.totalLentShare > regionShare * part + shareTolerance) return false
    }
    return true
  }

  /** Caps grants and renewals at a part of the region's share for `lendingCapMilliseconds`, so that a VM can join. */
  capLending (part: number, now: number): void {
    this.lendingCap = { part, until: now + lendingCapMilliseconds }
  }

  /** Grants a peer loans out of what this VM can spare, and renews those that the lending cap permits. */
  handleBorrow (from: PeerIdentity, message: LimitBorrow, times: LoanTimes): readonly OutboundMessage[] {
    const durationMilliseconds = Math.min(maximumLoanMilliseconds, withoutClockMargin(times.ownShareEndsAt - times.now))
    const grants = message.wishes.flatMap((wish) => this.grant(from, wish, { ...times, durationMilliseconds }))
    const renewed = message.lender === this.options.self.incarnation
      ? message.renewals.filter((loan) => this.extendLentLoan(loan, from.vm, { ...times, durationMilliseconds }))
      : []
    const returns = this.drainReturns()
    if (grants.length === 0 && renewed.length === 0) return returns
    const answer: LimitLend = {
      kind: 'limits.lend', to: from.incarnation, sentAt: message.sentAt, durationMilliseconds, grants, renewed
    }
    return [{ to: from.vm, message: answer }, ...returns]
  }

  /** Records loans that a peer has granted or renewed. */
  handleLend (from: PeerIdentity, message: LimitLend, { now, ownShareEndsAt }: LoanTimes): void {
    if (!this.options.holders.isCurrentAnswer(message.sentAt, message.to)) return
    const endsAt = message.sentAt + message.durationMilliseconds
    if (endsAt <= now) return
    for (const { loan, team, share, tokens } of message.grants) {
      const escrowTeam = this.options.teams.get(team)
      if (escrowTeam === undefined) continue
      escrowTeam.borrowBackoffMilliseconds = initialBorrowBackoffMilliseconds
      escrowTeam.share.advance(now, ownShareEndsAt)
      escrowTeam.share.borrow({ id: loan, share, lender: from.vm, lenderIncarnation: from.incarnation, endsAt }, tokens)
    }
    if (message.renewed.length > 0) this.applyRenewals(from, new Set(message.renewed), { now, ownShareEndsAt }, endsAt)
  }

  handleReturn (message: LimitReturn, { now, ownShareEndsAt }: LoanTimes): void {
    if (message.lender !== this.options.self.incarnation) return
    const tokens = new Map(message.returns.map((returned) => [returned.loan, returned.tokens]))
    for (const { share } of this.options.teams.values()) {
      const loans = [...share.lentLoans.keys()].filter((loan) => tokens.has(loan))
      if (loans.length > 0) share.advance(now, ownShareEndsAt)
      loans.forEach((loan) => share.acceptReturn(loan, tokens.get(loan) ?? 0))
    }
  }

  /** Requests missing shares of active teams. Of loans about to end, requests renewal if they are needed, and returns the others. */
  tick (times: LoanTimes): readonly OutboundMessage[] {
    if (this.lendingCap !== undefined && times.now >= this.lendingCap.until) this.lendingCap = undefined
    const batches = new Map<VmId, BorrowBatch>()
    for (const [team, escrowTeam] of this.options.teams) {
      if (!escrowTeam.isActive) continue
      escrowTeam.share.advance(times.now, times.ownShareEndsAt)
      this.requestRenewalsOrReturnLoans(escrowTeam, times, batches)
      this.ask(team, escrowTeam, times, batches)
    }
    const requests = [...batches].map(([to, batch]): OutboundMessage => ({
      to, message: { kind: 'limits.borrow', sentAt: times.now, ...batch }
    }))
    return [...requests, ...this.drainReturns()]
  }

  private grant (from: PeerIdentity, wish: LoanRequest, times: LoanTimes & { durationMilliseconds: number }): readonly LoanGrant[] {
    const escrowTeam = this.options.teams.get(wish.team)
    if (escrowTeam?.isConfigured !== true) return []
    escrowTeam.share.advance(times.now, times.ownShareEndsAt)
    const spare = spareShare(escrowTeam.currentDemand(times.now), escrowTeam.share.held, wish)
    // First returns loans that the requesting VM granted. If the own share cannot cover the rest, also returns loans of other VMs.
    const remainingShare = spare - this.returnLoansUpTo(escrowTeam, spare, from.vm)
    const share = Math.min(remainingShare, this.lendableShareOf(escrowTeam))
    if (remainingShare - share > minimumGrantShare) this.returnLoansUpTo(escrowTeam, remainingShare - Math.max(0, share))
    if (share < minimumGrantShare || times.durationMilliseconds < minimumLoanMilliseconds) return []
    const loan = this.nextLoan
    this.nextLoan += 1
    const tokens = escrowTeam.share.lend(loan, { share, borrower: from.vm, endsAt: times.now + withClockMargin(times.durationMilliseconds) })
    return [{ loan, team: wish.team, share, tokens }]
  }

  private lendableShareOf (escrowTeam: EscrowTeam): number {
    const availableShare = lendableShare(escrowTeam.share.unlentShare, escrowTeam.share.ownShare)
    if (this.lendingCap === undefined) return availableShare
    return Math.min(availableShare, escrowTeam.regionShare * this.lendingCap.part - escrowTeam.share.totalLentShare)
  }

  private extendLentLoan (id: number, borrower: VmId, { now, ownShareEndsAt, durationMilliseconds }: LoanTimes & { durationMilliseconds: number }): boolean {
    if (durationMilliseconds < minimumLoanMilliseconds) return false
    for (const escrowTeam of this.options.teams.values()) {
      const loan = escrowTeam.share.lentLoans.get(id)
      if (loan === undefined) continue
      escrowTeam.share.advance(now, ownShareEndsAt)
      if (loan.borrower !== borrower || loan.endsAt <= now || this.exceedsLendingCap(escrowTeam)) return false
      loan.endsAt = Math.max(loan.endsAt, now + withClockMargin(durationMilliseconds))
      return true
    }
    return false
  }

  private exceedsLendingCap (escrowTeam: EscrowTeam): boolean {
    return this.lendingCap !== undefined && escrowTeam.share.totalLentShare > escrowTeam.regionShare * this.lendingCap.part + shareTolerance
  }

  private applyRenewals (from: PeerIdentity, renewed: ReadonlySet<number>, { now, ownShareEndsAt }: LoanTimes, endsAt: number): void {
    for (const { share } of this.options.teams.values()) {
      share.advance(now, ownShareEndsAt)
      for (const loan of share.borrowedLoans) {
        const isRenewed = loan.lenderIncarnation === from.incarnation && renewed.has(loan.id)
        if (isRenewed) loan.endsAt = Math.max(loan.endsAt, endsAt)
      }
    }
  }

  /** For borrowed loans that are about to end: requests renewal if they are needed, and returns them otherwise. */
  private requestRenewalsOrReturnLoans (escrowTeam: EscrowTeam, { now }: LoanTimes, batches: Map<VmId, BorrowBatch>): void {
    const due = escrowTeam.share.borrowedLoans.filter(({ endsAt }) => endsAt - now < loanRenewalThresholdMilliseconds)
    for (const loan of due) {
      if (isLoanNeeded(escrowTeam.currentDemand(now), escrowTeam.share.held, loan.share)) {
        const batch = batchFor(batches, loan.lender)
        batch.lender = loan.lenderIncarnation
        batch.renewals.push(loan.id)
      } else this.returnLoan(escrowTeam, loan)
    }
  }

  /** Requests the share that a team is missing. */
  private ask (team: TeamId, escrowTeam: EscrowTeam, { now }: LoanTimes, batches: Map<VmId, BorrowBatch>): void {
    if (!escrowTeam.isConfigured || !escrowTeam.mayNeedLoan || now < escrowTeam.nextBorrowAt) return
    const teamDemand = escrowTeam.currentDemand(now)
    const missing = missingShare(teamDemand, escrowTeam.share.held, escrowTeam.share.tokens - escrowTeam.waiters.tokens)
    if (missing === 0) return escrowTeam.markShareSufficient()
    escrowTeam.startBorrowBackoff(now)
    for (const { vm } of this.chooseLenders()) {
      batchFor(batches, vm).wishes.push({
        team, share: missing, held: escrowTeam.share.held, demand: teamDemand.demandPerSecond
      })
    }
  }

  /** A few random peers of this region and of others, drawn for each request separately. */
  private chooseLenders (): readonly LoanPeer[] {
    const { peers, self } = this.options
    const all = peers()
    const local = this.samplePeers(all.filter(({ region }) => region === self.region), localLendersPerRequest)
    return [...local, ...this.samplePeers(all.filter(({ region }) => region !== self.region), remoteLendersPerRequest)]
  }

  private samplePeers (candidates: readonly LoanPeer[], count: number): readonly LoanPeer[] {
    const remaining = [...candidates]
    const sampled: LoanPeer[] = []
    while (sampled.length < count && remaining.length > 0) {
      sampled.push(...remaining.splice(Math.floor(this.options.random.next() * remaining.length), 1))
    }
    return sampled
  }

  /**
   * Returns borrowed loans, only those of the given lender if there is one. Their
   * shares add up to at most the given share plus `minimumGrantShare`. The result
   * is the total share returned.
   */
  private returnLoansUpTo (escrowTeam: EscrowTeam, share: number, lender?: VmId): number {
    let returnedShare = 0
    for (const loan of [...escrowTeam.share.borrowedLoans]) {
      if (lender !== undefined && loan.lender !== lender) continue
      if (returnedShare + loan.share > share + minimumGrantShare) continue
      this.returnLoan(escrowTeam, loan)
      returnedShare += loan.share
    }
    return returnedShare
  }

  private returnLoan (escrowTeam: EscrowTeam, loan: BorrowedLoan): void {
    const tokens = escrowTeam.share.returnLoan(loan)
    const entry = this.returns.get(loan.lender)
    if (entry?.lender === loan.lenderIncarnation) entry.returns.push({ loan: loan.id, tokens })
    else this.returns.set(loan.lender, { lender: loan.lenderIncarnation, returns: [{ loan: loan.id, tokens }] })
  }

  private drainReturns (): readonly OutboundMessage[] {
    const outbound = [...this.returns].map(([to, { lender, returns }]): OutboundMessage => ({
      to, message: { kind: 'limits.return', lender, returns }
    }))
    this.returns.clear()
    return outbound
  }
}

const batchFor = (batches: Map<VmId, BorrowBatch>, vm: VmId): BorrowBatch => {
  const existing = batches.get(vm)
  if (existing !== undefined) return existing
  const created: BorrowBatch = { wishes: [], renewals: [], lender: noLender }
  batches.set(vm, created)
  return created
}
