/**
 * A model of regions for tests of their shares: VMs that place requests by
 * reports of a certain age, plain upstreams of some slots, and waves of demand.
 * Each of them is a region's demand for ten seconds; callers don't retry.
 */

import { ManualClock, SeededRandom, toFailureDomainId, toRegionId } from '@cuminvale/common'
import { PlacementChooser } from './placement.js'
import { RegionForecasts } from './regionForecasts.js'
import { ForwardResult } from './regionShares.js'
import { UpstreamTable } from './upstreamTable.js'
import { admitted, announced, desk, deskService, route } from './testSupport.js'
import type { RegionId, UpstreamId } from '@cuminvale/common'
import type { Placement } from './placement.js'

export interface RegionShareModelOptions {
  readonly regions: number
  readonly vms: number
  readonly upstreams: number
  readonly reportMilliseconds: number
  /** Demand of all regions, relative to the capacity of all upstreams. */
  readonly load: number
  /** Regions whose demand is tenfold at a time. */
  readonly waves: number
  readonly seconds: number
  readonly seed?: number
  /** Whether the regions report room and need; those of an earlier version don't. */
  readonly hasShares?: boolean
  /** Seconds from which on region 0 hears nothing and is not heard. */
  readonly cutAt?: number
}

export interface RegionShareOutcome {
  /** Requests answered within their objective, relative to those that all upstreams as one pool could serve. */
  readonly onTime: number
  /** Longest time in milliseconds for which one region refused over 5 % of its requests while another was half idle. */
  readonly unevenMilliseconds: number
  /** Forwards into region 0 from 1.5 s after the cut on. */
  readonly forwardsAfterCut: number
}

interface ModelRegion {
  readonly id: RegionId
  readonly vms: Array<{ readonly table: UpstreamTable, readonly forecasts: RegionForecasts, readonly chooser: PlacementChooser }>
  /** By upstream: times at which slots become free. */
  readonly slots: Map<UpstreamId, number[]>
  readonly inFlight: Map<UpstreamId, number>
  /** Milliseconds for which slots were busy since the last report, over all slots. */
  busy: number
  asked: number
  refused: number
}

const slotsPerUpstream = 6
const runMilliseconds = 60
const objectiveMilliseconds = 500
const stepMilliseconds = 5
const oneWayMilliseconds = 55
const heartbeatMilliseconds = 200
const waveMilliseconds = 10_000

