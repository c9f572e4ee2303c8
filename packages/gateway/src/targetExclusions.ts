/**
 * Upstreams, VMs and regions that one request is not sent to again. A region is
 * excluded only with a second VM of it, or if its first one answers for all.
 */

import { RefusalReason } from '@cuminvale/common'
import type { Refusal, RegionId, UpstreamId, VmId } from '@cuminvale/common'
import type { ExcludedTargets } from './attemptStarter.js'
import type { Attempt, ForwardAttempt } from './attempts.js'

export class TargetExclusions implements ExcludedTargets {
  readonly upstreams = new Set<UpstreamId>()
  readonly vms = new Set<VmId>()
  readonly regions = new Set<RegionId>()
  /** Regions of which one VM is excluded. */
  private readonly triedRegions = new Set<RegionId>()

  /** Excludes the target of an attempt; of a forward, all VMs of the region. */
  add (attempt: Attempt): void {
    if (attempt.kind === 'local') this.upstreams.add(attempt.upstream.announced.id)
    else this.regions.add(attempt.region)
  }

  /** Excludes the target of an attempt that wasn't sent; of a forward, that VM. Returns whether a region is excluded with it. */
  addUnsent (attempt: Attempt): boolean {
    if (attempt.kind === 'local') {
      this.add(attempt)
      return false
    }
    this.addVm(attempt)
    return this.regions.has(attempt.region)
  }

  /** Excludes a VM that refused a forward, or all of its region if others there would refuse it too. */
  addRefusing (attempt: ForwardAttempt, { reason }: Refusal): void {
    if (reason === RefusalReason.UpstreamsUnreached || reason === RefusalReason.Draining) this.addVm(attempt)
    else this.add(attempt)
  }

  private addVm ({ vm, region }: ForwardAttempt): void {
    this.vms.add(vm)
    if (this.triedRegions.has(region)) this.regions.add(region)
    this.triedRegions.add(region)
  }

  /** Lets the request go back to the target of an attempt. */
  remove (attempt: Attempt): void {
    if (attempt.kind === 'local') this.upstreams.delete(attempt.upstream.announced.id)
    else this.regions.delete(attempt.region)
  }
}
