/**
 * Soak suite for crash suspects: a request that crashes upstreams is convicted on
 * every VM once a VM knows of two deaths. Requests that ran beside it are not
 * blamed.
 */

import * as fastCheck from 'fast-check'
import {
  SeededRandom, pickOne, toFailureDomainId, toIncarnationId, toRegionId, toRouteName, toTeamId, toUpstreamId, toVmId
} from '@cuminvale/common'
import { CrashSuspects, SuspicionKind, SuspicionGossip, digestRequest } from '@cuminvale/routing'
import type { UpstreamId, VmId } from '@cuminvale/common'
import type { PeerProtocol } from '@cuminvale/messages'
import type { RequestDigest } from '@cuminvale/routing'
import { checkCommands } from './checkCommands.js'
import { FakeLink } from './fakeLink.js'
import { FaultKind } from './soakSuite.js'
import { VirtualClock } from './virtualClock.js'
import type { FakeVm } from './fakeLink.js'
import type { SoakSuite, SoakTally } from './soakSuite.js'

const vmCount = 8
const upstreamCount = 11
const innocentCount = 12
const runsPerBatch = 20
const maximumCommands = 40
const minimumRunMilliseconds = 40
const upstreamRestartMilliseconds = 10_000
const settleMilliseconds = 13_000
const deathsBeforeConviction = 2
const interRegionDelayMilliseconds = 55
/** Longest delay of the fake link; until it has passed, a VM need not know of a death. */
const maximumReportDelayMilliseconds = interRegionDelayMilliseconds * 1.5

const team = toTeamId('binders')
const digestOf = (body: string): RequestDigest =>
  digestRequest({ team, route: toRouteName('drafting'), body: Buffer.from(body) })
const culprit = digestOf('culprit')
const innocents = Array.from({ length: innocentCount }, (_, index) => digestOf(`innocent-${index}`))
const upstreams = Array.from({ length: upstreamCount }, (_, index) => toUpstreamId(`upstream-${index}`))

interface SuspicionVm extends FakeVm {
  readonly suspects: CrashSuspects
  readonly gossip: SuspicionGossip
}

interface RunningRequest {
  readonly vm: SuspicionVm
  readonly digest: RequestDigest
}

class SuspicionFleet {
  readonly clock = new VirtualClock()
  readonly random: SeededRandom
  readonly link: FakeLink
  readonly vms: SuspicionVm[] = []
  culpritDeaths = 0
  private convictableAt = Infinity
  private lastDeathAt = -Infinity
  /** Innocent requests that were running beside the culprit at every death so far. */
  private companions: readonly RequestDigest[] = innocents
  linkFaultCount = 0
  private incarnationCount = 0
  private isCulpritRunning = false
  private readonly running = new Map<UpstreamId, RunningRequest[]>()
  private readonly deadUpstreams = new Set<UpstreamId>()

  constructor (seed: number, readonly tally: SoakTally) {
    this.random = new SeededRandom(seed)
    this.link = new FakeLink({
      clock: this.clock, random: this.random, localDelayMilliseconds: 1, interRegionDelayMilliseconds
    })
    for (let index = 0; index < vmCount; index += 1) this.start(index)
  }

  start (index: number): void {
    this.incarnationCount += 1
    const { clock, random } = this
    const vm = toVmId(`vm-${index}`)
    const suspects = new CrashSuspects({ clock, capacity: 1_000 })
    const peers = (): readonly VmId[] => this.vms.map(({ identity }) => identity.vm).filter((name) => name !== vm)
    const gossip = new SuspicionGossip({ clock, random, suspects, peers })
    const startedVm: SuspicionVm = {
      identity: {
        vm,
        incarnation: toIncarnationId(`i-${this.incarnationCount}`),
        region: toRegionId(`region-${index % 3}`),
        failureDomain: toFailureDomainId(`fd-${index}`)
      },
      suspects,
      gossip,
      protocols: new Map([['suspicion' as const, gossip as PeerProtocol<never>]])
    }
    this.vms[index] = startedVm
    this.link.attach(startedVm)
  }

