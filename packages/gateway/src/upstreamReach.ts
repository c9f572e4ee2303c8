/**
 * Which upstreams of this region this VM reaches, and which the other VMs of
 * the region say that they reach. An upstream that this VM doesn't reach but
 * others do has not ended: the way to it is cut. This VM then serves through
 * the others, and reports the upstreams as they see them. An upstream without a
 * connection is dialled once a second until it accepts one.
 */

import { connect } from 'node:net'
import { reachProbeIntervalMilliseconds, reachProbeTimeoutMilliseconds, refusedForwardMilliseconds } from './constants.js'
import type { Clock, RegionId, UpstreamId, VmId } from '@cuminvale/common'
import type { AnnouncedUpstream, ServiceName, UpstreamState, UpstreamTable } from '@cuminvale/serving'

export interface UpstreamReachOptions {
  readonly clock: Clock
  readonly region: RegionId
  readonly upstreams: UpstreamTable
  /** Whether an upstream is one of this region. */
  readonly isHere: (upstream: AnnouncedUpstream) => boolean
  /** Other VMs of this region that are heard and take requests. */
  readonly neighbours: () => readonly VmId[]
  /** Whether an upstream accepts a connection. */
  readonly accepts: (upstream: AnnouncedUpstream) => Promise<boolean>
  /** Called when an upstream accepts a connection again. */
  readonly onReached: (upstream: UpstreamState) => void
}

export const acceptsConnections = async ({ host, port }: AnnouncedUpstream): Promise<boolean> => await new Promise((resolve) => {
  const socket = connect({ host, port, timeout: reachProbeTimeoutMilliseconds })
  const finish = (isAccepted: boolean): void => {
    socket.destroy()
    resolve(isAccepted)
  }
  socket.once('connect', () => finish(true))
  socket.once('timeout', () => finish(false))
  socket.once('error', () => finish(false))
})

/** One upstream that is out of reach has likely ended. */
const leastUnreachedOfCut = 2
/** Time since its last answer for which an upstream counts as reached while others are lost. */
const provenMilliseconds = 1_000
const none: ReadonlySet<UpstreamId> = new Set()

export class UpstreamReach {
  /** Upstreams that other VMs of this region don't reach, as they reported last; absent for those that reach all. */
  private readonly unreachedByNeighbours = new Map<VmId, ReadonlySet<UpstreamId>>()
  /** Times at which VMs of any region refused a forward since they reach no upstream. */
  private readonly refusedAt = new Map<VmId, number>()
  private readonly probed = new Set<UpstreamState>()
  /** Unreached upstreams that may have ended, since this VM reached most others meanwhile or no other VM reached them. */
  private readonly endable = new Set<UpstreamState>()
  /** Monotonic time at which this VM last reached less than half of the region's upstreams. */
  private mostlyCutAt = -Infinity
  private readonly timers = new Set<NodeJS.Timeout>()

  constructor (private readonly options: UpstreamReachOptions) {}

  /** Upstreams of this region that this VM doesn't reach or that failed often here, for the other VMs of the region. */
  get unreached (): readonly UpstreamId[] {
    return [...this.options.upstreams.all].filter(({ isHealthy }) => !isHealthy).map(({ announced: { id } }) => id)
  }

  recordNeighbour (vm: VmId, unreached: readonly UpstreamId[]): void {
    if (unreached.length === 0) this.unreachedByNeighbours.delete(vm)
    else this.unreachedByNeighbours.set(vm, new Set(unreached))
  }

  /** Records that a VM refused a forward since it reaches no upstream. */
  recordRefusal (vm: VmId): void {
    this.refusedAt.set(vm, this.options.clock.monotonic())
  }

  isReachedByNeighbours ({ announced: { id } }: UpstreamState): boolean {
    return this.options.neighbours().some((vm) => !this.unreachedBy(vm).has(id) && !this.hasRefused(vm))
  }

