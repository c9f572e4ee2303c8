/**
 * Queues in front of the upstreams of a VM.
 */

import type { PriorityClass, Refusal, RequestId, TeamId } from '@cuminvale/common'

/** A request that waits for an upstream. */
export interface QueuedRequest {
  readonly id: RequestId
  readonly team: TeamId
  /** Names the set of upstreams that can run the request; requests of other pools never block it. */
  readonly pool: string
  readonly priority: PriorityClass
  /** Share of the queue relative to other teams. */
  readonly weight: number
  /** Greatest number of tokens the request may use. */
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
  /** Adds a request; returns the requests that had to be shed for it, itself among them perhaps. */
  enqueue (request: Request): ReadonlyArray<ShedRequest<Request>>
  /** Removes the next request that can be dispatched now. */
  dequeue (canDispatch: (request: Request) => boolean): Request | undefined
  /** Removes a request whose caller has gone; true where it was queued. */
  remove (id: RequestId): boolean
  /** Removes the requests whose deadline has passed. */
  expire (): ReadonlyArray<ShedRequest<Request>>
  /** Requests that wait for upstreams of a pool. */
  waitingIn (pool: string): number
  /** Monotonic time since which a team has had requests waiting in a pool without a break. */
  waitingSince (pool: string, team: TeamId): number | undefined
  /** Milliseconds in which what waits in a pool should be dispatched, by its measured rate. */
  expectedWaitIn (pool: string): number
  readonly length: number
}
