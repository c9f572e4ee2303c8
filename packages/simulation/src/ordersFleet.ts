/**
 * VMs that serve orders with the real ticket mints, ledgers, policies and copies
 * of outcomes, between simulated callers and an upstream that counts runs. The
 * fleet records every outcome reported to callers and fails on a contradiction.
 */

import { Result } from 'true-myth'
import {
  Outcome, RefusalReason, SeededRandom, pickOne, refuse, toFailureDomainId, toIncarnationId, toRegionId, toTeamId, toVmId
} from '@cuminvale/common'
import { OrderFinding } from '@cuminvale/messages'
import { OrderCopies, OrderPolicy, OrderLedger, OrderStep, TicketMint, parseTicket } from '@cuminvale/orders'
import type { IncarnationId, Random, Refusal, VmId } from '@cuminvale/common'
import type { PeerIdentity, PeerProtocol } from '@cuminvale/messages'
import type { CopyPeer, OrderResult, OrderSender, ParsedTicket } from '@cuminvale/orders'
import { FakeCalls } from './fakeCalls.js'
import { FakeLink } from './fakeLink.js'
import { OrderHistoryChecker } from './orderHistoryChecker.js'
import { VirtualClock } from './virtualClock.js'
import { VmClock } from './vmClock.js'
import type { FakeVm } from './fakeLink.js'
import type { ReportedOutcome } from './orderHistoryChecker.js'

export interface OrdersFleetOptions {
  readonly seed: number
  readonly vmCount: number
  readonly copyCount: number
  readonly ledgerCapacity: number
}

interface OrderVm extends FakeVm {
  readonly mint: TicketMint
  readonly ledger: OrderLedger
  readonly gate: OrderPolicy
  readonly copies: OrderCopies
}

interface TicketPresentation {
  readonly ticketText: string
  readonly hops: number
  readonly runOnBehalfOf?: OrderSender
}

export const ordersTicketLifetimeMilliseconds = 20_000
const team = toTeamId('binders')
const requestDigest = 'order'
const callTimeoutMilliseconds = 1_000
const longestDelayMilliseconds = 400
const maximumUpstreamMilliseconds = 300
const listLagMilliseconds = 800
const stepMilliseconds = 25
const microtaskRounds = 12
const refusedShare = 0.1
const connectFailedShare = 0.1
const forwardedShare = 0.3

const identityOf = (index: number, incarnation: number): PeerIdentity => ({
  vm: toVmId(`vm-${index}`),
  incarnation: toIncarnationId(`i-${index}-${incarnation}`),
  region: toRegionId(index % 2 === 0 ? 'veneto' : 'emilia'),
  failureDomain: toFailureDomainId(`fd-${index}`)
})

const unknownOutcome = (): Refusal => refuse(RefusalReason.OutcomeUnknown, 'no answer', { outcome: Outcome.Unknown })

export class OrdersFleet {
  readonly clock = new VirtualClock()
  readonly random: Random = { next: () => this.generator.next() }
  readonly link: FakeLink
  readonly historyChecker = new OrderHistoryChecker()
  readonly vms: OrderVm[] = []
  /** Share of upstream answers that are lost. */
  lostAnswerShare = 0
  private readonly calls: FakeCalls
  /** Incarnation of each VM as the other VMs know it. */
  private readonly known = new Map<VmId, IncarnationId>()
  private generator: SeededRandom
  private incarnationCount = 0

  constructor (private readonly options: OrdersFleetOptions) {
    const { clock } = this
    this.generator = new SeededRandom(options.seed)
    this.link = new FakeLink({ clock, random: this.random, localDelayMilliseconds: 1, interRegionDelayMilliseconds: 55 })
    this.calls = new FakeCalls({ clock, random: this.random, link: this.link, longestDelayMilliseconds })
    for (let index = 0; index < options.vmCount; index += 1) this.start(index)
  }

  /** Replaces the random generator by one with another seed. */
  reseed (seed: number): void {
    this.generator = new SeededRandom(seed)
  }

