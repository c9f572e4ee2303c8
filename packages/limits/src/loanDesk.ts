/**
 * The loans of one VM: requests, grants, renews and returns them.
 */

import type { IncarnationId, Random, RegionId, TeamId, VmId } from '@cuminvale/common'
import type {
  LimitBorrow, LimitLend, LimitReturn, LoanGrant, LoanReturn, LoanWish, Outbound, PeerIdentity
} from '@cuminvale/messages'
import { loanMilliseconds, renewalMilliseconds, shareTolerance, shortestAskMilliseconds, withDrift, withoutDrift } from './constants.js'
import { isLoanNeeded, lendable, missingShare, spareShare } from './loanPolicy.js'
import type { EscrowTeam } from './escrowTeam.js'
import type { HolderSet } from './holderSet.js'
import type { BorrowedLoan } from './teamShare.js'

/** A VM from which loans may be requested. */
export interface LoanPeer {
  readonly vm: VmId
  readonly region: RegionId
}

export interface LoanDeskOptions {
  readonly self: PeerIdentity
  readonly random: Random
  readonly peers: () => readonly LoanPeer[]
  readonly holders: HolderSet
  readonly teams: ReadonlyMap<TeamId, EscrowTeam>
}

/** The current time, and the time at which the lease on the own share ends. */
export interface Moment {
  readonly now: number
  readonly ownUntil: number
}

interface Batch {
  readonly wishes: LoanWish[]
  readonly renewals: number[]
  lender: IncarnationId
}

const localAsked = 3
const remoteAsked = 2
const smallestGrant = 0.0005
const shortestLoanMilliseconds = 200
const makeRoomMilliseconds = 1_000
/** Lender of a batch without renewals. */
const noLender = '' as IncarnationId

export class LoanDesk {
  private nextLoan = 1
  private room: { readonly part: number, readonly until: number } | undefined
  /** Returned loans that have not been reported to their lenders yet. */
  private readonly returns = new Map<VmId, { lender: IncarnationId, returns: LoanReturn[] }>()

  constructor (private readonly options: LoanDeskOptions) {}

  moment (now: number, ownUntil: number): Moment {
    return { now, ownUntil }
  }

  /** Whether the lent share of every team is within the given part of the region's share. */
  fits (part: number, now: number): boolean {
    for (const { share, regionShare } of this.options.teams.values()) {
      share.advance(now, this.options.holders.isHolding ? this.options.holders.evidenceUntil : -Infinity)
      if (share.lentTotal > regionShare * part + shareTolerance) return false
    }
    return true
  }

  /** Caps grants and renewals at a part of the region's share for `lendingCapMilliseconds`, so that a VM can join. */
  makeRoom (part: number, now: number): void {
    this.room = { part, until: now + makeRoomMilliseconds }
  }

  /** Grants and renews loans for a peer, out of what this VM can spare. */
  lend (from: PeerIdentity, message: LimitBorrow, moment: Moment): readonly Outbound[] {
    const duration = Math.min(loanMilliseconds, withoutDrift(moment.ownUntil - moment.now))
    const grants = message.wishes.flatMap((wish) => this.grant(from, wish, { ...moment, duration }))
    const renewed = message.lender === this.options.self.incarnation
      ? message.renewals.filter((loan) => this.renew(loan, from.vm, { ...moment, duration }))
      : []
    const returns = this.takeReturns()
    if (grants.length === 0 && renewed.length === 0) return returns
    const answer: LimitLend = {
      kind: 'limits.lend', to: from.incarnation, sentAt: message.sentAt, durationMilliseconds: duration, grants, renewed
    }
    return [{ to: from.vm, message: answer }, ...returns]
  }

  /** Records loans that a peer has granted or renewed. */
  borrowed (from: PeerIdentity, message: LimitLend, { now, ownUntil }: Moment): void {
    if (!this.options.holders.isCurrent(message.sentAt, message.to)) return
    const endsAt = message.sentAt + message.durationMilliseconds
    if (endsAt <= now) return
    for (const { loan, team, share, tokens } of message.grants) {
      const entry = this.options.teams.get(team)
      if (entry === undefined) continue
      entry.askPause = shortestAskMilliseconds
      entry.share.advance(now, ownUntil)
      entry.share.borrow({ id: loan, share, lender: from.vm, lenderIncarnation: from.incarnation, endsAt }, tokens)
    }
    if (message.renewed.length > 0) this.prolong(from, new Set(message.renewed), { now, ownUntil }, endsAt)
  }

  takeBack (message: LimitReturn, { now, ownUntil }: Moment): void {
    if (message.lender !== this.options.self.incarnation) return
    const tokens = new Map(message.returns.map((returned) => [returned.loan, returned.tokens]))
    for (const { share } of this.options.teams.values()) {
      const loans = [...share.lent.keys()].filter((loan) => tokens.has(loan))
      if (loans.length > 0) share.advance(now, ownUntil)
      loans.forEach((loan) => share.takeBack(loan, tokens.get(loan) ?? 0))
    }
  }

  /** Requests missing shares, renews loans that are needed, and returns the others. */
  tick (moment: Moment): readonly Outbound[] {
    if (this.room !== undefined && moment.now >= this.room.until) this.room = undefined
    const batches = new Map<VmId, Batch>()
    for (const [name, team] of this.options.teams) {
      if (!team.isActive) continue
      team.share.advance(moment.now, moment.ownUntil)
      this.tend(team, moment, batches)
      this.ask(name, team, moment, batches)
    }
    const asks = [...batches].map(([to, batch]): Outbound => ({
      to, message: { kind: 'limits.borrow', sentAt: moment.now, ...batch }
    }))
    return [...asks, ...this.takeReturns()]
  }

