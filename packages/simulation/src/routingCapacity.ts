/**
 * Capacity probe of upstream choice and of load sharing: cost per VM by the
 * number of runners in its region. State is computed from assumed sizes of a
 * prefix and of a runner.
 */

import { encodePeerMessage } from '@cuminvale/messages'
import { SeededRandom, toFailureDomainId, toIncarnationId, toModelName, toRegionId, toRevision, toRouteName, toTeamId, toUpstreamId, toVmId } from '@cuminvale/common'
import {
  FixedBlockHasher, LoadReportExchange, SpilloverWhenUnserved, PredictedLatencyChooser, PrefixCacheIndex, RegionDigests, RoutingChoiceKind, UpstreamTable
} from '@cuminvale/routing'
import type { Configuration, Upstream } from '@cuminvale/documents'
import type { RegionPeer, RoutingRequest } from '@cuminvale/routing'
import { fitLine, valueAt } from './linearFit.js'
import { target } from './target.js'
import { VirtualClock } from './virtualClock.js'
import type { CapacityProbe, CapacityRow, CapacitySample } from './capacityProbe.js'

const region = toRegionId('region-0')
const model = toModelName('model-0')
const route = toRouteName('drafting')
const vmsPerRegion = Math.ceil(target.vms / target.regions)
const runnersPerRegion = Math.round(target.runners / target.regions)
const requestsPerVm = target.requestsPerSecond / target.vms
const slots = 32
const runnerCounts = [40, 80, 160, 316]
const measuredSeconds = 20
const measuredChoices = 2_000
const pollMilliseconds = 800
const bytesPerMegabyte = 1_048_576
const bytesPerKilobyte = 1_024
const microsecondsPerSecond = 1_000_000
const millisecondsPerSecond = 1_000
const bytesPerPrefix = 60

const upstreamAt = (index: number): Upstream => ({
  name: toUpstreamId(`runner-${index}`),
  region,
  failureDomain: toFailureDomainId(`fd-${index % 4}`),
  address: `http://127.0.0.1:${index + 1}`,
  routes: [route],
  models: [model],
  slots,
  checksFencing: false,
  leaving: false
})

const configurationOf = (runners: number): Configuration => ({
  revision: toRevision(1),
  teams: new Map(),
  plans: new Map(),
  keys: new Map(),
  routes: new Map([[route, { name: route } as never]]),
  upstreams: new Map(Array.from({ length: runners }, (_, index) => [toUpstreamId(`runner-${index}`), upstreamAt(index)]))
})

const peers: readonly RegionPeer[] = Array.from({ length: target.vms }, (_, index) => ({
  vm: toVmId(`vm-${index}`), region: toRegionId(`region-${Math.floor(index / vmsPerRegion)}`)
}))

interface MeasuredCost {
  readonly microseconds: number
  readonly bytes: number
}

/**
 * Cost of load sharing while each runner's load varies by a few requests between
 * polls. Every message counts twice, since a VM receives as many as it sends.
 */
const measureSharing = (configuration: Configuration): MeasuredCost => {
  const clock = new VirtualClock()
  const random = new SeededRandom(1)
  const table = new UpstreamTable(clock)
  table.configure(configuration)
  const self = peers[0] as RegionPeer
  const sharing = new LoadReportExchange({
    clock,
    vm: self.vm,
    region,
    table,
    digests: new RegionDigests({ clock, vmCount: () => vmsPerRegion }),
    configuration: () => configuration,
    peers: () => peers.slice(1)
  })
  const sender = { vm: toVmId('vm-1'), incarnation: toIncarnationId('i-1'), region, failureDomain: toFailureDomainId('fd-1') }
  const startMilliseconds = performance.now()
  let bytes = 0
  let nextPoll = 0
  for (let now = 0; now < measuredSeconds * millisecondsPerSecond; now += sharing.tickMilliseconds) {
    clock.advance(sharing.tickMilliseconds)
    if (now >= nextPoll) {
      nextPoll = now + pollMilliseconds
      for (const { name } of sharing.upstreamsToPoll()) {
        const running = Math.floor(slots / 2 + random.next() * slots / 4)
        sharing.recordPolledLoad(name, { running, queued: 0, ageMilliseconds: 100, leaving: false })
      }
    }
    for (const { message } of sharing.tick()) {
      bytes += 2 * encodePeerMessage(message).length
      if (message.kind === 'routing.load') sharing.receive(sender, message)
    }
  }
  return { microseconds: (performance.now() - startMilliseconds) * millisecondsPerSecond / measuredSeconds, bytes: bytes / measuredSeconds }
}

