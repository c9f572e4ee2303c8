/**
 * Exchanges load reports between VMs. Each upstream is polled by one VM of its
 * region, which sends changed loads to the other VMs of the region. Each VM of
 * another region receives a digest of this region's free slots from one VM.
 */

import type { Clock, RegionId, UpstreamId, VmId } from '@cuminvale/common'
import type { Configuration, Upstream } from '@cuminvale/documents'
import type { Outbound, PeerIdentity, PeerProtocol, RegionRoom, RoutingLoad, RoutingMessage } from '@cuminvale/messages'
import { RendezvousOwners } from './rendezvous.js'
import type { RegionDigests } from './regionDigests.js'
import type { LoadSample } from './upstreamState.js'
import type { UpstreamTable } from './upstreamTable.js'

export interface RegionPeer {
  readonly vm: VmId
  readonly region: RegionId
}

export interface LoadSharingOptions {
  readonly clock: Clock
  readonly vm: VmId
  readonly region: RegionId
  readonly table: UpstreamTable
  readonly digests: RegionDigests
  readonly configuration: () => Configuration | undefined
  /** Reachable VMs of all regions, except this VM. */
  readonly peers: () => readonly RegionPeer[]
}

interface Watched {
  readonly sample: LoadSample
  readonly at: number
  sent: LoadSample | undefined
  sentAt: number
}

const shareMilliseconds = 500
const ticksPerDigest = 4
/** Unchanged loads are sent again after this time, so that receivers don't take reports for lost. */
const refreshMilliseconds = 3_000
/** If the VM that polls an upstream has reported nothing for this long, this VM polls the upstream too. */
const silentWatcherMilliseconds = 8_000
const maximumSilentPolls = 4

export class LoadSharing implements PeerProtocol<RoutingMessage> {
  readonly tickMilliseconds = shareMilliseconds
  private readonly watched = new Map<UpstreamId, Watched>()
  private readonly owners = new RendezvousOwners()
  private ticks = 0

  constructor (private readonly options: LoadSharingOptions) {}

  /** Upstreams that this VM should poll: those assigned to it, and a few whose assigned VM is silent. */
  toPoll (): readonly Upstream[] {
    const local = this.localUpstreams()
    const vms = this.localVms()
    const own = local.filter(({ name }) => this.owners.owner(name, vms) === this.options.vm)
    const silent = this.options.table.views()
      .filter((view) => view.upstream.region === this.options.region &&
        view.reportAgeMilliseconds > silentWatcherMilliseconds && !own.includes(view.upstream))
      .slice(0, maximumSilentPolls)
      .map(({ upstream }) => upstream)
    return [...own, ...silent]
  }

  /** Records a load that this VM has polled itself. */
  observe (upstream: UpstreamId, sample: LoadSample): void {
    this.options.table.report(upstream, sample)
    const held = this.watched.get(upstream)
    this.watched.set(upstream, {
      sample, at: this.options.clock.monotonic(), sent: held?.sent, sentAt: held?.sentAt ?? -Infinity
    })
  }

  receive (from: PeerIdentity, message: RoutingMessage): readonly Outbound[] {
    if (message.kind === 'routing.digest') {
      if (from.region !== this.options.region) this.options.digests.receive(from.region, message.rooms)
      return []
    }
    if (from.region !== this.options.region) return []
    this.adopt(message)
    return []
  }

  tick (): readonly Outbound[] {
    this.ticks += 1
    const digests = this.ticks % ticksPerDigest === 0 ? this.digestsOut() : []
    return [...this.loadsOut(), ...digests]
  }

  private adopt ({ upstreams, running, queued, leaving, ageMilliseconds }: RoutingLoad): void {
    upstreams.forEach((upstream, index) => this.options.table.report(upstream, {
      running: running[index] ?? 0, queued: queued[index] ?? 0, leaving: leaving.includes(upstream), ageMilliseconds
    }))
  }

  private loadsOut (): readonly Outbound[] {
    const changed = this.changedLoads()
    if (changed.length === 0) return []
    const now = this.options.clock.monotonic()
    const message: RoutingLoad = {
      kind: 'routing.load',
      upstreams: changed.map(([upstream]) => upstream),
      running: changed.map(([, { sample }]) => sample.running),
      queued: changed.map(([, { sample }]) => sample.queued),
      leaving: changed.flatMap(([upstream, { sample }]) => sample.leaving ? [upstream] : []),
      ageMilliseconds: Math.round(Math.max(...changed.map(([, { sample, at }]) => sample.ageMilliseconds + now - at)))
    }
    return this.localVms()
      .filter((vm) => vm !== this.options.vm)
      .map((to): Outbound => ({ to, message }))
  }

  private changedLoads (): ReadonlyArray<readonly [UpstreamId, Watched]> {
    const now = this.options.clock.monotonic()
    for (const upstream of this.watched.keys()) {
      if (this.options.table.find(upstream) === undefined) this.watched.delete(upstream)
    }
    const changed = [...this.watched].filter(([upstream, watched]) => this.isWorthSending(upstream, watched, now))
    for (const [, watched] of changed) {
      watched.sent = watched.sample
      watched.sentAt = now
    }
    return changed
  }

  private isWorthSending (upstream: UpstreamId, { sample, sent, sentAt, at }: Watched, now: number): boolean {
    if (at <= sentAt) return false
    if (sent === undefined || now - sentAt >= refreshMilliseconds || sent.leaving !== sample.leaving) return true
    const slots = this.options.table.find(upstream)?.slots ?? 1
    const moved = Math.abs(sample.running + sample.queued - sent.running - sent.queued)
    return moved >= Math.max(1, slots * changeShare)
  }

  /** Each VM of another region receives the digest from one VM of this region. */
  private digestsOut (): readonly Outbound[] {
    const vms = this.localVms()
    const due = this.options.peers().filter(({ vm, region }) => region !== this.options.region && this.owners.owner(vm, vms) === this.options.vm)
    if (due.length === 0) return []
    const rooms = this.rooms()
    return due.map(({ vm }): Outbound => ({ to: vm, message: { kind: 'routing.digest', rooms } }))
  }

  private rooms (): readonly RegionRoom[] {
    const configuration = this.options.configuration()
    const models = [undefined, ...new Set([...configuration?.upstreams.values() ?? []].flatMap((upstream) => upstream.models))]
    return [...configuration?.routes.keys() ?? []].flatMap((route) => models.flatMap((model): RegionRoom[] => {
      const request = { route, ...(model === undefined ? {} : { model }) }
      const views = this.options.table.servingViews(this.options.region, request)
      if (views.length === 0) return []
      const freeSlots = views.reduce((sum, { upstream, occupancy, leaving, ejected }) =>
        sum + (leaving || ejected ? 0 : Math.max(0, upstream.slots - occupancy)), 0)
      return [{ ...request, freeSlots }]
    }))
  }

  private localVms (): readonly VmId[] {
    const { vm, region, peers } = this.options
    return [vm, ...peers().filter((peer) => peer.region === region).map((peer) => peer.vm)]
  }

  private localUpstreams (): readonly Upstream[] {
    return [...this.options.configuration()?.upstreams.values() ?? []].filter(({ region }) => region === this.options.region)
  }
}

/** Share of an upstream's slots by which its load must change before it is sent again. */
const changeShare = 0.1
