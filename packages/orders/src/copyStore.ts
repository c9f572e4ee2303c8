/**
 * Copies of other VMs' order outcomes, in bounded memory. Evicting a copy only
 * makes an outcome unknown, so the oldest are evicted first.
 */

import type { Clock, IncarnationId } from '@cuminvale/common'
import type { OrderAsk, OrderCopy, RecordedAnswer, UsedTickets } from '@cuminvale/messages'
import { OrderFinding } from '@cuminvale/messages'
import { closedIncarnationCapacity, ticketLifetimeMilliseconds } from './constants.js'

interface StoredCopy {
  readonly answer: RecordedAnswer
  readonly expiresAt: number
}

interface ClosedIncarnation {
  readonly used: ReadonlySet<number>
  readonly forgottenThrough: number
  readonly expiresAt: number
}

/** What a copy store knows of an order whose minting incarnation may no longer run. */
export interface FoundOutcome {
  readonly finding: OrderFinding
  readonly answer?: RecordedAnswer
}

const nothingFound: FoundOutcome = { finding: OrderFinding.None }

export class CopyStore {
  private readonly copies = new Map<string, StoredCopy>()
  private readonly closed = new Map<IncarnationId, ClosedIncarnation>()
  private bytes = 0

  constructor (private readonly clock: Clock, private readonly capacityBytes: number) {}

  get stateBytes (): number {
    return this.bytes
  }

  put (copy: OrderCopy): void {
    if (this.copies.has(copy.ticketDigest)) return
    const lifetime = Math.min(copy.remainingMilliseconds, ticketLifetimeMilliseconds)
    this.copies.set(copy.ticketDigest, { answer: copy.answer, expiresAt: this.clock.monotonic() + lifetime })
    this.bytes += copy.answer.body.length
    this.evict()
  }

  /** Records that an incarnation has shut down in order, and which tickets it had used. */
  close (incarnation: IncarnationId, { counters, forgottenThrough }: UsedTickets): void {
    const expiresAt = this.clock.monotonic() + ticketLifetimeMilliseconds
    this.closed.set(incarnation, { used: new Set(counters), forgottenThrough, expiresAt })
    const oldest = this.closed.keys().next()
    if (this.closed.size > closedIncarnationCapacity && oldest.done !== true) this.closed.delete(oldest.value)
  }

  find (ask: Pick<OrderAsk, 'ticketDigest' | 'incarnation' | 'counter'>): FoundOutcome {
    const copy = this.copies.get(ask.ticketDigest)
    if (copy !== undefined) return { finding: OrderFinding.Done, answer: copy.answer }
    const closed = this.closed.get(ask.incarnation)
    return closed !== undefined && isUnused(closed, ask.counter) ? { finding: OrderFinding.NotRun } : nothingFound
  }

  removeExpired (): void {
    const now = this.clock.monotonic()
    for (const [digest, copy] of this.copies) {
      if (copy.expiresAt <= now) this.remove(digest, copy)
    }
    for (const [incarnation, closed] of this.closed) {
      if (closed.expiresAt <= now) this.closed.delete(incarnation)
    }
  }

  private evict (): void {
    for (const [digest, copy] of this.copies) {
      if (this.bytes <= this.capacityBytes) return
      this.remove(digest, copy)
    }
  }

  private remove (digest: string, copy: StoredCopy): void {
    this.copies.delete(digest)
    this.bytes -= copy.answer.body.length
  }
}

const isUnused = ({ used, forgottenThrough }: ClosedIncarnation, counter: number): boolean =>
  counter > forgottenThrough && !used.has(counter)
