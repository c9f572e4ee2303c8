/**
 * Soak suite for residency: a request runs only in regions that its plan allows,
 * crosses at most one border and never loops. This holds for any load that the
 * VMs assume of each other and for every spillover policy.
 */

import * as fastCheck from 'fast-check'
import {
  SeededRandom, toFailureDomainId, toModelName, toRegionId, toRevision, toRouteName, toTeamId, toUpstreamId, toVmId
} from '@cuminvale/common'
import {
  SpilloverWhenFaster, SpilloverWhenFull, LeastInFlightChooser, LinkBudget, SpilloverWhenUnserved, PredictedLatencyChooser, RegionDigests, RoutingChoiceKind, UpstreamTable
} from '@cuminvale/routing'
import type { RegionId, VmId } from '@cuminvale/common'
import type { Configuration, Upstream } from '@cuminvale/documents'
import type { SpilloverPolicy, RemoteRegionView, RoutingRequest, UpstreamChooser } from '@cuminvale/routing'
import { checkCommands } from './checkCommands.js'
import { FaultKind } from './soakSuite.js'
import { VirtualClock } from './virtualClock.js'
import type { SoakSuite, SoakTally } from './soakSuite.js'

const regions = ['lombardia', 'veneto', 'emilia'].map(toRegionId)
const vmsPerRegion = 2
const upstreamsPerRegion = 2
const slots = 3
const maximumHops = 2
const runsPerBatch = 120
const maximumCommands = 60
const route = toRouteName('drafting')
const model = toModelName('writer')
const failureDomain = toFailureDomainId('fd-1')

interface RoutingVm {
  readonly name: VmId
  readonly region: RegionId
  readonly table: UpstreamTable
  readonly digests: RegionDigests
  readonly chooser: UpstreamChooser
}

const upstreams: readonly Upstream[] = regions.flatMap((region) => Array.from({ length: upstreamsPerRegion }, (_, index) => ({
  name: toUpstreamId(`${region}-${index}`),
  region,
  failureDomain,
  address: 'http://127.0.0.1:1',
  routes: [route],
  models: [model],
  slots,
  checksFencing: false,
  leaving: false
})))

const configuration: Configuration = {
  revision: toRevision(1),
  teams: new Map(),
  plans: new Map(),
  keys: new Map(),
  routes: new Map(),
  upstreams: new Map(upstreams.map((upstream) => [upstream.name, upstream]))
}

export class ResidencyFleet {
  readonly clock = new VirtualClock()
  readonly random: SeededRandom
  readonly vms: readonly RoutingVm[]
  private readonly spilloverPolicyFactories: ReadonlyArray<(random: SeededRandom, link: LinkBudget) => SpilloverPolicy> = [
    (random, link) => new SpilloverWhenFaster({ random, linkBudget: link, gainFactor: 1 }),
    (random) => new SpilloverWhenFull(random),
    (random) => new SpilloverWhenUnserved(random)
  ]

  constructor (seed: number, readonly tally: SoakTally) {
    this.random = new SeededRandom(seed)
    this.vms = regions.flatMap((region) => Array.from({ length: vmsPerRegion }, (_, index) => this.createVm(region, index)))
  }

  /**
   * Sends a request to a VM and follows it until it runs, is refused or waits.
   * Half of the receivers do not narrow the allowed regions to their own, so
   * the bound on border crossings must hold without that step.
   */
  send (vm: number, allowed: readonly RegionId[], allowedAtReceiver: readonly RegionId[]): void {
    this.tally.operation()
    let currentVm = this.vms[vm % this.vms.length] as RoutingVm
    let allowedHere = allowed
    let crossings = 0
    for (let hop = 0; hop <= maximumHops; hop += 1) {
      const choice = this.chooseAt(currentVm, allowedHere, crossings)
      if (choice.kind === RoutingChoiceKind.Run) return this.runOn(currentVm, choice.upstream, allowedHere)
      if (choice.kind !== RoutingChoiceKind.Forward) return
      if (!allowedHere.includes(choice.region)) throw new Error(`a request allowed in ${allowedHere.join()} was sent to ${choice.region}`)
      const nextVm = this.vms.find(({ name }) => name === choice.vm)
      if (nextVm === undefined || nextVm.region !== choice.region) throw new Error(`${choice.vm} is not a VM of ${choice.region}`)
      crossings += nextVm.region === currentVm.region ? 0 : 1
      if (crossings > 1) throw new Error(`a request crossed ${crossings} borders`)
      allowedHere = this.random.next() < 0.5 ? allowedAtReceiver : allowedAtReceiver.filter((region) => region === nextVm.region)
      currentVm = nextVm
    }
    throw new Error(`a request was forwarded more than ${maximumHops} times`)
  }

  /** Gives a VM a load report about an upstream, which may be false. */
  report (vm: number, upstream: number, running: number): void {
    this.tally.fault(FaultKind.StaleReader)
    this.vms[vm % this.vms.length]?.table.report(upstreams[upstream % upstreams.length]?.name ?? toUpstreamId('none'), {
      running, queued: 0, ageMilliseconds: Math.floor(this.random.next() * 5_000), leaving: running > 2 * slots
    })
  }

