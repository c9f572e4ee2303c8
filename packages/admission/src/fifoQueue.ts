/**
 * Baseline queue: first in, first out, bounded, without regard to teams.
 */

import { RefusalReason, refuse } from '@cuminvale/common'
import type { Clock, RequestId, TeamId } from '@cuminvale/common'
import type { AdmissionQueue, QueuedRequest, ShedRequest } from './types.js'

export interface FifoQueueOptions {
  readonly clock: Clock
  readonly capacity: number
}

const retryAfterMilliseconds = 1_000

export class FifoQueue<Request extends QueuedRequest> implements AdmissionQueue<Request> {
  private requests: Request[] = []

  constructor (private readonly options: FifoQueueOptions) {}

  get length (): number {
    return this.requests.length
  }

  waitingCount (pool: string): number {
    return this.requests.filter((request) => request.pool === pool).length
  }

  waitingSince (pool: string, team: TeamId): number | undefined {
    return this.requests.find((request) => request.pool === pool && request.team === team)?.enqueuedAt
  }

  expectedWaitMilliseconds (): number {
    return 0
  }

  enqueue (request: Request): ReadonlyArray<ShedRequest<Request>> {
    if (this.requests.length >= this.options.capacity) {
      return [{ request, refusal: refuse(RefusalReason.QueueFull, 'the queue is full', { retryAfterMilliseconds }) }]
    }
    this.requests.push(request)
    return []
  }

  dequeue (canDispatch: (request: Request) => boolean): Request | undefined {
    const index = this.requests.findIndex(canDispatch)
    return index < 0 ? undefined : this.requests.splice(index, 1)[0]
  }

  remove (id: RequestId): boolean {
    const index = this.requests.findIndex((request) => request.id === id)
    if (index >= 0) this.requests.splice(index, 1)
    return index >= 0
  }

  expire (): ReadonlyArray<ShedRequest<Request>> {
    const now = this.options.clock.monotonic()
    const expired = this.requests.filter((request) => request.deadlineAt <= now)
    this.requests = this.requests.filter((request) => request.deadlineAt > now)
    return expired.map((request) => ({
      request, refusal: refuse(RefusalReason.DeadlineExceeded, 'no upstream was free before the deadline')
    }))
  }
}
