/**
 * What this VM may send to upstreams that have just started, and what it logs
 * of them: since when each counts as cold and by which sign, and what was sent
 * to it.
 */

import { coldSendsPerSecond } from '@cuminvale/serving'
import type { Log } from '@cuminvale/logs'
import type { Service, ServiceName, UpstreamState, UpstreamTable } from '@cuminvale/serving'
import type { UpstreamId, VmId } from '@cuminvale/common'
import type { GatewayMetrics } from './gatewayMetrics.js'
import type { ServingBounds } from './types.js'

export interface UpstreamStartsOptions {
  readonly log: Log
  readonly metrics: GatewayMetrics
  readonly upstreams: UpstreamTable
  readonly findService: (service: ServiceName) => Service | undefined
  readonly vm: VmId
  readonly bounds: Pick<ServingBounds, 'coldOverage' | 'coldMargin'>
  /** Other VMs of the region that may be running. */
  readonly neighbours: () => readonly VmId[]
  /** VMs of the region that may be running, with an allowance for those not yet known. */
  readonly vmCount: () => number
  /** Whether this VM has been up long enough to have learned of the others. */
  readonly isSettled: () => boolean
}

export class UpstreamStarts {
  constructor (private readonly options: UpstreamStartsOptions) {}

  /** Requests per second that this VM may send to a cold upstream. */
  sharePerSecond ({ coldRequestsPerSecond }: Service, upstream: UpstreamId): number {
    const { vm, bounds, neighbours, vmCount, isSettled } = this.options
    return coldSendsPerSecond({ upstream, self: vm, neighbours, count: vmCount(), isSettled: isSettled(), maximumPerSecond: coldRequestsPerSecond * bounds.coldOverage + bounds.coldMargin })
  }

  recordCold ({ announced: { id, service, startedAt }, start: { sign, coldMilliseconds } }: UpstreamState): void {
    this.options.log.info('upstream-cold', { upstream: id, service, startedAt, sign, milliseconds: Math.round(coldMilliseconds) })
    this.options.metrics.coldUpstreams.inc({ sign })
  }

  countSend ({ isCold }: UpstreamState): void {
    if (isCold) this.options.metrics.coldSends.inc()
  }

  /** Logs what was sent to cold upstreams. Called every second. */
  logSends (): void {
    const { log, upstreams, findService } = this.options
    const cold = [...upstreams.all].filter(({ isCold }) => isCold).map(({ announced: { id, service: name }, sends, start }) => {
      const service = findService(name)
      const share = service === undefined ? 0 : this.sharePerSecond(service, id)
      return `${id}:${sends.count}/${share.toFixed(1)}:${start.sign}:${Math.round(start.coldMilliseconds)}`
    })
    if (cold.length > 0) log.info('cold-sends', { upstreams: cold.join(' ') })
  }
}
