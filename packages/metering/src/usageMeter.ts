/**
 * Counts each completed request of this incarnation once, for its team and with
 * the weight of its route.
 */

import { assertInvariant } from '@cuminvale/common'
import type { RequestId, RouteName, TeamId } from '@cuminvale/common'
import type { UsageCount } from '@cuminvale/messages'
import type { UsageAccount } from './usageAccount.js'

export interface CompletedRequest {
  readonly id: RequestId
  readonly team: TeamId
  readonly route: RouteName
  readonly weight: number
  readonly tokens: number
}

export class UsageMeter {
  /** Requests that have begun and have neither completed nor been abandoned. */
  private readonly open = new Set<RequestId>()

  constructor (readonly account: UsageAccount) {}

  /** Registers a request that may complete later. */
  begin (id: RequestId): void {
    this.open.add(id)
  }

  /** Removes a request that did not complete, without counting it. */
  abandon (id: RequestId): void {
    this.open.delete(id)
  }

  complete (request: CompletedRequest): void {
    const wasOpen = this.open.delete(request.id)
    assertInvariant(wasOpen, 'counted-once', () => `request ${request.id} completed without being open`)
    if (!wasOpen) return
    this.account.add({
      team: request.team, route: request.route, requests: 1, weighted: request.weight, tokens: request.tokens
    })
  }

  snapshot (): readonly UsageCount[] {
    return this.account.changedSince(0)
  }
}
