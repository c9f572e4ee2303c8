/**
 * Interface of the queues in front of a VM's upstreams.
 */

import type { PriorityClass, Refusal, RequestId, TeamId } from '@cuminvale/common'

/** A request waiting for an upstream. */
export interface QueuedRequest {
  readonly id: RequestId
  readonly team: TeamId
  /** Name of the set of upstreams that can run the request. Requests of other pools never block it. */
  readonly pool: string
  readonly priority: PriorityClass
  /** Share of the queue relative to other teams. */
  readonly weight: number
  /** Maximum number of tokens the request may use. */
  readonly cost: number
  /** Monotonic milliseconds. */
  readonly enqueuedAt: number
  readonly deadlineAt: number
}

export interface ShedRequest<Request extends QueuedRequest> {
  readonly request: Request
  readonly refusal: Refusal
}

export interface AdmissionQueue<Request extends QueuedRequest> {
  /** Adds a request. Returns the requests shed in consequence, which may include the request itself. */
  enqueue (request: Request): ReadonlyArray<ShedRequest<Request>>
  /** Removes and returns the next request that can be dispatched. */
  dequeue (canDispatch: (request: Request) => boolean): Request | undefined
  /** Removes a request whose caller has disconnected; returns whether it was queued. */
  remove (id: RequestId): boolean
  /** Removes and returns the requests whose deadline has passed. */
  expire (): ReadonlyArray<ShedRequest<Request>>
  /** Number of requests waiting for upstreams of a pool. */
  waitingCount (pool: string): number
  /** Monotonic time since which a team has continuously had requests waiting in a pool. */
  waitingSince (pool: string, team: TeamId): number | undefined
  /** Expected milliseconds until all requests waiting in a pool are dispatched, at its measured rate. */
  expectedWaitMilliseconds (pool: string): number
  readonly length: number
}
