/**
 * The usage counts of one incarnation of a VM, cumulative since its start. The
 * sequence is the number of requests that the incarnation has completed.
 */

import { assertInvariant } from '@cuminvale/common'
import type { IncarnationId, VmId } from '@cuminvale/common'
import type { UsageCount } from '@cuminvale/messages'

/** The state of an account, as its own VM or a holder of a copy reports it. */
export interface UsageReport {
  readonly vm: VmId
  readonly incarnation: IncarnationId
  readonly sequence: number
  /** Whether the incarnation has stopped counting, so that no later requests can be missing. */
  readonly isFinal: boolean
  readonly counts: readonly UsageCount[]
}

export type AccountId = Pick<UsageReport, 'vm' | 'incarnation'>

export const accountKey = ({ vm, incarnation }: AccountId): string => `${vm} ${incarnation}`

interface ChangedCount {
  readonly count: UsageCount
  /** Sequence of the account at the last change. */
  readonly changedAt: number
}

export class UsageAccount {
  private readonly counts = new Map<string, ChangedCount>()
  /** Number of requests counted, which is also the sequence. */
  private held = 0
  private ended = false

  constructor (readonly id: AccountId) {}

  get sequence (): number {
    return this.held
  }

  get isFinal (): boolean {
    return this.ended
  }

  get size (): number {
    return this.counts.size
  }

  /** Counts one completed request. */
  add (completed: UsageCount): void {
    const before = this.counts.get(countKey(completed))?.count
    this.held += 1
    this.setCount({
      ...completed,
      requests: (before?.requests ?? 0) + completed.requests,
      weighted: (before?.weighted ?? 0) + completed.weighted,
      tokens: (before?.tokens ?? 0) + completed.tokens
    })
  }

  end (): void {
    this.ended = true
  }

  /** Applies a copy whose base is not above the current sequence; its counts are ignored unless it is newer. */
  applyCopy (copy: UsageReport): void {
    this.ended ||= copy.isFinal
    if (copy.sequence <= this.held) return
    this.held = copy.sequence
    copy.counts.forEach((count) => this.setCount(count))
    assertInvariant(this.total === this.held, 'usage-whole',
      () => `${accountKey(this.id)} counts ${this.total} requests at sequence ${this.held}`)
  }

  changedSince (sequence: number): readonly UsageCount[] {
    return [...this.counts.values()].filter(({ changedAt }) => changedAt > sequence).map(({ count }) => count)
  }

  report (): UsageReport {
    return { ...this.id, sequence: this.held, isFinal: this.ended, counts: this.changedSince(0) }
  }

  private get total (): number {
    return [...this.counts.values()].reduce((sum, { count }) => sum + count.requests, 0)
  }

  private setCount (count: UsageCount): void {
    this.counts.set(countKey(count), { count, changedAt: this.held })
  }
}

const countKey = ({ team, route }: UsageCount): string => `${team} ${route}`
