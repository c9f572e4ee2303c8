/**
 * Decides what a VM does with an attempt to run an order, and which outcome
 * the refusal of an attempt may claim. Only the incarnation that minted a
 * ticket decides whether its order runs. Every other VM forwards the attempt,
 * runs it on behalf of the minting VM, or looks up a copy of the outcome.
 */

import { Outcome, RefusalReason, refuse } from '@cuminvale/common'
import type { IncarnationId, Refusal, TeamId, VmId } from '@cuminvale/common'
import { parseTicket } from './ticket.js'
import { OrderStep } from './types.js'
import type { OrderLedger } from './orderLedger.js'
import type { ParsedTicket, TicketMint } from './ticket.js'
import type { OrderDecision } from './types.js'

/** The VM that asks this one to run an order, as authenticated by its proof. */
export interface OrderSender {
  readonly vm: VmId
  readonly incarnation: IncarnationId
}

export interface OrderAttempt {
  readonly ticket: ParsedTicket
  readonly team: TeamId
  /** Digest of the request to run; a ticket is valid for one request only. */
  readonly requestDigest: string
  /** Number of VMs that the attempt has passed through. */
  readonly hops: number
  /** Set if another VM states that it minted the ticket and asks this one to run the order. */
  readonly runOnBehalfOf?: OrderSender
}

/** What a forwarded request states about its order. */
export interface ForwardedOrder {
  readonly ticket?: string
  readonly runsOrder?: boolean
  /** Set once the proof is verified. */
  readonly team?: TeamId
}

export interface KnownPeer {
  readonly reachable: boolean
  readonly incarnation?: IncarnationId
}

export interface OrderPolicyOptions {
  readonly mint: TicketMint
  readonly ledger: OrderLedger
  readonly peer: (vm: VmId) => KnownPeer | undefined
}

export class OrderPolicy {
  constructor (private readonly options: OrderPolicyOptions) {}

  decide (attempt: OrderAttempt): OrderDecision {
    const { ticket } = attempt.ticket
    if (this.options.mint.isOwn(ticket)) return this.decideOwn(attempt)
    if (attempt.runOnBehalfOf !== undefined) return this.decideForMinter(attempt, attempt.runOnBehalfOf)
    const peer = this.options.peer(ticket.vm)
    const isMinterReachable = peer?.reachable === true && peer.incarnation === ticket.incarnation
    if (isMinterReachable && attempt.hops === 0) return { step: OrderStep.Forward, to: ticket.vm }
    return { step: OrderStep.Recall }
  }

  /**
   * Adjusts a refusal made before `decide`, so that it claims `not-run` only if that is certain.
   * Seals the ticket if this incarnation minted it for the team.
   */
  refusalBeforeDecision (ticketText: string | undefined, team: TeamId | undefined, refusal: Refusal): Refusal {
    if (ticketText === undefined || refusal.outcome !== Outcome.NotRun) return refusal
    const parsed = parseTicket(ticketText)
    if (parsed.isNothing) return refusal
    const { ticket } = parsed.value
    const isMintedHereForTeam = this.options.mint.isOwn(ticket) && ticket.team === team
    if (isMintedHereForTeam && this.options.mint.hasValidSignature(parsed.value)) return this.options.ledger.seal(ticket, refusal)
    return { ...refusal, outcome: Outcome.Unknown }
  }

  /**
   * Adjusts the refusal of a forward for the VM that sent it. If the minting VM
   * asked for the run, it applies the refusal to that forward only. Any other
   * sender would apply it to the ticket.
   */
  refusalOfForward ({ ticket, runsOrder, team }: ForwardedOrder, refusal: Refusal): Refusal {
    return runsOrder === true ? refusal : this.refusalBeforeDecision(ticket, team, refusal)
  }

  private decideOwn ({ ticket, team, requestDigest }: OrderAttempt): OrderDecision {
    const { mint, ledger } = this.options
    if (!mint.hasValidSignature(ticket)) return ticketRefused('the ticket is forged', Outcome.NotRun)
    if (ticket.ticket.team !== team) return ticketRefused('the ticket was minted for another team', Outcome.Unknown)
    return ledger.beginAttempt(ticket.ticket, requestDigest)
  }

  /** Runs for the minting incarnation only: another incarnation with the same VM name must not start the order again. */
  private decideForMinter ({ ticket }: OrderAttempt, { vm, incarnation }: OrderSender): OrderDecision {
    const isMinter = vm === ticket.ticket.vm && incarnation === ticket.ticket.incarnation
    if (isMinter) return { step: OrderStep.RunForMinter }
    return ticketRefused('the order was not handed over by the VM that minted its ticket', Outcome.Unknown)
  }
}

const ticketRefused = (detail: string, outcome: Outcome): OrderDecision =>
  ({ step: OrderStep.Refuse, refusal: refuse(RefusalReason.TicketInvalid, detail, { outcome }) })
