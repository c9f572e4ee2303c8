/**
 * The requests of one team in one pool: a list for each priority class, and
 * the team's virtual time.
 */

import { PriorityClass } from '@cuminvale/common'
import type { TeamId } from '@cuminvale/common'
import { IndexedList } from './indexedList.js'
import type { QueuedRequest } from './types.js'

export class TeamBacklog<Request extends QueuedRequest> {
  /** Dispatched tokens divided by weight; the team with the lowest value is served next. */
  virtualTime = 0
  weight = 1
  /** Whether the oldest batch request has waited long enough to count as interactive. */
  isBatchPromoted = false
  tokens = 0
  /** Monotonic time of the first request after the team was last idle. */
  waitingSince = 0
  private readonly interactive = new IndexedList<Request>()
  private readonly batch = new IndexedList<Request>()

  constructor (readonly team: TeamId, private readonly agingMilliseconds: number) {}

  get size (): number {
    return this.interactive.size + this.batch.size
  }

  add (request: Request): void {
    this.listOf(request).push(request)
    this.tokens += request.cost
  }

  delete (request: Request): boolean {
    const wasOldestBatch = request === this.oldestBatch()
    if (!this.listOf(request).delete(request)) return false
    this.tokens -= request.cost
    if (wasOldestBatch) this.isBatchPromoted = false
    return true
  }

  /** Next request: interactive before batch, unless the batch request is older by more than the aging time. */
  head (): Request | undefined {
    const interactive = this.interactive.first()
    const batch = this.batch.first()
    if (interactive === undefined || batch === undefined) return interactive ?? batch
    return batch.enqueuedAt + this.agingMilliseconds < interactive.enqueuedAt ? batch : interactive
  }

  oldestBatch (): Request | undefined {
    return this.batch.first()
  }

  /** Whether the first request gets the head start of interactive requests. */
  get isUrgent (): boolean {
    const head = this.head()
    return head !== undefined && (head.priority === PriorityClass.Interactive || this.isBatchPromoted)
  }

  private listOf (request: Request): IndexedList<Request> {
    return request.priority === PriorityClass.Interactive ? this.interactive : this.batch
  }
}
