/**
 * The upstreams that this VM knows, kept in step with their announcements. An
 * upstream counts as cold for a time if it appears while the VM runs, restarts
 * under the same id, or returns from an evacuation.
 */

import { millisecondsPerSecond } from '@cuminvale/common'
import { UpstreamBelief } from './upstreamBelief.js'
import type { Clock, FailureDomainId, RegionId, UpstreamId } from '@cuminvale/common'
import type { ReportShape } from './upstreamBelief.js'
import type { AnnouncedUpstream, ServiceName, ServiceShape } from './types.js'

export interface UpstreamBoardOptions {
  readonly clock: Clock
  readonly regionOf: (domain: FailureDomainId) => RegionId | undefined
  readonly shapeOf: (service: ServiceName) => ServiceShape | undefined
  readonly reportShape?: ReportShape
}

export interface BoardChange {
  readonly added: readonly UpstreamId[]
  readonly removed: readonly UpstreamId[]
  readonly leaving: readonly UpstreamId[]
}

/** Added to the announced cold time, which may be up to one heartbeat old. */
const coldMarginMilliseconds = 1_200
/** Added to the cold time after an evacuation, since the upstreams may have become cold at any time until its end. */
const evacuationColdMarginMilliseconds = 1_500

export class UpstreamBoard {
  private readonly beliefs = new Map<UpstreamId, UpstreamBelief>()
  private evacuated: ReadonlySet<FailureDomainId> = new Set()
  private isSettled = false

  constructor (private readonly options: UpstreamBoardOptions) {}

  find (id: UpstreamId): UpstreamBelief | undefined {
    return this.beliefs.get(id)
  }

  get all (): Iterable<UpstreamBelief> {
    return this.beliefs.values()
  }

  isEvacuated (domain: FailureDomainId): boolean {
    return this.evacuated.has(domain)
  }

  /** Upstreams of a service and region that accept new work. */
  usable (service: ServiceName, region: RegionId): readonly UpstreamBelief[] {
    const found: UpstreamBelief[] = []
    for (const belief of this.beliefs.values()) {
      const { announced } = belief
      if (announced.service !== service || announced.isLeaving || belief.isReplaced) continue
      if (this.evacuated.has(announced.failureDomain) || this.options.regionOf(announced.failureDomain) !== region) continue
      found.push(belief)
    }
    return found
  }

  /** Applies the announced upstreams and the evacuated failure domains. */
  sync (announced: readonly AnnouncedUpstream[], evacuated: ReadonlySet<FailureDomainId>): BoardChange {
    const added: UpstreamId[] = []
    const leaving: UpstreamId[] = []
    const listed = new Set<UpstreamId>()
    for (const upstream of announced) {
      listed.add(upstream.id)
      const held = this.beliefs.get(upstream.id)
      if (held === undefined || isNewRun(held.announced, upstream)) {
        this.add(upstream)
        added.push(upstream.id)
        continue
      }
      if (upstream.isLeaving && !held.announced.isLeaving) leaving.push(upstream.id)
      held.announced = upstream
      this.noteCold(held, upstream.coldMilliseconds)
    }
    const removed = [...this.beliefs.keys()].filter((id) => !listed.has(id))
    for (const id of removed) this.beliefs.delete(id)
    this.adoptEvacuations(evacuated)
    this.isSettled = true
    return { added, removed, leaving }
  }

  /** Treats an upstream that was unreachable and answers again as just started. */
  returned (belief: UpstreamBelief): void {
    belief.becomeCold(this.coldMilliseconds(belief.announced.service))
    belief.forgetParts()
  }

  private add (upstream: AnnouncedUpstream): void {
    const belief = new UpstreamBelief(this.options.clock, upstream, this.options.reportShape)
    this.beliefs.set(upstream.id, belief)
    this.noteCold(belief, upstream.coldMilliseconds)
    if (this.isSettled) belief.becomeCold(this.coldMilliseconds(upstream.service))
  }

  private noteCold (belief: UpstreamBelief, milliseconds: number): void {
    if (milliseconds > 0) belief.becomeCold(milliseconds + coldMarginMilliseconds)
  }

  private adoptEvacuations (evacuated: ReadonlySet<FailureDomainId>): void {
    for (const belief of this.beliefs.values()) {
      const domain = belief.announced.failureDomain
      if (this.evacuated.has(domain) && !evacuated.has(domain)) {
        belief.becomeCold(this.coldMilliseconds(belief.announced.service) + evacuationColdMarginMilliseconds)
      }
    }
    this.evacuated = evacuated
  }

  private coldMilliseconds (service: ServiceName): number {
    const shape = this.options.shapeOf(service)
    return shape === undefined || shape.coldRequestsPerSecond <= 0 ? 0 : shape.coldSeconds * millisecondsPerSecond
  }
}

const isNewRun = (held: AnnouncedUpstream, upstream: AnnouncedUpstream): boolean =>
  held.startedAt !== upstream.startedAt || held.host !== upstream.host || held.port !== upstream.port