  /** Sends a request through a VM by the rules of request execution. */
  send (index: number, digest: RequestDigest): void {
    const vm = this.vms[index]
    if (vm === undefined || this.link.isPaused(vm.identity.vm)) return
    this.tally.operation()
    const suspicion = vm.suspects.suspicionOf(digest)
    if (suspicion.kind === SuspicionKind.Convicted || vm.suspects.isRunning(digest)) return
    const avoided = suspicion.kind === SuspicionKind.Suspected
      ? new Set([...suspicion.diedOn, ...vm.suspects.upstreamsWithSuspects()])
      : new Set<UpstreamId>()
    const upstream = pickOne(upstreams.filter((name) => !this.deadUpstreams.has(name) && !avoided.has(name)), this.random)
    if (upstream !== undefined) this.run({ vm, digest }, upstream)
  }

  /** Sends the culprit unless it is running, like a caller that repeats it after each answer. */
  sendCulprit (index: number): void {
    if (!this.isCulpritRunning) this.send(index, culprit)
  }

  fault (kind: FaultKind): void {
    this.tally.fault(kind)
    if (kind !== FaultKind.UpstreamCrash) this.linkFaultCount += 1
  }

  finish (): void {
    this.link.heal()
    this.link.lossShare = 0
    for (const vm of this.vms) this.link.resume(vm.identity.vm)
    this.clock.advance(settleMilliseconds)
    this.checkInnocents()
    const isConvictedSomewhere = this.vms.some((vm) => vm.suspects.suspicionOf(culprit).kind === SuspicionKind.Convicted)
    const unawareVms = this.vms.filter((vm) => vm.suspects.suspicionOf(culprit).kind !== SuspicionKind.Convicted)
    if (isConvictedSomewhere && unawareVms.length > 0) throw new Error(`${unawareVms.map((vm) => vm.identity.vm).join()} would run the culprit again`)
  }

  /** While reports of a death may be in transit, a VM may blame the only suspect that it knows of. */
  checkBounds (): void {
    const areReportsInTransit = this.linkFaultCount > 0 || this.clock.monotonic() <= this.lastDeathAt + maximumReportDelayMilliseconds
    if (!areReportsInTransit) this.checkInnocents()
  }

  private checkInnocents (): void {
    for (const vm of this.vms) {
      const blamed = innocents.filter((digest) => vm.suspects.suspicionOf(digest).kind === SuspicionKind.Convicted)
      if (blamed.length > 0) throw new Error(`${vm.identity.vm} convicted ${blamed.length} innocent requests`)
    }
  }

  private run (run: RunningRequest, upstream: UpstreamId): void {
    run.vm.suspects.started(run.digest, upstream)
    this.running.set(upstream, [...this.running.get(upstream) ?? [], run])
    if (run.digest === culprit) this.recordCulpritStart(run)
    const milliseconds = minimumRunMilliseconds * (1 + this.random.next())
    this.clock.schedule(milliseconds, () => run.digest === culprit ? this.crashUpstream(upstream) : this.complete(run, upstream))
  }

  private recordCulpritStart (run: RunningRequest): void {
    this.isCulpritRunning = true
    const now = this.clock.monotonic()
    const isBlameAmbiguous = this.culpritDeaths === deathsBeforeConviction && this.companions.length > 0
    if (this.linkFaultCount === 0 && !isBlameAmbiguous && now > this.convictableAt + maximumReportDelayMilliseconds) {
      throw new Error(`${run.vm.identity.vm} ran the culprit at ${now} ms, although its second death was at ${this.convictableAt} ms`)
    }
  }

  private complete (run: RunningRequest, upstream: UpstreamId): void {
    const running = this.running.get(upstream)
    if (running === undefined || !running.includes(run)) return
    this.running.set(upstream, running.filter((other) => other !== run))
    this.link.runOn(run.vm.identity.vm, () => run.vm.suspects.completed(run.digest))
  }