  private grant (from: PeerIdentity, wish: LoanWish, moment: Moment & { duration: number }): readonly LoanGrant[] {
    const team = this.options.teams.get(wish.team)
    if (team?.configured !== true) return []
    team.share.advance(moment.now, moment.ownUntil)
    const spare = spareShare(team.need(moment.now), team.share.held, wish)
    // Loans from the requesting VM itself are returned first, then other loans for what cannot be lent from the own share.
    const rest = spare - this.giveBackTo(team, spare, from.vm)
    const share = Math.min(rest, this.lendableOf(team))
    if (rest - share > smallestGrant) this.giveBackTo(team, rest - Math.max(0, share))
    if (share < smallestGrant || moment.duration < shortestLoanMilliseconds) return []
    const loan = this.nextLoan
    this.nextLoan += 1
    const tokens = team.share.lend(loan, { share, borrower: from.vm, endsAt: moment.now + withDrift(moment.duration) })
    return [{ loan, team: wish.team, share, tokens }]
  }

  private lendableOf (team: EscrowTeam): number {
    const free = lendable(team.share.unlent, team.share.ownShare)
    if (this.room === undefined) return free
    return Math.min(free, team.regionShare * this.room.part - team.share.lentTotal)
  }

  private renew (id: number, borrower: VmId, { now, ownUntil, duration }: Moment & { duration: number }): boolean {
    if (duration < shortestLoanMilliseconds) return false
    for (const team of this.options.teams.values()) {
      const loan = team.share.lent.get(id)
      if (loan === undefined) continue
      team.share.advance(now, ownUntil)
      if (loan.borrower !== borrower || loan.endsAt <= now || this.isOverRoom(team)) return false
      loan.endsAt = Math.max(loan.endsAt, now + withDrift(duration))
      return true
    }
    return false
  }

  private isOverRoom (team: EscrowTeam): boolean {
    return this.room !== undefined && team.share.lentTotal > team.regionShare * this.room.part + shareTolerance
  }

  private prolong (from: PeerIdentity, renewed: ReadonlySet<number>, { now, ownUntil }: Moment, endsAt: number): void {
    for (const { share } of this.options.teams.values()) {
      share.advance(now, ownUntil)
      for (const loan of share.borrowed) {
        const isRenewed = loan.lenderIncarnation === from.incarnation && renewed.has(loan.id)
        if (isRenewed) loan.endsAt = Math.max(loan.endsAt, endsAt)
      }
    }
  }

  /** Renews or returns the loans that are about to end. */
  private tend (team: EscrowTeam, { now }: Moment, batches: Map<VmId, Batch>): void {
    const due = team.share.borrowed.filter(({ endsAt }) => endsAt - now < renewalMilliseconds)
    for (const loan of due) {
      if (isLoanNeeded(team.need(now), team.share.held, loan.share)) {
        const batch = batchFor(batches, loan.lender)
        batch.lender = loan.lenderIncarnation
        batch.renewals.push(loan.id)
      } else this.giveBack(team, loan)
    }
  }

  private ask (name: TeamId, team: EscrowTeam, { now }: Moment, batches: Map<VmId, Batch>): void {
    if (!team.configured || !team.mayLack || now < team.askAt) return
    const need = team.need(now)
    const missing = missingShare(need, team.share.held, team.share.tokens - team.waiters.tokens)
    if (missing === 0) return team.sufficed()
    team.asked(now)
    for (const { vm } of this.lenders()) {
      batchFor(batches, vm).wishes.push({
        team: name, share: missing, held: team.share.held, demand: need.demandPerSecond
      })
    }
  }

  /** A few random peers of this region and of others, drawn for each request separately. */
  private lenders (): readonly LoanPeer[] {
    const { peers, self } = this.options
    const all = peers()
    const local = this.draw(all.filter(({ region }) => region === self.region), localAsked)
    return [...local, ...this.draw(all.filter(({ region }) => region !== self.region), remoteAsked)]
  }

  private draw (from: readonly LoanPeer[], count: number): readonly LoanPeer[] {
    const left = [...from]
    const drawn: LoanPeer[] = []
    while (drawn.length < count && left.length > 0) {
      drawn.push(...left.splice(Math.floor(this.options.random.next() * left.length), 1))
    }
    return drawn
  }

  /** Returns loans to one lender or to any, up to a total share. The result is the total share returned. */
  private giveBackTo (team: EscrowTeam, share: number, lender?: VmId): number {
    let given = 0
    for (const loan of [...team.share.borrowed]) {
      if (lender !== undefined && loan.lender !== lender) continue
      if (given + loan.share > share + smallestGrant) continue
      this.giveBack(team, loan)
      given += loan.share
    }
    return given
  }

  private giveBack (team: EscrowTeam, loan: BorrowedLoan): void {
    const tokens = team.share.giveBack(loan)
    const entry = this.returns.get(loan.lender)
    if (entry?.lender === loan.lenderIncarnation) entry.returns.push({ loan: loan.id, tokens })
    else this.returns.set(loan.lender, { lender: loan.lenderIncarnation, returns: [{ loan: loan.id, tokens }] })
  }

  private takeReturns (): readonly Outbound[] {
    const outbound = [...this.returns].map(([to, { lender, returns }]): Outbound => ({
      to, message: { kind: 'limits.return', lender, returns }
    }))
    this.returns.clear()
    return outbound
  }
}

const batchFor = (batches: Map<VmId, Batch>, vm: VmId): Batch => {
  const known = batches.get(vm)
  if (known !== undefined) return known
  const fresh: Batch = { wishes: [], renewals: [], lender: noLender }
  batches.set(vm, fresh)
  return fresh
}
