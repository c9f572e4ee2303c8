/**
 * Baseline limiter: one VM owns a team's whole bucket, and every other VM asks
 * it for each request. The owner is chosen by rendezvous hashing over the
 * reachable VMs. If two VMs see different fleets, both may own a team's bucket.
 */

import { Result } from 'true-myth'
import { RefusalReason, refuse, rendezvousScore } from '@cuminvale/common'
import { planOfTeam } from '@cuminvale/documents'
import type { Clock, Refusal, TeamId, VmId } from '@cuminvale/common'
import type { Configuration } from '@cuminvale/documents'
import type { LimitAsk, LimitMessage, OutboundMessage, PeerIdentity, PeerProtocol } from '@cuminvale/messages'
import { maximumLoanWaitMilliseconds } from './constants.js'
import { TokenBucket } from './tokenBucket.js'
import type { LoanPeer } from './loanManager.js'
import type { Charge, ChargeCallback, TeamLimiter } from './types.js'

export interface OwnerLimiterOptions {
  readonly clock: Clock
  readonly self: PeerIdentity
  readonly peers: () => readonly LoanPeer[]
}

interface PendingCharge {
  readonly team: TeamId
  readonly tokens: number
  readonly until: number
  readonly onResult: ChargeCallback
}

const rateExceeded = (retryAfterMilliseconds: number): Result<Charge, Refusal> =>
  Result.err(refuse(RefusalReason.RateExceeded, 'the team is over its rate', { retryAfterMilliseconds }))

export class OwnerLimiter implements TeamLimiter, PeerProtocol<LimitMessage> {
  readonly tickMilliseconds = 2
  private readonly buckets = new Map<TeamId, TokenBucket>()
  private readonly pending = new Map<number, PendingCharge>()
  private outbox: OutboundMessage[] = []
  private nextId = 1

  constructor (private readonly options: OwnerLimiterOptions) {}

  configure (configuration: Configuration): void {
    const now = this.options.clock.monotonic()
    for (const team of configuration.teams.keys()) {
      const plan = planOfTeam(configuration, team)
      if (plan === undefined) continue
      const parameters = { ratePerSecond: plan.rateTokensPerSecond, capacity: plan.burstTokens }
      const bucket = this.buckets.get(team)
      if (bucket === undefined) this.buckets.set(team, new TokenBucket(parameters, now))
      else bucket.setParameters(parameters, now)
    }
  }

  /** Does nothing: the owner depends on which VMs are reachable, not on the VM list. */
  adoptList (): void {}

  charge (team: TeamId, tokens: number): Result<Charge, Refusal> {
    return this.take(team, tokens)
  }

  chargeOrWait (team: TeamId, tokens: number, onResult: ChargeCallback): void {
    const owner = this.ownerOf(team)
    if (owner === this.options.self.vm) return onResult(this.take(team, tokens))
    this.nextId += 1
    this.pending.set(this.nextId, { team, tokens, until: this.options.clock.monotonic() + maximumLoanWaitMilliseconds, onResult })
    this.outbox.push({ to: owner, message: { kind: 'limits.ask', ask: this.nextId, team, tokens } })
  }

  chargeAsync (team: TeamId, tokens: number): Promise<Result<Charge, Refusal>> {
    return new Promise((resolve) => this.chargeOrWait(team, tokens, resolve))
  }

  settle (charge: Charge, usedTokens: number): void {
    if (this.ownerOf(charge.team) !== this.options.self.vm) return
    this.buckets.get(charge.team)?.refund(Math.max(0, charge.tokens - usedTokens), this.options.clock.monotonic())
  }

  receive (from: PeerIdentity, message: LimitMessage): readonly OutboundMessage[] {
    if (message.kind === 'limits.ask') return [{ to: from.vm, message: this.answer(message) }]
    if (message.kind !== 'limits.answer') return []
    const pending = this.pending.get(message.ask)
    this.pending.delete(message.ask)
    if (pending === undefined) return []
    pending.onResult(message.granted
      ? Result.ok({ id: message.ask, team: pending.team, tokens: pending.tokens })
      : rateExceeded(message.retryAfterMilliseconds))
    return []
  }

  tick (): readonly OutboundMessage[] {
    const now = this.options.clock.monotonic()
    for (const [id, { until, onResult }] of this.pending) {
      if (until > now) continue
      this.pending.delete(id)
      onResult(rateExceeded(0))
    }
    return this.outbox.splice(0)
  }

  private answer ({ ask, team, tokens }: LimitAsk): LimitMessage {
    const taken = this.take(team, tokens)
    const retryAfterMilliseconds = taken.isErr ? taken.error.retryAfterMilliseconds ?? 0 : 0
    return { kind: 'limits.answer', ask, granted: taken.isOk, retryAfterMilliseconds }
  }

  private take (team: TeamId, tokens: number): Result<Charge, Refusal> {
    const now = this.options.clock.monotonic()
    const bucket = this.buckets.get(team)
    if (bucket?.take(tokens, now) !== true) return rateExceeded(bucket?.millisecondsUntil(tokens, now) ?? 0)
    this.nextId += 1
    return Result.ok({ id: this.nextId, team, tokens })
  }

  private ownerOf (team: TeamId): VmId {
    const { self, peers } = this.options
    return peers().reduce((best, { vm }) =>
      rendezvousScore(team, vm) > rendezvousScore(team, best) ? vm : best, self.vm)
  }
}
