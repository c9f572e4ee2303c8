/**
 * Soak suite for metering: usage is never counted twice, the loss of any one VM
 * loses no count that another VM has acknowledged, and missing counts are
 * reported as a gap.
 */

import * as fastCheck from 'fast-check'
import {
  SeededRandom, toFailureDomainId, toIncarnationId, toRegionId, toRequestId, toRouteName, toTeamId, toVmId
} from '@cuminvale/common'
import { UsageAccount, UsageCopies, UsageMeter, accountKey, mergeUsage } from '@cuminvale/metering'
import type { Mechanism, MeteringMessage, OutboundMessage, PeerIdentity, PeerProtocol } from '@cuminvale/messages'
import type { CopyCandidate } from '@cuminvale/metering'
import { checkCommands } from './checkCommands.js'
import { FakeLink } from './fakeLink.js'
import { FaultKind } from './soakSuite.js'
import { VirtualClock } from './virtualClock.js'
import type { FakeVm } from './fakeLink.js'
import type { SoakSuite, SoakTally } from './soakSuite.js'

const vmCount = 6
const runsPerBatch = 20
const maximumCommands = 40
/** Time within which a fleet without faults replaces the copies that a lost VM held. */
const settleMilliseconds = 10_000
const teams = ['luzon-roads', 'mower-guild', 'visayas-roads']

interface MeteredVm extends FakeVm {
  readonly account: UsageAccount
  readonly meter: UsageMeter
  readonly copies: UsageCopies
}

/** Passes each message on and records which sequence of the VM's own account was acknowledged. */
class AcknowledgementRecorder implements PeerProtocol<MeteringMessage> {
  readonly tickMilliseconds: number

  constructor (private readonly copies: UsageCopies, private readonly recordAcknowledgement: (message: MeteringMessage) => void) {
    this.tickMilliseconds = copies.tickMilliseconds
  }

  receive (from: PeerIdentity, message: MeteringMessage): readonly OutboundMessage[] {
    this.recordAcknowledgement(message)
    return this.copies.receive(from, message)
  }

  tick (): readonly OutboundMessage[] {
    return this.copies.tick()
  }
}

class MeteredFleet {
  readonly clock = new VirtualClock()
  readonly link: FakeLink
  readonly vms = new Map<number, MeteredVm>()
  private readonly completedCounts = new Map<string, number>()
  private readonly acknowledged = new Map<string, number>()
  private startCount = 0
  private requests = 0

  constructor (seed: number, readonly tally: SoakTally) {
    this.link = new FakeLink({
      clock: this.clock, random: new SeededRandom(seed), localDelayMilliseconds: 1, interRegionDelayMilliseconds: 55
    })
    for (let index = 0; index < vmCount; index += 1) this.start(index)
  }

  start (index: number): void {
    this.startCount += 1
    const identity = identityOf(index, this.startCount)
    const account = new UsageAccount({ vm: identity.vm, incarnation: identity.incarnation })
    const copies = new UsageCopies({ self: identity, own: account, peers: () => this.peersOf(identity) })
    const recorder = new AcknowledgementRecorder(copies, (message) => this.recordAcknowledgement(account, message))
    const protocols = new Map<Mechanism, PeerProtocol<never>>([['metering', recorder as PeerProtocol<never>]])
    const vm: MeteredVm = { identity, account, copies, meter: new UsageMeter(account), protocols }
    this.vms.set(index, vm)
    this.link.attach(vm)
  }

  /** Crashes a VM with no other fault present, and leaves the others enough time before the next loss. */
  crash (index: number): void {
    const vm = this.vms.get(index)
    if (vm === undefined || this.vms.size < 3) return
    this.clearFaults()
    this.advance(settleMilliseconds)
    this.tally.fault(FaultKind.Crash)
    this.link.detach(vm.identity.vm)
    this.vms.delete(index)
    this.check()
    this.advance(settleMilliseconds)
    this.check()
  }

  /** Shuts a VM down in order: its account ends and is handed over before the VM stops. */
  leave (index: number): void {
    const vm = this.vms.get(index)
    if (vm === undefined || this.vms.size < 3) return
    this.clearFaults()
    this.advance(settleMilliseconds)
    vm.account.end()
    this.advance(settleMilliseconds)
    if (!vm.copies.isFullyCopied) throw new Error(`${vm.identity.vm} could not hand over its counts`)
    this.link.detach(vm.identity.vm)
    this.vms.delete(index)
    this.advance(settleMilliseconds)
    this.check()
  }

  complete (index: number, count: number): void {
    const vm = this.vms.get(index)
    if (vm === undefined || this.link.isPaused(vm.identity.vm)) return
    for (let done = 0; done < count; done += 1) {
      this.requests += 1
      this.tally.operation()
      const id = toRequestId(`${vm.identity.incarnation}-${this.requests}`)
      vm.meter.begin(id)
      vm.meter.complete({ id, team: toTeamId(teams[this.requests % teams.length] ?? ''), route: toRouteName('dispatch'), weight: 2, tokens: 5 })
    }
    this.completedCounts.set(accountKey(vm.account.id), vm.account.sequence)
  }

  advance (milliseconds: number): void {
    this.clock.advance(milliseconds)
  }

  clearFaults (): void {
    this.link.heal()
    this.link.lossShare = 0
    for (const { identity } of this.vms.values()) this.link.resume(identity.vm)
  }