  /** Whether this VM reaches no upstream of a service that others of its region reach. */
  isCutFrom (service: ServiceName): boolean {
    const usable = this.options.upstreams.usable(service, this.options.region)
    return usable.every(({ isHealthy }) => !isHealthy) && usable.some((upstream) => this.isReachedByNeighbours(upstream))
  }

  /** Whether a VM of this or another region may reach an upstream of a service. */
  mayServe (vm: VmId, service: ServiceName): boolean {
    if (this.hasRefused(vm)) return false
    const unreached = this.unreachedBy(vm)
    return unreached.size === 0 || this.options.upstreams.usable(service, this.options.region).some(({ announced: { id } }) => !unreached.has(id))
  }

  /** Records that no connection to an upstream could be made, and dials it until one can. */
  recordUnreached (upstream: UpstreamState): void {
    upstream.unreachedSince = this.options.clock.monotonic()
    this.doubtOthers()
    if (this.probed.has(upstream)) return
    this.probed.add(upstream)
    this.endable.add(upstream)
    this.scheduleProbe(upstream)
  }

  /** Whether an upstream that was reached again may have ended meanwhile: not if this VM was cut off from most upstreams, and others of the region reached this one. */
  mayHaveEnded (upstream: UpstreamState): boolean {
    return this.endable.delete(upstream)
  }

  close (): void {
    this.timers.forEach((timer) => clearTimeout(timer))
    this.timers.clear()
  }

  private unreachedBy (vm: VmId): ReadonlySet<UpstreamId> {
    return this.unreachedByNeighbours.get(vm) ?? none
  }

  private hasRefused (vm: VmId): boolean {
    const at = this.refusedAt.get(vm)
    if (at === undefined) return false
    if (this.options.clock.monotonic() - at <= refusedForwardMilliseconds) return true
    this.refusedAt.delete(vm)
    return false
  }

  private scheduleProbe (upstream: UpstreamState): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer)
      this.probe(upstream).catch(() => this.probed.delete(upstream))
    }, reachProbeIntervalMilliseconds)
    timer.unref()
    this.timers.add(timer)
  }

  private async probe (upstream: UpstreamState): Promise<void> {
    const { upstreams, accepts, onReached } = this.options
    const isKnown = (): boolean => upstream.unreachedSince !== undefined && upstreams.find(upstream.announced.id) === upstream
    this.recordCut()
    if (this.isCut && this.isReachedByNeighbours(upstream)) this.endable.delete(upstream)
    else this.endable.add(upstream)
    const isReached = isKnown() && await accepts(upstream.announced)
    if (!isReached && isKnown()) return this.scheduleProbe(upstream)
    this.probed.delete(upstream)
    if (isReached && isKnown()) onReached(upstream)
    else this.endable.delete(upstream)
  }

  /** After the loss of half of the upstreams, those that have not answered lately count as unproven too: this VM can't vouch for them, nor send them many requests. */
  doubtOthers (): void {
    const known = this.known
    const unhealthyCount = known.filter(({ isHealthy }) => !isHealthy).length
    if (unhealthyCount < leastUnreachedOfCut || unhealthyCount * 2 < known.length) return
    const oldest = this.options.clock.monotonic() - provenMilliseconds
    for (const upstream of known) {
      if (upstream.lastAnswerAt < oldest) upstream.needsTrial = true
    }
  }

  /** The upstreams of this region. */
  private get known (): readonly UpstreamState[] {
    return [...this.options.upstreams.all].filter(({ announced }) => this.options.isHere(announced))
  }

  private recordCut (): void {
    const { known } = this
    const unreachedCount = known.filter(({ unreachedSince }) => unreachedSince !== undefined).length
    if (unreachedCount >= leastUnreachedOfCut && unreachedCount * 2 >= known.length) this.mostlyCutAt = this.options.clock.monotonic()
  }

  /** Whether this VM is cut off from most upstreams, or was so until one after the other was reached again. */
  private get isCut (): boolean {
    return this.options.clock.monotonic() - this.mostlyCutAt <= 2 * reachProbeIntervalMilliseconds
  }
}
