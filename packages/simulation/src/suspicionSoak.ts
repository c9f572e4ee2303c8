/**
 * Soak suite: a request that crashes upstreams is found after two deaths that
 * a VM knows of, everywhere, and requests that ran beside it are not blamed.
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
const runMilliseconds = 40
const reviveMilliseconds = 10_000
const settleMilliseconds = 13_000
const deathsBeforeConviction = 2
const interRegionDelayMilliseconds = 55
/** The fake link's longest delay; a VM cannot have heard of a death sooner. */
const newsMilliseconds = interRegionDelayMilliseconds * 1.5

const team = toTeamId('binders')
const digestOf = (body: string): RequestDigest =>
  digestRequest({ team, route: toRouteName('drafting'), body: Buffer.from(body) })
const culprit = digestOf('culprit')
const innocents = Array.from({ length: innocentCount }, (_, index) => digestOf(`innocent-${index}`))
const upstreams = Array.from({ length: upstreamCount }, (_, index) => toUpstreamId(`upstream-${index}`))

interface SuspicionVm extends FakeVm {
  readonly suspects: CrashSuspects
  readonly spread: SuspicionGossip
}

interface Run {
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
  /** Requests that were running beside the culprit at each death so far. */
  private companions: readonly RequestDigest[] = innocents
  linkFaults = 0
  private incarnations = 0
  private culpritRunning = false
  private readonly running = new Map<UpstreamId, Run[]>()
  private readonly dead = new Set<UpstreamId>()

  constructor (seed: number, readonly tally: SoakTally) {
    this.random = new SeededRandom(seed)
    this.link = new FakeLink({
      clock: this.clock, random: this.random, localDelayMilliseconds: 1, interRegionDelayMilliseconds
    })
    for (let index = 0; index < vmCount; index += 1) this.start(index)
  }

  start (index: number): void {
    this.incarnations += 1
    const { clock, random } = this
    const vm = toVmId(`vm-${index}`)
    const suspects = new CrashSuspects({ clock, capacity: 1_000 })
    const peers = (): readonly VmId[] => this.vms.map(({ identity }) => identity.vm).filter((name) => name !== vm)
    const spread = new SuspicionGossip({ clock, random, suspects, peers })
    const started: SuspicionVm = {
      identity: {
        vm,
        incarnation: toIncarnationId(`i-${this.incarnations}`),
        region: toRegionId(`region-${index % 3}`),
        failureDomain: toFailureDomainId(`fd-${index}`)
      },
      suspects,
      spread,
      protocols: new Map([['suspicion' as const, spread as PeerProtocol<never>]])
    }
    this.vms[index] = started
    this.link.attach(started)
  }

  /** Sends a request through a VM, as its execution would. */
  send (index: number, digest: RequestDigest): void {
    const vm = this.vms[index]
    if (vm === undefined || this.link.isPaused(vm.identity.vm)) return
    this.tally.operation()
    const suspicion = vm.suspects.suspicionOf(digest)
    if (suspicion.kind === SuspicionKind.Convicted || vm.suspects.isRunning(digest)) return
    const spared = suspicion.kind === SuspicionKind.Suspected
      ? new Set([...suspicion.diedOn, ...vm.suspects.upstreamsWithSuspects()])
      : new Set<UpstreamId>()
    const upstream = pickOne(upstreams.filter((name) => !this.dead.has(name) && !spared.has(name)), this.random)
    if (upstream !== undefined) this.run({ vm, digest }, upstream)
  }

  /** A caller that sends the culprit again as soon as it has an answer. */
  sendCulprit (index: number): void {
    if (!this.culpritRunning) this.send(index, culprit)
  }

  fault (kind: FaultKind): void {
    this.tally.fault(kind)
    if (kind !== FaultKind.UpstreamCrash) this.linkFaults += 1
  }

  finish (): void {
    this.link.heal()
    this.link.lossShare = 0
    for (const vm of this.vms) this.link.resume(vm.identity.vm)
    this.clock.advance(settleMilliseconds)
    this.checkInnocents()
    const isKnown = this.vms.some((vm) => vm.suspects.suspicionOf(culprit).kind === SuspicionKind.Convicted)
    const unaware = this.vms.filter((vm) => vm.suspects.suspicionOf(culprit).kind !== SuspicionKind.Convicted)
    if (isKnown && unaware.length > 0) throw new Error(`${unaware.map((vm) => vm.identity.vm).join()} would run the culprit again`)
  }