const measureChoice = (configuration: Configuration): MeasuredCost & { readonly prefixes: number } => {
  const clock = new VirtualClock()
  const random = new SeededRandom(1)
  const table = new UpstreamTable(clock)
  table.configure(configuration)
  const prefixes = new PrefixCacheIndex({ clock, hasher: new FixedBlockHasher(), capacity: 50_000 })
  const chooser = new PredictedLatencyChooser({
    clock, random, failureDomain: toFailureDomainId('fd-0'), spillover: new SpilloverWhenUnserved(random), prefixCacheIndex: prefixes, vmCount: () => vmsPerRegion
  })
  const startMilliseconds = performance.now()
  for (let index = 0; index < measuredChoices; index += 1) {
    const request: RoutingRequest = {
      team: toTeamId('team-0'),
      route,
      model,
      allowedRegions: [region],
      mayCrossBorder: false,
      excluded: new Set(),
      promptTokens: 1_024,
      outputTokens: 430,
      prompt: `${index % 200}`.padEnd(4_096, 'text ')
    }
    const choice = chooser.choose(request, {
      region, upstreams: table.servingViews(region, request), remoteRegions: [], localWaitMilliseconds: 0
    })
    if (choice.kind === RoutingChoiceKind.Run) chooser.sent(request, choice.upstream)
  }
  const microseconds = (performance.now() - startMilliseconds) * millisecondsPerSecond / measuredChoices * requestsPerVm
  return { microseconds, bytes: 0, prefixes: prefixes.size }
}

const sampleAt = (runners: number): CapacitySample => {
  const configuration = configurationOf(runners)
  const sharing = measureSharing(configuration)
  const choice = measureChoice(configuration)
  return {
    dimension: 'runners in the region',
    size: runners,
    stateBytes: choice.prefixes * bytesPerPrefix + runners * bytesPerKilobyte,
    bytesPerSecond: sharing.bytes,
    processorMicrosecondsPerSecond: sharing.microseconds + choice.microseconds
  }
}

const costAtTarget = (samples: readonly CapacitySample[], field: 'stateBytes' | 'bytesPerSecond' | 'processorMicrosecondsPerSecond'): number =>
  valueAt(fitLine(samples.map((sample) => ({ x: sample.size, y: sample[field] }))), runnersPerRegion)

const measure = (): CapacityRow => {
  sampleAt(runnerCounts[0] ?? 1)
  const samples = runnerCounts.map(sampleAt)
  return {
    mechanism: 'upstream choice and load',
    perNodeCorePercent: 100 * costAtTarget(samples, 'processorMicrosecondsPerSecond') / microsecondsPerSecond,
    perNodeMegabytes: costAtTarget(samples, 'stateBytes') / bytesPerMegabyte,
    perNodeKilobytesPerSecond: costAtTarget(samples, 'bytesPerSecond') / bytesPerKilobyte,
    carriedBy: `one watcher a runner by rendezvous hashing, changes to ${vmsPerRegion} VMs, a digest a region; ${requestsPerVm.toFixed(1)} choices a second`,
    samples
  }
}

export const routingCapacity: CapacityProbe = { mechanism: 'upstream choice and load', measure }
