/**
 * Keeps copies of recorded order outcomes on peers, in other failure domains if
 * any peer there is reachable. Looks the copies up if the incarnation that
 * minted a ticket is unreachable.
 */

import type { Clock, VmId } from '@cuminvale/common'
import { OrderFinding } from '@cuminvale/messages'
import type {
  OrderAsk, OrderCopy, OrderMessage, OutboundMessage, PeerIdentity, PeerProtocol, RecordedAnswer, UsedTickets
} from '@cuminvale/messages'
import {
  copyCapacityBytes, copyRetryIntervalMilliseconds, recallTickIntervalMilliseconds, recallTimeoutMilliseconds, unconfirmedCopyCapacity
} from './constants.js'
import { CopyStore } from './copyStore.js'
import { holdersToAsk, rankHolders } from './copyHolders.js'
import { digestTicket } from './ticket.js'
import type { CopyPeer } from './copyHolders.js'
import type { FoundOutcome } from './copyStore.js'
import type { ParsedTicket } from './ticket.js'

export interface OrderCopiesOptions {
  readonly clock: Clock
  readonly self: PeerIdentity
  /** All listed VMs except this one. */
  readonly peers: () => readonly CopyPeer[]
  readonly copyCount: number
}

interface PendingRecall {
  readonly awaited: Set<VmId>
  readonly deadlineAt: number
  readonly outcome: Promise<FoundOutcome>
  readonly settle: (found: FoundOutcome) => void
}

export interface Recall {
  readonly outbound: readonly OutboundMessage[]
  readonly outcome: Promise<FoundOutcome>
}

interface UnconfirmedCopy {
  readonly message: OrderCopy
  sentAt: number
}

interface PendingClose {
  readonly used: UsedTickets
  readonly settle: () => void
  isConfirmed: boolean
  sentAt: number
}

/**
 * Messages of a leaving VM. `held` resolves once no copy awaits confirmation and a
 * holder has confirmed the close, or at once if no holder is reachable.
 */
export interface HandOver {
  readonly outbound: readonly OutboundMessage[]
  readonly held: Promise<void>
}

const nothingFound: FoundOutcome = { finding: OrderFinding.None }

export class OrderCopies implements PeerProtocol<OrderMessage> {
  readonly tickMilliseconds = recallTickIntervalMilliseconds
  private readonly store: CopyStore
  private readonly recalls = new Map<string, PendingRecall>()
  private readonly unconfirmed = new Map<string, UnconfirmedCopy>()
  private pendingClose: PendingClose | undefined

  constructor (private readonly options: OrderCopiesOptions) {
    this.store = new CopyStore(options.clock, copyCapacityBytes)
  }

  get stateBytes (): number {
    return this.store.stateBytes
  }

  /**
   * Returns the messages that copy a recorded answer of this incarnation to the
   * holders. They are repeated until a holder confirms the copy, or newer
   * unconfirmed copies displace it.
   */
  copy (parsed: ParsedTicket, answer: RecordedAnswer): readonly OutboundMessage[] {
    const now = this.options.clock.monotonic()
    const message: OrderCopy = {
      kind: 'orders.copy',
      ticketDigest: digestTicket(parsed),
      remainingMilliseconds: Math.max(0, parsed.ticket.expiresAt - now),
      answer
    }
    this.unconfirmed.set(message.ticketDigest, { message, sentAt: now })
    this.dropOldestUnconfirmed()
    return this.messagesToHolders(message)
  }

  /** Looks up the outcome of a ticket that another incarnation minted, in local copies first and then on peers. */
  recall (parsed: ParsedTicket): Recall {
    const { vm, incarnation, counter } = parsed.ticket
    const wanted = { ticketDigest: digestTicket(parsed), incarnation, counter }
    const local = this.store.find(wanted)
    if (local.finding !== OrderFinding.None) return { outbound: [], outcome: Promise.resolve(local) }
    const pending = this.recalls.get(wanted.ticketDigest)
    if (pending !== undefined) return { outbound: [], outcome: pending.outcome }
    const asked = this.peersToAsk(vm)
    if (asked.length === 0) return { outbound: [], outcome: Promise.resolve(nothingFound) }
    const message: OrderAsk = { kind: 'orders.ask', ...wanted }
    const found = this.startRecall(wanted.ticketDigest, asked)
    return { outbound: asked.map(({ vm: to }) => ({ to, message })), outcome: found }
  }

  /**
   * Tells holders which tickets of this incarnation were used. Its other tickets
   * above `forgottenThrough` are then known not to have run.
   */
  close (used: UsedTickets): HandOver {
    let settle = (): void => {}
    const held = new Promise<void>((resolve) => { settle = resolve })
    const outbound = this.messagesToHolders({ kind: 'orders.close', used })
    this.pendingClose = { used, settle, isConfirmed: false, sentAt: this.options.clock.monotonic() }
    if (outbound.length === 0) settle()
    return { outbound, held }
  }

