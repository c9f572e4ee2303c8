/**
 * Fleet-wide rate and burst by escrow. Each VM of a region owns an equal part
 * of the region's share of every team, and makes short loans of it to VMs with
 * more demand. Shares move but are never created. The whole fleet therefore
 * stays within the burst plus the rate times any window.
 */

import { Result } from 'true-myth'
import { RefusalReason, refuse } from '@cuminvale/common'
import { planOfTeam } from '@cuminvale/documents'
import type { Clock, Random, Refusal, TeamId, VmId } from '@cuminvale/common'
import type { Configuration } from '@cuminvale/documents'
import type { LimitMessage, OutboundMessage, PeerIdentity, PeerProtocol } from '@cuminvale/messages'
import {
  defaultListLagMilliseconds, escrowTickMilliseconds, maximumRetryAfterMilliseconds, suspensionThresholdMilliseconds
} from './constants.js'
import { EscrowTeam } from './escrowTeam.js'
import { HolderSet } from './holderSet.js'
import { LoanManager } from './loanManager.js'
import type { LoanPeer } from './loanManager.js'
import type { Charge, ChargeCallback, TeamLimiter } from './types.js'

export interface EscrowLimiterOptions {
  readonly clock: Clock
  readonly random: Random
  readonly self: PeerIdentity
  /** Live, reachable VMs of any region. */
  readonly peers: () => readonly LoanPeer[]
  /** Bound on the age of the VM list's content. */
  readonly listLagMilliseconds?: number
}

export class EscrowLimiter implements TeamLimiter, PeerProtocol<LimitMessage> {
  readonly tickMilliseconds = escrowTickMilliseconds
  private readonly teams = new Map<TeamId, EscrowTeam>()
  private readonly holders: HolderSet
  private readonly loanManager: LoanManager
  private configuration: Configuration | undefined
  private nextCharge = 1
  private lastMonotonic: number
  private lastWall: number
  /** Part of the region's share from which the teams' own shares were last computed; 0 while this VM does not hold. */
  private appliedOwnPart = 0

  constructor (private readonly options: EscrowLimiterOptions) {
    const { clock, self } = options
    this.lastMonotonic = clock.monotonic()
    this.lastWall = clock.wall()
    const listLagMilliseconds = options.listLagMilliseconds ?? defaultListLagMilliseconds
    this.holders = new HolderSet({ self, listLagMilliseconds }, this.lastMonotonic)
    this.loanManager = new LoanManager({ self, random: options.random, peers: options.peers, holders: this.holders, teams: this.teams })
  }

  /** Whether this VM holds its own part of its region's shares. */
  get isHolding (): boolean {
    return this.holders.isHolding
  }

  /** Part of a team's fleet-wide rate and burst that this VM holds, for metrics and tests. */
  heldShare (team: TeamId): number {
    const now = this.readClock()
    const escrowTeam = this.teams.get(team)
    if (escrowTeam === undefined) return 0
    escrowTeam.share.advance(now, this.ownShareEndsAt)
    return escrowTeam.share.held
  }

  configure (configuration: Configuration): void {
    const now = this.readClock()
    this.configuration = configuration
    for (const [team, escrowTeam] of this.teams) {
      escrowTeam.share.advance(now, this.ownShareEndsAt)
      if (!configuration.teams.has(team)) escrowTeam.isConfigured = false
    }
    for (const team of configuration.teams.keys()) this.configureTeam(configuration, team, now)
  }

  /** Applies the VM list's names in this region; `askedAt` is the monotonic time of the list request. */
  adoptList (listedVms: ReadonlySet<VmId>, askedAt: number): void {
    const now = this.readClock()
    this.holders.adoptList(listedVms, askedAt)
    this.applyOwnPart(now)
  }

  charge (team: TeamId, tokens: number): Result<Charge, Refusal> {
    const now = this.readClock()
    const escrowTeam = this.teams.get(team)
    if (escrowTeam?.isConfigured !== true) return Result.err(refuse(RefusalReason.NotInPlan, `team "${team}" has no plan`))
    escrowTeam.recordRequest(tokens, now)
    return this.take(team, escrowTeam, tokens)
  }

  chargeOrWait (team: TeamId, tokens: number, onResult: ChargeCallback): void {
    const escrowTeam = this.teams.get(team)
    const charged = this.charge(team, tokens)
    if (charged.isOk || escrowTeam === undefined || tokens > escrowTeam.rateLimit.burst) return onResult(charged)
    const now = this.options.clock.monotonic()
    if (!escrowTeam.waiters.mayWait(now)) return onResult(charged)
    if (escrowTeam.waiters.length === 0) escrowTeam.resetBorrowBackoff()
    escrowTeam.waiters.wait(tokens, now, onResult)
  }

  chargeAsync (team: TeamId, tokens: number): Promise<Result<Charge, Refusal>> {
    return new Promise((resolve) => this.chargeOrWait(team, tokens, resolve))
  }

  settle (charge: Charge, usedTokens: number): void {
    const now = this.readClock()
    const escrowTeam = this.teams.get(charge.team)
    if (escrowTeam === undefined) return
    escrowTeam.share.advance(now, this.ownShareEndsAt)
    if (usedTokens > charge.tokens) escrowTeam.share.overdraw(usedTokens - charge.tokens)
    else escrowTeam.share.refund(charge.id, charge.tokens - usedTokens)
  }