  /** Until the news of a death is everywhere, a VM may blame the one suspect that it knows of. */
  checkBounds (): void {
    const isNewsUnderway = this.linkFaults > 0 || this.clock.monotonic() <= this.lastDeathAt + newsMilliseconds
    if (!isNewsUnderway) this.checkInnocents()
  }

  private checkInnocents (): void {
    for (const vm of this.vms) {
      const blamed = innocents.filter((digest) => vm.suspects.suspicionOf(digest).kind === SuspicionKind.Convicted)
      if (blamed.length > 0) throw new Error(`${vm.identity.vm} convicted ${blamed.length} innocent requests`)
    }
  }

  private run (run: Run, upstream: UpstreamId): void {
    run.vm.suspects.started(run.digest, upstream)
    this.running.set(upstream, [...this.running.get(upstream) ?? [], run])
    if (run.digest === culprit) this.beginCulprit(run)
    const span = runMilliseconds * (1 + this.random.next())
    this.clock.schedule(span, () => run.digest === culprit ? this.die(upstream) : this.complete(run, upstream))
  }

  private beginCulprit (run: Run): void {
    this.culpritRunning = true
    const now = this.clock.monotonic()
    const mayBeTied = this.culpritDeaths === deathsBeforeConviction && this.companions.length > 0
    if (this.linkFaults === 0 && !mayBeTied && now > this.convictableAt + newsMilliseconds) {
      throw new Error(`${run.vm.identity.vm} ran the culprit at ${now}, though its second death was at ${this.convictableAt}`)
    }
  }

  private complete (run: Run, upstream: UpstreamId): void {
    const running = this.running.get(upstream)
    if (running === undefined || !running.includes(run)) return
    this.running.set(upstream, running.filter((other) => other !== run))
    this.link.runOn(run.vm.identity.vm, () => run.vm.suspects.completed(run.digest))
  }

  private die (upstream: UpstreamId): void {
    const blamed = this.running.get(upstream) ?? []
    this.running.delete(upstream)
    this.culpritRunning = false
    if (!blamed.some(({ digest }) => digest === culprit)) return
    this.tally.fault(FaultKind.UpstreamCrash)
    this.culpritDeaths += 1
    this.lastDeathAt = this.clock.monotonic()
    this.companions = this.companions.filter((digest) => blamed.some((run) => run.digest === digest))
    if (this.culpritDeaths === deathsBeforeConviction) this.convictableAt = this.clock.monotonic()
    this.dead.add(upstream)
    this.clock.schedule(reviveMilliseconds, () => this.dead.delete(upstream))
    for (const { vm, digest } of blamed) {
      this.link.runOn(vm.identity.vm, () => this.link.send(vm, vm.spread.report({ digest, team, upstream })))
    }
  }
}

type Model = Record<string, never>

class FleetCommand implements fastCheck.Command<Model, SuspicionFleet> {
  constructor (private readonly name: string, private readonly act: (fleet: SuspicionFleet) => void) {}

  check (): boolean {
    return true
  }

  run (_: Model, fleet: SuspicionFleet): void {
    this.act(fleet)
    fleet.clock.advance(1)
    fleet.checkBounds()
  }

  toString (): string {
    return this.name
  }
}

const vmIndex = fastCheck.integer({ min: 0, max: vmCount - 1 })
const nameOf = (index: number): VmId => toVmId(`vm-${index}`)

const onVm = (name: string, act: (fleet: SuspicionFleet, index: number) => void) =>
  vmIndex.map((index) => new FleetCommand(`${name}(${index})`, (fleet) => act(fleet, index)))

const calmCommands = [
  onVm('culprit', (fleet, index) => fleet.sendCulprit(index)),
  fastCheck.tuple(vmIndex, fastCheck.integer({ min: 0, max: innocentCount - 1 })).map(([index, innocent]) =>
    new FleetCommand(`innocent(${index},${innocent})`, (fleet) => fleet.send(index, innocents[innocent] ?? culprit))),
  fastCheck.integer({ min: 10, max: 400 }).map((span) =>
    new FleetCommand(`wait(${span})`, (fleet) => fleet.clock.advance(span)))
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

const check = async (seed: number, tally: SoakTally, commands: typeof calmCommands) =>
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
  promise: 'A request that crashes each upstream that runs it is refused after two deaths, and no other is blamed.',
  run: async (seed, tally) =>
    await check(seed, tally, calmCommands) ?? await check(seed, tally, [...calmCommands, ...calmCommands, ...faultCommands])
}