  /** Starts a VM, or restarts it as a new incarnation that the other VMs learn of after a lag. */
  start (index: number): void {
    this.incarnationCount += 1
    const identity = identityOf(index, this.incarnationCount)
    const clock = new VmClock({ base: this.clock, wallOffsetMilliseconds: this.random.next() * 10_000 })
    const mint = new TicketMint({
      clock, vm: identity.vm, incarnation: identity.incarnation, lifetimeMilliseconds: ordersTicketLifetimeMilliseconds
    })
    const ledger = new OrderLedger({ clock, capacity: this.options.ledgerCapacity })
    const gate = new OrderPolicy({ mint, ledger, peer: (vm) => this.peerOf(identity.vm, vm) })
    const copies = new OrderCopies({
      clock, self: identity, peers: () => this.peersOf(identity), copyCount: this.options.copyCount
    })
    const protocols = new Map([['orders' as const, copies as PeerProtocol<never>]])
    const vm: OrderVm = { identity, mint, ledger, gate, copies, protocols }
    this.vms[index] = vm
    this.link.attach(vm)
    this.clock.schedule(this.known.has(identity.vm) ? listLagMilliseconds : 0, () => this.known.set(identity.vm, identity.incarnation))
  }

  crash (index: number): void {
    this.link.detach(this.at(index).identity.vm)
  }

  /** Shuts a VM down in order: it hands over the records of used tickets, then stops. */
  async leave (index: number): Promise<void> {
    const vm = this.at(index)
    const { outbound, held } = vm.copies.close(vm.ledger.close())
    this.link.send(vm, outbound)
    const crashed = held.then(() => { if (this.isAlive(vm)) this.crash(index) })
    await Promise.race([crashed, this.settlePromises()])
  }

  mint (index: number): string {
    return this.at(index).mint.mint(team)
  }

  /** Presents a caller's ticket to a VM. Resolves with the reported outcome; never settles if the VM crashes. */
  present (index: number, ticketText: string): Promise<ReportedOutcome> {
    return this.serveCaller(index, ticketText, async (vm) => await this.serve(vm, { ticketText, hops: 0 }))
  }

  /** Makes a VM refuse a caller's request while the VM is still reading it. */
  refuseEarly (index: number, ticketText: string): Promise<ReportedOutcome> {
    const refusal = refuse(RefusalReason.RequestInvalid, 'malformed')
    return this.serveCaller(index, ticketText, (vm) => Promise.resolve(Result.err(vm.gate.refusalBeforeDecision(ticketText, team, refusal))))
  }

  /** Advances the clock in steps and lets promises settle after each step. */
  async advance (milliseconds: number): Promise<void> {
    for (let elapsedMilliseconds = 0; elapsedMilliseconds < milliseconds; elapsedMilliseconds += stepMilliseconds) {
      this.clock.advance(Math.min(stepMilliseconds, milliseconds - elapsedMilliseconds))
      await this.settlePromises()
      this.historyChecker.check()
    }
  }

  /** Lets pending promises settle. */
  async settlePromises (): Promise<void> {
    for (let round = 0; round < microtaskRounds; round += 1) await Promise.resolve()
  }

  private serveCaller (index: number, ticketText: string, serve: (vm: OrderVm) => Promise<OrderResult>): Promise<ReportedOutcome> {
    const vm = this.at(index)
    return new Promise((resolve) => {
      if (!this.isAlive(vm)) return
      this.link.runOn(vm.identity.vm, () => {
        serve(vm).then((result) => resolve(this.historyChecker.recordReport(ticketText, result)), (error: unknown) => this.historyChecker.failed(error))
      })
    })
  }

  private async serve (vm: OrderVm, presentation: TicketPresentation): Promise<OrderResult> {
    const parsed = parseTicket(presentation.ticketText)
    if (parsed.isNothing) return Result.err(refuse(RefusalReason.TicketInvalid, 'malformed'))
    const ticket = parsed.value
    const { hops, runOnBehalfOf: runFor } = presentation
    const decision = vm.gate.decide({ ticket, team, requestDigest, hops, ...(runFor === undefined ? {} : { runOnBehalfOf: runFor }) })
    switch (decision.step) {
      case OrderStep.Run: return await this.runAndRecord(vm, ticket, presentation.ticketText)
      case OrderStep.Repeat: return await decision.result
      case OrderStep.RunForMinter: return await this.callUpstream(vm, presentation.ticketText)
      case OrderStep.Forward: return await this.forward(vm, decision.to, { ...presentation, hops: 1 }) ?? await this.recall(vm, ticket)
      case OrderStep.Recall: return await this.recall(vm, ticket)
      case OrderStep.Refuse: return Result.err(decision.refusal)
    }
  }

