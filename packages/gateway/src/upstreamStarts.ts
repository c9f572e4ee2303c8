/**
 * What this VM may send to upstreams whose processes have just started, or may
 * have. Upstreams whose start is unsure are inspected, and so are all that are
 * used while this VM is out of touch with the records. Also logs since when and
 * why each upstream counts as cold, and what was sent to it.
 */

import { StartSign, coldSendsPerSecond } from '@cuminvale/serving'
import { CallFailure } from './errors.js'
import { packMessage } from './linkMessages.js'
import { coldStartGraceMilliseconds, outOfTouchInspectionMilliseconds } from './constants.js'
import type { Log } from '@cuminvale/logs'
import type { AnnouncedUpstream, Service, ServiceName, UpstreamState, UpstreamTable } from '@cuminvale/serving'
import type { Clock, UpstreamId, VmId } from '@cuminvale/common'
import type { UpstreamColdMessage } from './linkMessages.js'
import type { GatewayMetrics } from './gatewayMetrics.js'
import type { ServingBounds, UpstreamHealth } from './types.js'

export interface UpstreamStartsOptions {
  readonly clock: Clock
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
  /** Whether an upstream is one of this VM's region. */
  readonly isHere: (upstream: AnnouncedUpstream) => boolean
  /** Whether records may have changed without this VM, which hears too little of others and of their source. */
  readonly isOutOfTouch: () => boolean
  /** What an upstream says of itself; undefined if it says nothing that can be read. */
  readonly inspect: (upstream: AnnouncedUpstream, healthPath: string) => Promise<UpstreamHealth | CallFailure | undefined>
  /** Called when no connection to an upstream could be made. */
  readonly onUnreachable: (upstream: UpstreamState) => void
}

const millisecondsPerSecond = 1_000
/** Upstreams that one line names; after a release of a large service, many are cold. */
const maximumLoggedUpstreams = 20

export class UpstreamStarts {
  private readonly adopted = new WeakSet<UpstreamState>()
  private readonly inspected = new Set<UpstreamState>()
  private wasOutOfTouch = false

  /** Sends a message to the VMs of the region that this VM is linked to. */
  announceCold: (message: Buffer) => void = () => { /* no links yet */ }

  constructor (private readonly options: UpstreamStartsOptions) {}

  /** Whether an upstream may be sent one more request, as far as its start is concerned. */
  allows (service: Service, { announced: { id }, sends, start }: UpstreamState, waiting = 1): boolean {
    const since = start.boundedSince({ isOutOfTouch: this.wasOutOfTouch })
    if (since === undefined || service.coldRequestsPerSecond <= 0) return true
    const share = this.sharePerSecond(service, id, { isCold: start.isCold })
    if (share >= 1) return sends.countSince(since) + waiting <= share
    // VMs without a share send one request after each inspection that showed a warm upstream.
    return !start.isCold && !start.isUnsure && sends.countSince(since) + waiting <= 1 && this.options.clock.monotonic() - start.provenWarmAt <= outOfTouchInspectionMilliseconds
  }

  /** Records a sign that an upstream's process may have ended or become cold. */
  suspect (upstream: UpstreamState, sign: StartSign): void {
    const { findService, isHere } = this.options
    const service = findService(upstream.announced.service)
    if (service === undefined || coldMillisecondsOf(service) === 0 || !isHere(upstream.announced)) return
    // So many VMs that none has a share send little together to an upstream to which none keeps a connection; inspections would keep one open for each.
    if (sign === StartSign.Unwatched && this.sharePerSecond(service, upstream.announced.id, { isCold: false }) < 1) return
    upstream.start.suspect(sign)
    // Nothing is at risk before the first send, which has it inspected.
    if (sign !== StartSign.Unwatched) this.inspect(upstream)
  }

  /** Records that this VM may have missed what happened to all upstreams. */
  suspectAll (sign: StartSign): void {
    for (const upstream of this.options.upstreams.all) this.suspect(upstream, sign)
  }

  /** Has upstreams inspected that this VM knows from records only. Called when records were adopted. */
  adopt (): void {
    const { upstreams, findService } = this.options
    for (const upstream of upstreams.all) {
      if (this.adopted.has(upstream) || findService(upstream.announced.service) === undefined) continue
      this.adopted.add(upstream)
      if (!upstream.isCold) this.suspect(upstream, StartSign.Unproven)
    }
  }

  /** Repeats inspections that showed nothing, and inspects what is in use while this VM is out of touch. Called every tick. */
  tick (): void {
    const { clock, upstreams, isOutOfTouch, findService, isHere } = this.options
    const isOut = isOutOfTouch()
    if (this.wasOutOfTouch && !isOut) this.suspectAll(StartSign.Missed)
    if (this.wasOutOfTouch !== isOut) this.options.log.info('records-in-doubt', { isOutOfTouch: isOut })
    this.wasOutOfTouch = isOut
    const now = clock.monotonic()
    for (const upstream of upstreams.all) {
      const { start, announced } = upstream
      if (!isOut && !start.isUnsure) continue
      const service = findService(announced.service)
      if (service === undefined || coldMillisecondsOf(service) === 0 || !isHere(announced)) continue
      const isIdle = start.sign === StartSign.Unwatched && upstream.sends.countSince(start.mayHaveEndedAt) === 0
      if (start.isUnsure ? !isIdle : now - start.provenWarmAt >= outOfTouchInspectionMilliseconds) this.inspect(upstream)
    }
  }

