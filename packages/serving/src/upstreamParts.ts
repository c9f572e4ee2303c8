/**
 * Long prompt parts that the upstreams of a region have read recently, whichever
 * VM sent them. A VM that starts receives them, so that it does not have them
 * read again at other upstreams. Parts may arrive before their upstream is
 * known.
 */

import { RecentParts } from './recentParts.js'
import type { Clock, UpstreamId } from '@cuminvale/common'
import type { PromptPartId } from './types.js'

/** Each long part takes thousands of tokens of an upstream's memory, which holds a few dozen such parts. */
const maximumPartsPerUpstream = 128

export class UpstreamParts {
  private readonly parts = new Map<UpstreamId, RecentParts>()

  constructor (private readonly clock: Clock) {}

  add (upstream: UpstreamId, ids: Iterable<PromptPartId>): void {
    const recentParts = this.parts.get(upstream) ?? new RecentParts(this.clock, maximumPartsPerUpstream)
    recentParts.add(ids)
    this.parts.set(upstream, recentParts)
  }

  of (upstream: UpstreamId): readonly PromptPartId[] {
    return this.parts.get(upstream)?.all ?? []
  }

  forget (upstream: UpstreamId): void {
    this.parts.delete(upstream)
  }

  get all (): ReadonlyArray<readonly [UpstreamId, readonly PromptPartId[]]> {
    return [...this.parts].map(([upstream, parts]) => [upstream, parts.all] as const).filter(([, ids]) => ids.length > 0)
  }
}