  private async forward (vm: OrderVm, to: VmId, presentation: TicketPresentation): Promise<OrderResult | undefined> {
    return await this.calls.send({
      from: vm.identity.vm,
      to,
      isSenderAlive: () => this.isAlive(vm),
      timeoutMilliseconds: callTimeoutMilliseconds,
      serve: async () => {
        const receiver = this.vms.find(({ identity }) => identity.vm === to)
        if (receiver === undefined) throw new Error(`no VM ${to}`)
        return await this.serve(receiver, presentation)
      }
    })
  }

  private async recall (vm: OrderVm, ticket: ParsedTicket): Promise<OrderResult> {
    const { outbound, outcome: found } = vm.copies.recall(ticket)
    this.link.send(vm, outbound)
    const { finding, answer } = await found
    if (finding === OrderFinding.Done && answer !== undefined) return Result.ok(answer)
    return Result.err(finding === OrderFinding.NotRun ? refuse(RefusalReason.TicketSealed, 'never used') : unknownOutcome())
  }

  private async runAndRecord (vm: OrderVm, ticket: ParsedTicket, ticketText: string): Promise<OrderResult> {
    const result = await this.runOnce(vm, ticket, ticketText)
    vm.ledger.recordResult(ticket.ticket, result)
    if (result.isOk) this.link.send(vm, vm.copies.copy(ticket, result.value))
    return result
  }

  private async runOnce (vm: OrderVm, ticket: ParsedTicket, ticketText: string): Promise<OrderResult> {
    if (this.random.next() < refusedShare) return Result.err(refuse(RefusalReason.RateExceeded, 'over rate'))
    vm.ledger.markSent(ticket.ticket)
    if (this.random.next() < connectFailedShare) {
      vm.ledger.retractSend(ticket.ticket)
      vm.ledger.markSent(ticket.ticket)
    }
    if (this.random.next() >= forwardedShare) return await this.callUpstream(vm, ticketText)
    const to = pickOne(this.vms.filter((other) => other !== vm), this.random)?.identity.vm ?? vm.identity.vm
    const { vm: name, incarnation } = vm.identity
    const result = await this.forward(vm, to, { ticketText, hops: 1, runOnBehalfOf: { vm: name, incarnation } }) ?? Result.err(unknownOutcome())
    if (result.isErr && result.error.outcome === Outcome.NotRun) vm.ledger.retractSend(ticket.ticket)
    return result
  }

  /** Sends the order to the upstream, which runs it even if nobody waits for its answer any more. */
  private async callUpstream (vm: OrderVm, ticketText: string): Promise<OrderResult> {
    return await new Promise((resolve) => {
      this.clock.schedule(this.random.next() * maximumUpstreamMilliseconds, () => {
        const body = this.historyChecker.recordRun(ticketText)
        if (this.random.next() < this.lostAnswerShare || !this.isAlive(vm)) return
        this.link.runOn(vm.identity.vm, () => resolve(Result.ok({ status: 200, contentType: 'text/plain', body })))
      })
      this.clock.schedule(callTimeoutMilliseconds, () => {
        if (this.isAlive(vm)) this.link.runOn(vm.identity.vm, () => resolve(Result.err(unknownOutcome())))
      })
    })
  }

  private at (index: number): OrderVm {
    return this.vms[index] as OrderVm
  }

  private isAlive (vm: OrderVm): boolean {
    return this.vms.includes(vm) && this.link.isAttached(vm.identity.vm)
  }

  private peerOf (self: VmId, vm: VmId): { readonly reachable: boolean, readonly incarnation?: IncarnationId } | undefined {
    const incarnation = this.known.get(vm)
    return incarnation === undefined ? undefined : { reachable: !this.link.isCut(self, vm) && this.link.isAttached(vm), incarnation }
  }

  private peersOf (self: PeerIdentity): readonly CopyPeer[] {
    return this.vms
      .filter(({ identity }) => identity.vm !== self.vm)
      .map(({ identity }) => ({ ...identity, reachable: this.peerOf(self.vm, identity.vm)?.reachable === true }))
  }
}
