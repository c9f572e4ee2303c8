/**
 * The waiting requests of each team over all pools of a VM. When the queue is
 * full, requests are shed from the team with the most waiting tokens relative to
 * its weight.
 */

import type { TeamId } from '@cuminvale/common'
import { IndexedHeap } from './indexedHeap.js'
import { IndexedList } from './indexedList.js'
import type { QueuedRequest } from './types.js'

interface TeamLoad<Request> {
  readonly team: TeamId
  readonly waiting: IndexedList<Request>
  tokens: number
}

export class TeamLoads<Request extends QueuedRequest> {
  private readonly loads = new Map<TeamId, TeamLoad<Request>>()
  private readonly byWeightedTokens = new IndexedHeap<TeamLoad<Request>>()

  add (request: Request): void {
    const load = this.loads.get(request.team) ?? { team: request.team, waiting: new IndexedList<Request>(), tokens: 0 }
    this.loads.set(request.team, load)
    load.waiting.push(request)
    load.tokens += request.cost
    this.byWeightedTokens.set(load, -load.tokens / request.weight)
  }

  delete (request: Request): void {
    const load = this.loads.get(request.team)
    if (load?.waiting.delete(request) !== true) return
    load.tokens -= request.cost
    if (load.waiting.size > 0) {
      this.byWeightedTokens.set(load, -load.tokens / request.weight)
      return
    }
    this.loads.delete(request.team)
    this.byWeightedTokens.remove(load)
  }

  countOf (team: TeamId): number {
    return this.loads.get(team)?.waiting.size ?? 0
  }

  tokensOf (team: TeamId): number {
    return this.loads.get(team)?.tokens ?? 0
  }

  /** The newest request of the team with the most waiting tokens relative to its weight. */
  nextToShed (): Request | undefined {
    return this.byWeightedTokens.peek()?.waiting.last()
  }
}