  receive (from: PeerIdentity, message: OrderMessage): readonly OutboundMessage[] {
    switch (message.kind) {
      case 'orders.copy':
        this.store.put(message)
        return [{ to: from.vm, message: { kind: 'orders.copied', ticketDigest: message.ticketDigest } }]
      case 'orders.copied':
        this.unconfirmed.delete(message.ticketDigest)
        this.settleCloseIfComplete()
        return []
      case 'orders.close':
        this.store.close(from.incarnation, message.used)
        return [{ to: from.vm, message: { kind: 'orders.closed' } }]
      case 'orders.closed':
        if (this.pendingClose !== undefined) this.pendingClose.isConfirmed = true
        this.settleCloseIfComplete()
        return []
      case 'orders.ask':
        return [{ to: from.vm, message: this.answerAsk(message) }]
      case 'orders.tell':
        this.receiveFinding(from.vm, message.ticketDigest, message)
        return []
    }
  }

  tick (): readonly OutboundMessage[] {
    const now = this.options.clock.monotonic()
    this.store.removeExpired()
    for (const [ticketDigest, recall] of this.recalls) {
      if (recall.deadlineAt <= now) this.settleRecall(ticketDigest, nothingFound)
    }
    return [...this.resendCopies(now), ...this.resendClose(now)]
  }

  private resendCopies (now: number): readonly OutboundMessage[] {
    const due = [...this.unconfirmed.values()].filter(({ sentAt }) => now - sentAt >= copyRetryIntervalMilliseconds)
    return due.flatMap((copy) => {
      copy.sentAt = now
      return this.messagesToHolders(copy.message)
    })
  }

  private resendClose (now: number): readonly OutboundMessage[] {
    const { pendingClose } = this
    if (pendingClose === undefined || pendingClose.isConfirmed || now - pendingClose.sentAt < copyRetryIntervalMilliseconds) return []
    pendingClose.sentAt = now
    return this.messagesToHolders({ kind: 'orders.close', used: pendingClose.used })
  }

  private settleCloseIfComplete (): void {
    if (this.pendingClose?.isConfirmed === true && this.unconfirmed.size === 0) this.pendingClose.settle()
  }

  /** Dropping an unconfirmed copy can only make an outcome unknown. */
  private dropOldestUnconfirmed (): void {
    const oldest = this.unconfirmed.keys().next()
    if (this.unconfirmed.size > unconfirmedCopyCapacity && oldest.done !== true) this.unconfirmed.delete(oldest.value)
  }

  private holders (): readonly CopyPeer[] {
    const { self, peers, copyCount } = this.options
    return rankHolders(self, peers()).filter(({ reachable }) => reachable).slice(0, copyCount)
  }

  private messagesToHolders (message: OrderMessage): readonly OutboundMessage[] {
    return this.holders().map(({ vm }) => ({ to: vm, message }))
  }

  /** The holders of a minting VM that is no longer listed are ranked as if it were in this VM's region and failure domain. */
  private peersToAsk (mintingVm: VmId): readonly CopyPeer[] {
    const { self, peers } = this.options
    const all = peers()
    return holdersToAsk(all.find(({ vm }) => vm === mintingVm) ?? { ...self, vm: mintingVm }, all)
  }

  private answerAsk (ask: OrderAsk): OrderMessage {
    return { kind: 'orders.tell', ticketDigest: ask.ticketDigest, ...this.store.find(ask) }
  }

  private startRecall (ticketDigest: string, asked: readonly CopyPeer[]): Promise<FoundOutcome> {
    let settle = (_: FoundOutcome): void => {}
    const found = new Promise<FoundOutcome>((resolve) => { settle = resolve })
    const awaited = new Set(asked.map(({ vm }) => vm))
    const deadlineAt = this.options.clock.monotonic() + recallTimeoutMilliseconds
    this.recalls.set(ticketDigest, { awaited, deadlineAt, outcome: found, settle })
    return found
  }

  private receiveFinding (from: VmId, ticketDigest: string, reported: FoundOutcome): void {
    const recall = this.recalls.get(ticketDigest)
    if (recall?.awaited.delete(from) !== true) return
    if (reported.finding !== OrderFinding.None) return this.settleRecall(ticketDigest, reported)
    if (recall.awaited.size === 0) this.settleRecall(ticketDigest, nothingFound)
  }

  private settleRecall (ticketDigest: string, found: FoundOutcome): void {
    this.recalls.get(ticketDigest)?.settle(found)
    this.recalls.delete(ticketDigest)
  }
}