  /** Checks what a collector that queries every running VM would bill. */
  check (): void {
    const usage = [...this.vms.values()].map(({ account, copies }) =>
      ({ self: account.id, reports: copies.reports(), dropped: copies.droppedAccounts }))
    const { counts, gaps } = mergeUsage(usage)
    const billed = counts.reduce((sum, { requests }) => sum + requests, 0)
    const weighted = counts.reduce((sum, count) => sum + count.weighted, 0)
    const completed = [...this.completedCounts.values()].reduce((sum, requests) => sum + requests, 0)
    const minimumBilledTotal = [...this.completedCounts].reduce((sum, [key, requests]) => sum + this.minimumBilled(key, requests), 0)
    if (billed > completed) throw new Error(`${billed} requests were billed, but only ${completed} were completed`)
    if (billed < minimumBilledTotal) throw new Error(`${billed} requests were billed, but ${minimumBilledTotal} are held by running VMs or were acknowledged`)
    if (weighted !== billed * 2) throw new Error(`${billed} requests of weight 2 were billed with a total weight of ${weighted}`)
    if (billed < completed && gaps.length === 0 && this.isEveryAccountKnown(usage.flatMap(({ reports }) => reports.map(accountKey)))) {
      throw new Error(`${completed - billed} requests are missing without a reported gap`)
    }
  }

  private minimumBilled (key: string, completed: number): number {
    const isRunning = [...this.vms.values()].some(({ account }) => accountKey(account.id) === key)
    return isRunning ? completed : this.acknowledged.get(key) ?? 0
  }

  private isEveryAccountKnown (keys: readonly string[]): boolean {
    return [...this.completedCounts.keys()].every((key) => keys.includes(key))
  }

  private recordAcknowledgement (account: UsageAccount, message: MeteringMessage): void {
    if (message.kind !== 'metering.acknowledge' || message.incarnation !== account.id.incarnation) return
    const key = accountKey(account.id)
    this.acknowledged.set(key, Math.max(this.acknowledged.get(key) ?? 0, message.sequence))
  }

  private peersOf (self: PeerIdentity): readonly CopyCandidate[] {
    return [...this.vms.values()].filter(({ identity }) => identity.vm !== self.vm).map(({ identity }) => ({
      ...identity, reachable: !this.link.isPaused(identity.vm) && !this.link.isCut(self.vm, identity.vm)
    }))
  }
}

const identityOf = (index: number, start: number): PeerIdentity => ({
  vm: toVmId(`vm-${index}`),
  incarnation: toIncarnationId(`i-${start}`),
  region: toRegionId(index % 2 === 0 ? 'luzon' : 'visayas'),
  failureDomain: toFailureDomainId(`domain-${index % 4}`)
})

type Model = Record<string, never>

class FleetCommand implements fastCheck.Command<Model, MeteredFleet> {
  constructor (private readonly name: string, private readonly execute: (fleet: MeteredFleet) => void) {}

  check (): boolean {
    return true
  }

  run (_: Model, fleet: MeteredFleet): void {
    this.execute(fleet)
    fleet.check()
  }

  toString (): string {
    return this.name
  }
}

const vmIndex = fastCheck.integer({ min: 0, max: vmCount - 1 })

const onVm = (name: string, execute: (fleet: MeteredFleet, index: number) => void) =>
  vmIndex.map((index) => new FleetCommand(`${name}(${index})`, (fleet) => execute(fleet, index)))

const commands = [
  fastCheck.tuple(vmIndex, fastCheck.integer({ min: 1, max: 9 })).map(([index, count]) =>
    new FleetCommand(`complete(${index},${count})`, (fleet) => fleet.complete(index, count))),
  onVm('crash', (fleet, index) => fleet.crash(index)),
  onVm('leave', (fleet, index) => fleet.leave(index)),
  onVm('start', (fleet, index) => {
    if (fleet.vms.has(index)) return
    fleet.tally.fault(FaultKind.Restart)
    fleet.start(index)
  }),
  onVm('pause', (fleet, index) => {
    fleet.tally.fault(FaultKind.Pause)
    fleet.link.pause(toVmId(`vm-${index}`))
  }),
  onVm('isolate', (fleet, index) => {
    fleet.tally.fault(FaultKind.Partition)
    fleet.link.isolate([toVmId(`vm-${index}`)])
  }),
  fastCheck.integer({ min: 0, max: 50 }).map((percent) => new FleetCommand(`loss(${percent}%)`, (fleet) => {
    fleet.tally.fault(FaultKind.Loss)
    fleet.link.lossShare = percent / 100
  })),
  fastCheck.integer({ min: 100, max: 6_000 }).map((milliseconds) => new FleetCommand(`wait(${milliseconds})`, (fleet) => fleet.advance(milliseconds))),
  fastCheck.constant(new FleetCommand('quieten', (fleet) => fleet.clearFaults()))
]

export const meteringSoak: SoakSuite = {
  name: 'metering',
  guarantee: 'Each completed request is counted once, and the loss of one VM loses no acknowledged count.',
  run: async (seed, tally) => await checkCommands<Model, MeteredFleet>({
    seed,
    runs: runsPerBatch,
    maximumCommands,
    commands,
    setup: () => ({ model: {}, real: new MeteredFleet(seed, tally) }),
    finish: (fleet) => {
      fleet.clearFaults()
      fleet.advance(settleMilliseconds)
      fleet.check()
    }
  })
}
