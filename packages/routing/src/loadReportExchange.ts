/**
 * Exchanges load reports between VMs. Each upstream is polled by one VM of its
 * region, which sends changed loads to the other VMs of the region. Each VM of
 * another region receives a digest of this region's free slots from one VM.
 */

import type { Clock, RegionId, UpstreamId, VmId } from '@cuminvale/common'
import type { Configuration, Upstream } from '@cuminvale/documents'
import type { OutboundMessage, PeerIdentity, PeerProtocol, RegionCapacity, RoutingLoad, RoutingMessage } from '@cuminvale/messages'
import { RendezvousOwnerCache } from './rendezvous.js'
import type { RegionDigests } from './regionDigests.js'
import type { LoadSample } from './upstreamState.js'
import type { UpstreamTable } from './upstreamTable.js'

export interface RegionPeer {
  readonly vm: VmId
  readonly region: RegionId
}

export interface LoadReportExchangeOptions {
  readonly clock: Clock
  readonly vm: VmId
  readonly region: RegionId
  readonly table: UpstreamTable
  readonly digests: RegionDigests
  readonly configuration: () => Configuration | undefined
  /** Reachable VMs of all regions, except this VM. */
  readonly peers: () => readonly RegionPeer[]
}

interface PolledLoad {
  readonly sample: LoadSample
  readonly at: number
  sent: LoadSample | undefined
  sentAt: number
}

const exchangeIntervalMilliseconds = 500
const ticksPerDigest = 4
/** Unchanged loads are sent again after this time, so that receivers don't take reports for lost. */
const refreshIntervalMilliseconds = 3_000
/** If the VM that polls an upstream has reported nothing for this long, this VM polls the upstream too. */
const silentPollerMilliseconds = 8_000
const maximumUnassignedPollCount = 4

export class LoadReportExchange implements PeerProtocol<RoutingMessage> {
  readonly tickMilliseconds = exchangeIntervalMilliseconds
  private readonly polledLoads = new Map<UpstreamId, PolledLoad>()
  private readonly owners = new RendezvousOwnerCache()
  private ticks = 0

  constructor (private readonly options: LoadReportExchangeOptions) {}

  /** Upstreams that this VM should poll: those assigned to it, and a few whose assigned VM is silent. */
  upstreamsToPoll (): readonly Upstream[] {
    const local = this.localUpstreams()
    const vms = this.localVms()
    const assigned = local.filter(({ name }) => this.owners.owner(name, vms) === this.options.vm)
    const withSilentPoller = this.options.table.views()
      .filter((view) => view.upstream.region === this.options.region &&
        view.reportAgeMilliseconds > silentPollerMilliseconds && !assigned.includes(view.upstream))
      .slice(0, maximumUnassignedPollCount)
      .map(({ upstream }) => upstream)
    return [...assigned, ...withSilentPoller]
  }

  /** Records a load that this VM has polled itself. */
  recordPolledLoad (upstream: UpstreamId, sample: LoadSample): void {
    this.options.table.report(upstream, sample)
    const previous = this.polledLoads.get(upstream)
    this.polledLoads.set(upstream, {
      sample, at: this.options.clock.monotonic(), sent: previous?.sent, sentAt: previous?.sentAt ?? -Infinity
    })
  }

  receive (from: PeerIdentity, message: RoutingMessage): readonly OutboundMessage[] {
    if (message.kind === 'routing.digest') {
      if (from.region !== this.options.region) this.options.digests.receive(from.region, message.rooms)
      return []
    }
    if (from.region !== this.options.region) return []
    this.applyLoads(message)
    return []
  }

  tick (): readonly OutboundMessage[] {
    this.ticks += 1
    const digests = this.ticks % ticksPerDigest === 0 ? this.digestMessages() : []
    return [...this.loadMessages(), ...digests]
  }

  private applyLoads ({ upstreams, running, queued, leaving, ageMilliseconds }: RoutingLoad): void {
    upstreams.forEach((upstream, index) => this.options.table.report(upstream, {
      running: running[index] ?? 0, queued: queued[index] ?? 0, leaving: leaving.includes(upstream), ageMilliseconds
    }))
  }

  private loadMessages (): readonly OutboundMessage[] {
    const changed = this.takeLoadsToSend()
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
      .map((to): OutboundMessage => ({ to, message }))
  }

  private takeLoadsToSend (): ReadonlyArray<readonly [UpstreamId, PolledLoad]> {
    const now = this.options.clock.monotonic()
    for (const upstream of this.polledLoads.keys()) {
      if (this.options.table.find(upstream) === undefined) this.polledLoads.delete(upstream)
    }
    const changed = [...this.polledLoads].filter(([upstream, load]) => this.shouldSend(upstream, load, now))
    for (const [, load] of changed) {
      load.sent = load.sample
      load.sentAt = now
    }
    return changed
  }

  private shouldSend (upstream: UpstreamId, { sample, sent, sentAt, at }: PolledLoad, now: number): boolean {
    if (at <= sentAt) return false
    if (sent === undefined || now - sentAt >= refreshIntervalMilliseconds || sent.leaving !== sample.leaving) return true
    const slots = this.options.table.find(upstream)?.slots ?? 1
    const change = Math.abs(sample.running + sample.queued - sent.running - sent.queued)
    return change >= Math.max(1, slots * minimumChangeShare)
  }

  /** Each VM of another region receives the digest from one VM of this region. */
  private digestMessages (): readonly OutboundMessage[] {
    const vms = this.localVms()
    const recipients = this.options.peers().filter(({ vm, region }) => region !== this.options.region && this.owners.owner(vm, vms) === this.options.vm)
    if (recipients.length === 0) return []
    const rooms = this.rooms()
    return recipients.map(({ vm }): OutboundMessage => ({ to: vm, message: { kind: 'routing.digest', rooms } }))
  }

  private rooms (): readonly RegionCapacity[] {
    const configuration = this.options.configuration()
    const models = [undefined, ...new Set([...configuration?.upstreams.values() ?? []].flatMap((upstream) => upstream.models))]
    return [...configuration?.routes.keys() ?? []].flatMap((route) => models.flatMap((model): RegionCapacity[] => {
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
const minimumChangeShare = 0.1