export const runRegionShareModel = (options: RegionShareModelOptions): RegionShareOutcome => {
  const clock = new ManualClock()
  const random = new SeededRandom(options.seed ?? 11)
  const due = new Map<number, Array<() => void>>()
  const schedule = (milliseconds: number, run: () => void): void => {
    const at = Math.floor((clock.now + Math.max(stepMilliseconds, milliseconds)) / stepMilliseconds)
    const runs = due.get(at) ?? []
    runs.push(run)
    due.set(at, runs)
  }
  const ids = Array.from({ length: options.regions }, (_, index) => toRegionId(`r${index}`))
  const isCut = (): boolean => clock.now >= (options.cutAt ?? Infinity) * 1_000
  const regions = ids.map((id): ModelRegion => {
    const names = Array.from({ length: options.upstreams }, (_, index) => announced(`${id}-${index}`, { service: desk, slots: slotsPerUpstream, failureDomain: toFailureDomainId(id) }))
    const others = ids.filter((other) => other !== id)
    const vms = Array.from({ length: options.vms }, () => {
      const table = new UpstreamTable({ clock, regionOf: () => id, findService: () => deskService })
      table.sync(names, new Set())
      const forecasts = new RegionForecasts(clock, () => options.vms - 1)
      const chooser = new PlacementChooser({
        clock, random, region: id, upstreams: table, forecasts, findService: () => deskService, softwareVersionOf: () => undefined, reachableRegions: () => others, isReachedByNeighbours: () => true, allowsStart: (_service, { isCold, sends }) => !isCold || sends.allows(1), brittleSharing: () => ({ count: 1, draw: 0, partOf: (total) => total }), connectionLimit: () => 100, roundTripMilliseconds: () => 110
      })
      return { table, forecasts, chooser }
    })
    return { id, vms, slots: new Map(names.map((upstream) => [upstream.id, Array.from({ length: slotsPerUpstream }, () => 0)])), inFlight: new Map(), busy: 0, asked: 0, refused: 0 }
  })
  let asked = 0
  let onTime = 0
  let forwardsAfterCut = 0
  const request = admitted({ service: desk, route: route({ objectiveMilliseconds }) })

  const place = (home: ModelRegion, vmIndex: number, sentAt: number, excluded: ReadonlySet<RegionId>, onDone: (isServed: boolean) => void, mayForward = true): void => {
    const vm = home.vms[vmIndex]
    if (vm === undefined) return
    const age = clock.now - sentAt
    const placement: Placement = vm.chooser.choose({ request, remainingMilliseconds: 4_000 - age, objectiveRemainingMilliseconds: objectiveMilliseconds - age, mayForward, excludedUpstreams: new Set(), excludedRegions: excluded })
    if (placement.kind === 'refuse') return onDone(false)
    if (placement.kind === 'run') {
      const { upstream, prediction } = placement
      const startedAt = clock.now
      const slots = home.slots.get(upstream.announced.id) ?? []
      const slot = slots.indexOf(Math.min(...slots))
      const run = runMilliseconds * (0.5 + random.next())
      const endsAt = Math.max(clock.now, slots[slot] ?? 0) + run
      slots[slot] = endsAt
      upstream.ownInFlight += 1
      home.inFlight.set(upstream.announced.id, (home.inFlight.get(upstream.announced.id) ?? 0) + 1)
      upstream.recordSend(0)
      return schedule(endsAt - clock.now, () => {
        upstream.ownInFlight -= 1
        upstream.performance.record({ prediction, observedMilliseconds: endsAt - startedAt })
        const held = home.inFlight.get(upstream.announced.id) ?? 1
        home.inFlight.set(upstream.announced.id, held - 1)
        upstream.recordReportedLoad({ running: Math.min(slotsPerUpstream, held - 1), waiting: Math.max(0, held - 1 - slotsPerUpstream), slots: slotsPerUpstream })
        onDone(true)
      })
    }
    const { region, workMilliseconds } = placement
    const target = regions.find(({ id }) => id === region)
    if (target === undefined) return
    if (isCut() && clock.now > (options.cutAt ?? 0) * 1_000 + 1_500 && region === ids[0]) forwardsAfterCut += 1
    vm.forecasts.forwarded(region, desk, workMilliseconds)
    const end = (isServed: boolean): void => {
      vm.forecasts.answered(region, desk, workMilliseconds)
      const isLate = clock.now - sentAt > objectiveMilliseconds
      vm.forecasts.shares.recordResult(region, desk, !isServed ? ForwardResult.Refused : isLate ? ForwardResult.Late : ForwardResult.Answered)
      if (isServed) onDone(true)
      else place(home, vmIndex, sentAt, new Set([...excluded, region]), onDone)
    }
    schedule(oneWayMilliseconds, () => place(target, Math.floor(random.next() * options.vms), sentAt, new Set(), (isServed) => schedule(oneWayMilliseconds, () => end(isServed)), false))
  }

  const report = (from: ModelRegion): void => {
    const speaker = from.vms[0]
    if (speaker === undefined || (isCut() && from.id === ids[0])) return
    const usable = speaker.table.usable(desk, from.id)
    const freeSlots = usable.reduce((sum, { announced: { slots }, occupancy }) => sum + Math.max(0, slots - occupancy), 0)
    const waitMilliseconds = Math.min(...usable.map(({ occupancy }) => Math.max(0, occupancy + 1 - slotsPerUpstream) / slotsPerUpstream * runMilliseconds))
    const roomAndNeed = options.hasShares === false ? undefined : speaker.forecasts.demand.measure(deskService, usable)
    schedule(oneWayMilliseconds + heartbeatMilliseconds / 2, () => {
      for (const to of regions) {
        if (to !== from && !(isCut() && to.id === ids[0])) to.vms.forEach(({ forecasts }) => forecasts.recordReport(from.id, new Map([[desk, { upstreams: usable.length, waitMilliseconds, freeSlots, roomAndNeed }]])))
      }
    })
  }

  const beat = ({ vms }: ModelRegion): void => {
    const loads = vms.map(({ table }) => new Map([...table.all].map(({ announced: { id }, ownInFlight }) => [id, ownInFlight])))
    vms.forEach(({ table }, index) => {
      for (const upstream of table.all) upstream.neighbourLoad = { pendingTokens: 0, inFlight: loads.reduce((sum, load, from) => from === index ? sum : sum + (load.get(upstream.announced.id) ?? 0), 0) }
    })
  }

  const perSecond = options.upstreams * slotsPerUpstream * 1_000 / runMilliseconds
  const basePerSecond = perSecond * options.load * options.regions / (options.regions + 9 * options.waves)
  let uneven = 0
  let longestUneven = 0
  for (let step = 1; step <= options.seconds * 1_000 / stepMilliseconds; step += 1) {
    clock.advance(stepMilliseconds)
    const now = Math.round(clock.now)
    due.get(Math.floor(now / stepMilliseconds))?.forEach((run) => run())
    due.delete(Math.floor(now / stepMilliseconds))
    if (now % heartbeatMilliseconds === 0) regions.forEach(beat)
    regions.forEach((region, index) => {
      if ((now + index * stepMilliseconds) % options.reportMilliseconds === 0) report(region)
      for (const count of region.inFlight.values()) region.busy += Math.min(slotsPerUpstream, count) * stepMilliseconds
      const wave = Math.floor(now / waveMilliseconds) * options.waves
      const isInWave = (index - wave % options.regions + options.regions) % options.regions < options.waves
      const expected = basePerSecond * (isInWave ? 10 : 1) * stepMilliseconds / 1_000
      for (let count = Math.floor(expected + random.next()); count > 0; count -= 1) {
        asked += 1
        region.asked += 1
        place(region, Math.floor(random.next() * options.vms), now, new Set(), (isServed) => {
          if (!isServed) region.refused += 1
          else if (clock.now - now <= objectiveMilliseconds) onTime += 1
        })
      }
    })
    if (now % options.reportMilliseconds !== 0) continue
    const isUneven = regions.some(({ refused, asked: all }) => refused > all * 0.05) && regions.some(({ busy }) => busy < options.upstreams * slotsPerUpstream * options.reportMilliseconds / 2)
    uneven = isUneven ? uneven + options.reportMilliseconds : 0
    longestUneven = Math.max(longestUneven, uneven)
    for (const region of regions) Object.assign(region, { busy: 0, asked: 0, refused: 0 })
  }
  return { onTime: onTime / asked / Math.min(1, 1 / options.load), unevenMilliseconds: longestUneven, forwardsAfterCut }
}