  /** Takes over that another VM has seen an upstream cold; in a region with hubs, what is new here is passed on. */
  receiveCold ({ upstream: id, startedAt, coldMilliseconds }: UpstreamColdMessage, { relays }: { readonly relays: boolean }): void {
    const upstream = this.options.upstreams.find(id)
    const service = upstream === undefined ? undefined : this.options.findService(upstream.announced.service)
    // An earlier start than the one that is known here says nothing of it.
    if (upstream === undefined || service === undefined || (startedAt ?? Infinity) < (upstream.announced.startedAt ?? -Infinity)) return
    const wasCold = upstream.isCold
    // No start of the service is cold for longer, whatever the message says.
    upstream.start.markCold(Math.min(coldMilliseconds, coldMillisecondsOf(service)), StartSign.Told)
    if (wasCold || !upstream.isCold) return
    this.recordCold(upstream)
    if (relays) this.announceCold(packCold(upstream))
  }

  /** Tells a VM with which a link was made of all cold upstreams. */
  sendAll (send: (message: Buffer) => void): void {
    for (const upstream of this.options.upstreams.all) {
      if (upstream.isCold) send(packCold(upstream))
    }
  }

  /** Records a request that is sent. */
  recordSend (upstream: UpstreamState): void {
    if (upstream.isCold) this.options.metrics.coldSends.inc()
    else if (upstream.start.boundedSince({ isOutOfTouch: this.wasOutOfTouch }) !== undefined) this.inspect(upstream)
  }

  /** Records an answer on a connection that was opened at a time. */
  recordAnswer ({ announced, start }: UpstreamState, openedAt: number): void {
    if (!start.isUnsure) return
    const service = this.options.findService(announced.service)
    start.recordAnswer(openedAt, service === undefined ? 0 : coldMillisecondsOf(service) + coldStartGraceMilliseconds)
  }

  recordCold ({ announced: { id, service, startedAt }, start: { sign, coldMilliseconds } }: UpstreamState): void {
    this.options.log.info('upstream-cold', { upstream: id, service, startedAt, sign, milliseconds: Math.round(coldMilliseconds) })
    this.options.metrics.coldUpstreams.inc({ sign })
  }

  /** Logs what was sent to upstreams that are cold or may be. Called every second. */
  logSends (): void {
    const { log, upstreams, findService } = this.options
    const bounded = [...upstreams.all].filter(({ start }) => start.isCold || start.isUnsure)
    const texts = bounded.slice(0, maximumLoggedUpstreams).map(({ announced: { id, service: name }, sends, start }) => {
      const service = findService(name)
      const share = service === undefined ? 0 : this.sharePerSecond(service, id, start)
      return `${id}:${sends.count}/${share.toFixed(1)}:${start.sign}:${start.isCold ? Math.round(start.coldMilliseconds) : 'unsure'}`
    })
    if (texts.length > 0) log.info('cold-sends', { count: bounded.length, upstreams: texts.join(' ') })
  }

  /** Requests per second that this VM may send to an upstream that is cold or may be. */
  private sharePerSecond ({ coldRequestsPerSecond }: Service, upstream: UpstreamId, { isCold }: { readonly isCold: boolean }): number {
    const { vm, bounds, neighbours, vmCount, isSettled } = this.options
    // An upstream that is likely warm is used from the start, by an assumed number of VMs.
    return coldSendsPerSecond({ upstream, self: vm, neighbours, count: vmCount(), isSettled: !isCold || isSettled(), maximumPerSecond: coldRequestsPerSecond * bounds.coldOverage + bounds.coldMargin })
  }

  private inspect (upstream: UpstreamState): void {
    const { announced: { service }, unreachedSince } = upstream
    const healthPath = this.options.findService(service)?.healthPath
    // One without a connection is dialled elsewhere until it accepts one.
    if (healthPath === undefined || unreachedSince !== undefined || this.inspected.has(upstream)) return
    this.inspected.add(upstream)
    const askedAt = this.options.clock.monotonic()
    this.options.metrics.inspections.inc()
    this.options.inspect(upstream.announced, healthPath)
      .then((health) => this.handleInspection(upstream, health, askedAt), () => { /* not decided */ })
      .finally(() => this.inspected.delete(upstream))
  }

  private handleInspection (upstream: UpstreamState, health: UpstreamHealth | CallFailure | undefined, askedAt: number): void {
    if (health === undefined) return
    if (health instanceof CallFailure) {
      if (health.isUnsent) this.options.onUnreachable(upstream)
      return
    }
    if (health.upstream !== upstream.announced.id) {
      upstream.isReplaced = true
      return
    }
    if (!upstream.start.recordInspection({ askedAt, coldMilliseconds: health.coldMilliseconds })) return
    this.recordCold(upstream)
    this.announceCold(packCold(upstream))
  }
}

const packCold = ({ announced: { id, startedAt }, start: { coldMilliseconds } }: UpstreamState): Buffer =>
  packMessage({ kind: 'upstream-cold', upstream: id, startedAt, coldMilliseconds: Math.round(coldMilliseconds) })

const coldMillisecondsOf = ({ coldSeconds, coldRequestsPerSecond }: Service): number => coldRequestsPerSecond > 0 ? coldSeconds * millisecondsPerSecond : 0