  receive (from: PeerIdentity, message: LimitMessage): readonly OutboundMessage[] {
    const now = this.readClock()
    switch (message.kind) {
      case 'limits.hello': {
        const fits = !message.joining || this.loansFitWith(from.vm, now)
        const answer = this.holders.answer(from, message, now, fits)
        this.applyOwnPart(now)
        return [{ to: from.vm, message: answer }]
      }
      case 'limits.recognition':
        this.holders.recognised(from, message, now)
        this.applyOwnPart(now)
        return []
      case 'limits.borrow':
        return this.loanManager.handleBorrow(from, message, this.loanManager.loanTimes(now, this.ownShareEndsAt))
      case 'limits.lend':
        this.loanManager.handleLend(from, message, this.loanManager.loanTimes(now, this.ownShareEndsAt))
        this.serveWaiters(now)
        return []
      case 'limits.return':
        this.loanManager.handleReturn(message, this.loanManager.loanTimes(now, this.ownShareEndsAt))
        return []
      default:
        return []
    }
  }

  tick (): readonly OutboundMessage[] {
    const now = this.readClock()
    const hellos = this.holders.tick(now)
    this.applyOwnPart(now)
    this.applyDueShareIncreases(now)
    const loans = this.loanManager.tick(this.loanManager.loanTimes(now, this.ownShareEndsAt))
    this.serveWaiters(now)
    this.deleteDepartedTeams()
    return [...hellos, ...loans]
  }

  /** Time at which the lease on the own share ends; -Infinity while this VM does not hold. */
  private get ownShareEndsAt (): number {
    return this.holders.isHolding ? this.holders.leaseEndsAt : -Infinity
  }

  /** Reads the clock. Handles a suspension or an expired lease first, before the caller uses the shares. */
  private readClock (): number {
    const { clock } = this.options
    const now = clock.monotonic()
    const wall = clock.wall()
    const wasSuspended = wall - this.lastWall - (now - this.lastMonotonic) > suspensionThresholdMilliseconds
    this.lastMonotonic = now
    this.lastWall = wall
    if (wasSuspended) this.handleSuspension(now)
    else if (this.holders.isHolding && this.ownShareEndsAt <= now) this.handleLeaseExpiry(now)
    return now
  }

  private handleSuspension (now: number): void {
    for (const { share } of this.teams.values()) {
      share.dropBorrowed()
      share.setOwnShare(0)
      share.advance(now, now)
    }
    this.appliedOwnPart = 0
    this.holders.handleSuspension(now)
  }

  private handleLeaseExpiry (now: number): void {
    const endedAt = this.ownShareEndsAt
    for (const { share } of this.teams.values()) share.advance(now, endedAt)
    this.appliedOwnPart = 0
    this.holders.stopHolding(now)
  }

  /** Recomputes every team's own share after the number of holders has changed. */
  private applyOwnPart (now: number): void {
    const part = this.holders.isHolding && this.ownShareEndsAt > now ? 1 / this.holders.count : 0
    if (part === this.appliedOwnPart) return
    for (const escrowTeam of this.teams.values()) {
      escrowTeam.share.advance(now, this.appliedOwnPart === 0 ? -Infinity : Infinity)
      escrowTeam.share.setOwnShare(escrowTeam.regionShare * part)
    }
    this.appliedOwnPart = part
  }

  private applyDueShareIncreases (now: number): void {
    for (const escrowTeam of this.teams.values()) {
      if (!escrowTeam.applyDueShareIncrease(now)) continue
      escrowTeam.share.advance(now, this.ownShareEndsAt)
      escrowTeam.share.setOwnShare(escrowTeam.regionShare * this.appliedOwnPart)
    }
  }

  /** Whether this VM's loans stay within its own part with a joining VM counted; if not, caps lending. */
  private loansFitWith (joining: VmId, now: number): boolean {
    const part = 1 / (this.holders.counts(joining) ? this.holders.count : this.holders.count + 1)
    const fits = this.loanManager.fits(part, now)
    if (!fits) this.loanManager.capLending(part, now)
    return fits
  }

  private configureTeam (configuration: Configuration, team: TeamId, now: number): void {
    const plan = planOfTeam(configuration, team)
    if (plan === undefined) return
    const { region } = this.options.self
    const existing = this.teams.get(team)
    if (existing !== undefined) existing.setPlan(plan, region, now)
    const escrowTeam = existing ?? new EscrowTeam(plan, region, now)
    escrowTeam.share.setOwnShare(escrowTeam.regionShare * this.appliedOwnPart)
    this.teams.set(team, escrowTeam)
  }

  private take (team: TeamId, escrowTeam: EscrowTeam, tokens: number): Result<Charge, Refusal> {
    const now = this.options.clock.monotonic()
    escrowTeam.share.advance(now, this.ownShareEndsAt)
    const id = this.nextCharge
    if (escrowTeam.share.take(id, tokens)) {
      this.nextCharge += 1
      return Result.ok({ id, team, tokens })
    }
    const wait = Math.min(escrowTeam.share.millisecondsUntil(tokens), maximumRetryAfterMilliseconds)
    return Result.err(refuse(RefusalReason.RateExceeded, `team "${team}" is over its rate`, {
      retryAfterMilliseconds: wait
    }))
  }

  private serveWaiters (now: number): void {
    for (const [team, escrowTeam] of this.teams) {
      if (escrowTeam.waiters.length > 0) escrowTeam.waiters.serve(now, (tokens) => this.take(team, escrowTeam, tokens))
    }
  }

  /** Deletes teams that have left the configuration and have no loans. */
  private deleteDepartedTeams (): void {
    for (const [team, escrowTeam] of this.teams) {
      if (!escrowTeam.isConfigured && escrowTeam.share.isIdle && this.configuration?.teams.has(team) !== true) this.teams.delete(team)
    }
  }
}