  private crashUpstream (upstream: UpstreamId): void {
    const interrupted = this.running.get(upstream) ?? []
    this.running.delete(upstream)
    this.isCulpritRunning = false
    if (!interrupted.some(({ digest }) => digest === culprit)) return
    this.tally.fault(FaultKind.UpstreamCrash)
    this.culpritDeaths += 1
    this.lastDeathAt = this.clock.monotonic()
    this.companions = this.companions.filter((digest) => interrupted.some((run) => run.digest === digest))
    if (this.culpritDeaths === deathsBeforeConviction) this.convictableAt = this.clock.monotonic()
    this.deadUpstreams.add(upstream)
    this.clock.schedule(upstreamRestartMilliseconds, () => this.deadUpstreams.delete(upstream))
    for (const { vm, digest } of interrupted) {
      this.link.runOn(vm.identity.vm, () => this.link.send(vm, vm.gossip.report({ digest, team, upstream })))
    }
  }
}

type Model = Record<string, never>

class FleetCommand implements fastCheck.Command<Model, SuspicionFleet> {
  constructor (private readonly name: string, private readonly execute: (fleet: SuspicionFleet) => void) {}

  check (): boolean {
    return true
  }

  run (_: Model, fleet: SuspicionFleet): void {
    this.execute(fleet)
    fleet.clock.advance(1)
    fleet.checkBounds()
  }

  toString (): string {
    return this.name
  }
}

const vmIndex = fastCheck.integer({ min: 0, max: vmCount - 1 })
const nameOf = (index: number): VmId => toVmId(`vm-${index}`)

const onVm = (name: string, execute: (fleet: SuspicionFleet, index: number) => void) =>
  vmIndex.map((index) => new FleetCommand(`${name}(${index})`, (fleet) => execute(fleet, index)))

const faultFreeCommands = [
  onVm('culprit', (fleet, index) => fleet.sendCulprit(index)),
  fastCheck.tuple(vmIndex, fastCheck.integer({ min: 0, max: innocentCount - 1 })).map(([index, innocent]) =>
    new FleetCommand(`innocent(${index},${innocent})`, (fleet) => fleet.send(index, innocents[innocent] ?? culprit))),
  fastCheck.integer({ min: 10, max: 400 }).map((milliseconds) =>
    new FleetCommand(`wait(${milliseconds})`, (fleet) => fleet.clock.advance(milliseconds)))
]

const faultCommands = [
  onVm('pause', (fleet, index) => {
    fleet.fault(FaultKind.Pause)
    fleet.link.pause(nameOf(index))
  }),
  onVm('resume', (fleet, index) => fleet.link.resume(nameOf(index))),
  onVm('isolate', (fleet, index) => {
    fleet.fault(FaultKind.Partition)
    fleet.link.isolate([nameOf(index)])
  }),
  onVm('restart', (fleet, index) => {
    fleet.fault(FaultKind.Restart)
    fleet.start(index)
  }),
  fastCheck.integer({ min: 0, max: 50 }).map((percent) => new FleetCommand(`loss(${percent}%)`, (fleet) => {
    fleet.fault(FaultKind.Loss)
    fleet.link.lossShare = percent / 100
  })),
  fastCheck.constant(new FleetCommand('heal', (fleet) => fleet.link.heal()))
]

const checkSequences = async (seed: number, tally: SoakTally, commands: typeof faultFreeCommands) =>
  await checkCommands<Model, SuspicionFleet>({
    seed,
    runs: runsPerBatch,
    maximumCommands,
    commands,
    setup: () => ({ model: {}, real: new SuspicionFleet(seed, tally) }),
    finish: (fleet) => fleet.finish()
  })

export const suspicionSoak: SoakSuite = {
  name: 'suspicion',
  guarantee: 'A request that crashes each upstream that runs it is refused after two deaths, and no other request is blamed.',
  run: async (seed, tally) =>
    await checkSequences(seed, tally, faultFreeCommands) ?? await checkSequences(seed, tally, [...faultFreeCommands, ...faultFreeCommands, ...faultCommands])
}