  /** Gives a VM a digest of the free slots of a region, which may be false. */
  digest (vm: number, regionIndex: number, freeSlots: number): void {
    this.tally.fault(FaultKind.Reorder)
    this.vms[vm % this.vms.length]?.digests.receive(regions[regionIndex % regions.length] as RegionId, [{ route, model, freeSlots }])
  }

  private runOn (vm: RoutingVm, name: Upstream['name'], allowedHere: readonly RegionId[]): void {
    const upstream = configuration.upstreams.get(name)
    if (upstream === undefined || upstream.region !== vm.region) throw new Error(`${vm.name} ran a request on ${name} of another region`)
    if (!allowedHere.includes(upstream.region)) throw new Error(`a request allowed in ${allowedHere.join()} ran in ${upstream.region}`)
    vm.table.beginRequest(name)
  }

  private chooseAt (vm: RoutingVm, allowedRegions: readonly RegionId[], crossings: number) {
    const request: RoutingRequest = {
      team: toTeamId('binders'),
      route,
      model,
      allowedRegions,
      mayCrossBorder: crossings === 0,
      excluded: new Set(),
      promptTokens: 100,
      outputTokens: 50,
      prompt: ''
    }
    const remoteRegions = regions.map((region): RemoteRegionView => ({
      region,
      vms: this.vms.filter((other) => other.region === region).map(({ name }) => name),
      freeSlots: vm.digests.freeSlots(region, request),
      latencyMilliseconds: 55
    }))
    return vm.chooser.choose(request, {
      region: vm.region, upstreams: vm.table.views(), remoteRegions, localWaitMilliseconds: this.random.next() * 5_000
    })
  }

  private createVm (region: RegionId, index: number): RoutingVm {
    const { clock, random } = this
    const table = new UpstreamTable(clock)
    table.configure(configuration)
    const link = new LinkBudget({ clock, linkMegabitsPerSecond: 100, share: 0.5, vmCount: () => vmsPerRegion })
    const createSpilloverPolicy = this.spilloverPolicyFactories[Math.floor(random.next() * this.spilloverPolicyFactories.length)]
    const spilloverPolicy = createSpilloverPolicy?.(random, link) ?? new SpilloverWhenUnserved(random)
    const predicted = new PredictedLatencyChooser({ clock, random, failureDomain, spillover: spilloverPolicy, vmCount: () => vmsPerRegion })
    return {
      name: toVmId(`vm-${region}-${index}`),
      region,
      table,
      digests: new RegionDigests({ clock, vmCount: () => vmsPerRegion }),
      chooser: random.next() < 0.2 ? new LeastInFlightChooser(random) : predicted
    }
  }
}

type Model = Record<string, never>

class ResidencyCommand implements fastCheck.Command<Model, ResidencyFleet> {
  constructor (private readonly name: string, private readonly execute: (fleet: ResidencyFleet) => void) {}

  check (): boolean {
    return true
  }

  run (_: Model, fleet: ResidencyFleet): void {
    this.execute(fleet)
  }

  toString (): string {
    return this.name
  }
}

const vmIndex = fastCheck.integer({ min: 0, max: regions.length * vmsPerRegion - 1 })
const regionSubset = fastCheck.subarray(regions)

const commands = [
  fastCheck.tuple(vmIndex, regionSubset, regionSubset, fastCheck.integer({ min: 1, max: 8 })).map(([vm, allowed, allowedAtReceiver, count]) =>
    new ResidencyCommand(`send(${vm},[${allowed.join()}],[${allowedAtReceiver.join()}],${count})`, (fleet) => {
      for (let index = 0; index < count; index += 1) fleet.send(vm, allowed, allowedAtReceiver)
    })),
  fastCheck.tuple(vmIndex, fastCheck.nat(5), fastCheck.nat(8)).map(([vm, upstream, running]) =>
    new ResidencyCommand(`report(${vm},${upstream},${running})`, (fleet) => fleet.report(vm, upstream, running))),
  fastCheck.tuple(vmIndex, fastCheck.nat(2), fastCheck.nat(20)).map(([vm, regionIndex, freeSlots]) =>
    new ResidencyCommand(`digest(${vm},${regionIndex},${freeSlots})`, (fleet) => fleet.digest(vm, regionIndex, freeSlots))),
  fastCheck.integer({ min: 1, max: 8_000 }).map((milliseconds) =>
    new ResidencyCommand(`wait(${milliseconds})`, (fleet) => fleet.clock.advance(milliseconds)))
]

export const residencySoak: SoakSuite = {
  name: 'residency',
  guarantee: "A team's requests never leave the regions its plan allows; no request loops.",
  run: async (seed, tally) => await checkCommands<Model, ResidencyFleet>({
    seed,
    runs: runsPerBatch,
    maximumCommands,
    commands,
    setup: () => ({ model: {}, real: new ResidencyFleet(seed, tally) })
  })
}
