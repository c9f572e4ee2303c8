/**
 * Soak suite for rate limits: no team exceeds its rate and burst across all VMs
 * together, under partitions, pauses, suspensions, crashes, restarts, a lagging
 * VM list and drifting clocks.
 */

import * as fastCheck from 'fast-check'
import { SeededRandom } from '@cuminvale/common'
import { EscrowLimiter, maximumLoanMilliseconds } from '@cuminvale/limits'
import type { Charge } from '@cuminvale/limits'
import { checkCommands } from './checkCommands.js'
import { LimitsFleet, configurationOf, nameOf, teamName } from './limitsFleet.js'
import { SpendingLedger } from './spendingLedger.js'
import { FaultKind } from './soakSuite.js'
import type { SpendingEntry } from './spendingLedger.js'
import type { SoakSuite, SoakTally } from './soakSuite.js'

const regions = ['veneto', 'veneto', 'veneto', 'veneto', 'emilia', 'emilia']
const vmCount = regions.length
const plan = { ratePerSecond: 1_000, burst: 300, regionShares: { veneto: 0.7, emilia: 0.3 } }
const listLagMilliseconds = 1_000
const minimumListChangeIntervalMilliseconds = 2_500
const runsPerBatch = 10
const maximumCommands = 24
const warmUpMilliseconds = 4_000
const finishMilliseconds = 2_000
const floodMilliseconds = 20
const requestTokens = 40
const toleranceTokens = 1e-3

interface RunningRequest {
  readonly vm: number
  readonly incarnation: string
  readonly charge: Charge
  readonly spending: SpendingEntry
}

class LimitsSoakFleet {
  readonly fleet: LimitsFleet
  readonly ledger = new SpendingLedger()
  private readonly random: SeededRandom
  private readonly listedVms = new Set(regions.keys())
  private readonly listChangedAt = new Map<number, number>()
  private running: RunningRequest[] = []
  /** VMs through which callers request more tokens than the team's limit allows. */
  floodedVms = new Set<number>(regions.keys())

  constructor (seed: number, readonly tally: SoakTally) {
    this.random = new SeededRandom(seed)
    this.fleet = new LimitsFleet({
      random: this.random,
      regions,
      configuration: configurationOf(1, regions, [plan]),
      createLimiter: (parts) => new EscrowLimiter({ ...parts, listLagMilliseconds }),
      listLagMilliseconds,
      clockDriftShare: 0.001
    })
    this.fleet.list([...this.listedVms])
    this.fleet.clock.advance(listLagMilliseconds)
    for (let index = 0; index < vmCount; index += 1) this.fleet.start(index)
    this.flood()
    this.fleet.clock.advance(warmUpMilliseconds)
  }

  /** Adds a VM to the VM list or removes it. The listing of a VM changes at intervals longer than the lag of the list. */
  setListed (index: number, isListed: boolean): void {
    const { clock } = this.fleet
    const changedAt = this.listChangedAt.get(index) ?? -Infinity
    if (this.listedVms.has(index) === isListed || clock.monotonic() - changedAt < minimumListChangeIntervalMilliseconds) return
    if (isListed) this.listedVms.add(index)
    else this.listedVms.delete(index)
    this.listChangedAt.set(index, clock.monotonic())
    this.tally.fault(FaultKind.ListLag)
    this.fleet.list([...this.listedVms])
  }

  /** Settles about half of the running requests for less than their charge. */
  settleSomeRequests (): void {
    const ended = this.running.filter(() => this.random.next() < 0.5)
    this.running = this.running.filter((running) => !ended.includes(running))
    for (const { vm, incarnation, charge, spending } of ended) {
      const target = this.fleet.vms[vm]
      if (target === undefined || target.identity.incarnation !== incarnation || !this.fleet.isRunning(vm)) continue
      const used = Math.floor(charge.tokens * this.random.next())
      this.fleet.link.runOn(target.identity.vm, () => {
        target.limiter.settle(charge, used)
        spending.tokens = used
      })
    }
  }

  /** Lets the buckets fill, then requests more tokens than the team's limit allows through every VM. */
  refillAndFlood (milliseconds: number): void {
    this.floodedVms = new Set()
    this.fleet.clock.advance(milliseconds)
    this.floodedVms = new Set(regions.keys())
    this.fleet.clock.advance(floodMilliseconds)
  }

  /** Brings most of the team's shares to one VM and lets its bucket fill. */
  concentrateShares (index: number): void {
    this.floodedVms = new Set([index])
    this.fleet.clock.advance(1_500)
    this.floodedVms = new Set()
    this.fleet.clock.advance(300)
  }

  finish (): void {
    this.fleet.link.heal()
    this.fleet.link.lossShare = 0
    for (let index = 0; index < vmCount; index += 1) this.fleet.resume(index)
    this.settleSomeRequests()
    this.fleet.clock.advance(finishMilliseconds)
    const excessTokens = this.ledger.largestOverspendTokens(plan)
    if (excessTokens > toleranceTokens) throw new Error(`the team spent ${excessTokens} tokens more than its burst and rate allow`)
  }

  private flood (): void {
    for (const index of this.floodedVms) this.request(index)
    this.fleet.clock.schedule(floodMilliseconds, () => this.flood())
  }

  private request (index: number): void {
    const vm = this.fleet.vms[index]
    if (vm === undefined || !this.fleet.isRunning(index) || this.fleet.link.isPaused(nameOf(index))) return
    this.tally.operation()
    const charge = vm.limiter.charge(teamName(0), 1 + Math.floor(this.random.next() * requestTokens))
    if (charge.isErr) return
    const spending = this.ledger.record(this.fleet.clock.monotonic(), charge.value.tokens)
    this.running.push({ vm: index, incarnation: vm.identity.incarnation, charge: charge.value, spending })
  }
}

type Model = Record<string, never>

class FleetCommand implements fastCheck.Command<Model, LimitsSoakFleet> {
  constructor (private readonly name: string, private readonly execute: (soak: LimitsSoakFleet) => void) {}

  check (): boolean {
    return true
  }

  run (_: Model, soak: LimitsSoakFleet): void {
    this.execute(soak)
    soak.fleet.clock.advance(1)
  }

  toString (): string {
    return this.name
  }
}

const vmIndex = fastCheck.integer({ min: 0, max: vmCount - 1 })

const onVm = (name: string, fault: FaultKind | undefined, execute: (soak: LimitsSoakFleet, index: number) => void) =>
  vmIndex.map((index) => new FleetCommand(`${name}(${index})`, (soak) => {
    if (fault !== undefined) soak.tally.fault(fault)
    execute(soak, index)
  }))

const onFleet = (name: string, execute: (soak: LimitsSoakFleet) => void) => fastCheck.constant(new FleetCommand(name, execute))

/** Restarts a VM while a grant to it is in transit, then requests more tokens than the team's limit allows. */
const restartBorrower = (soak: LimitsSoakFleet, index: number): void => {
  soak.refillAndFlood(800)
  soak.fleet.link.reorderMilliseconds = 1_000
  soak.floodedVms = new Set([index])
  soak.fleet.clock.advance(200)
  soak.fleet.start(index)
  soak.fleet.link.reorderMilliseconds = 0
  soak.fleet.clock.advance(2_500)
  soak.refillAndFlood(400)
  soak.fleet.clock.advance(maximumLoanMilliseconds)
}

const wait = (maximumMilliseconds: number) => fastCheck.integer({ min: 1, max: maximumMilliseconds })
  .map((milliseconds) => new FleetCommand(`wait(${milliseconds})`, (soak) => soak.fleet.clock.advance(milliseconds)))

const commands = [
  onVm('flood', undefined, (soak, index) => soak.floodedVms.add(index)),
  onFleet('floodAll', (soak) => { soak.floodedVms = new Set(regions.keys()) }),
  fastCheck.integer({ min: 300, max: 1_500 }).map((milliseconds) => new FleetCommand(`rest(${milliseconds})`, (soak) => soak.refillAndFlood(milliseconds))),
  onVm('suspendBorrower', FaultKind.Pause, (soak, index) => {
    soak.concentrateShares(index)
    soak.fleet.suspend(index)
    soak.fleet.clock.advance(maximumLoanMilliseconds + 500)
    soak.refillAndFlood(800)
    soak.fleet.resume(index)
    soak.fleet.clock.advance(maximumLoanMilliseconds)
  }),
  onVm('restartLender', FaultKind.Restart, (soak, index) => {
    soak.concentrateShares((index + 1) % vmCount)
    soak.fleet.start(index)
    soak.floodedVms = new Set(regions.keys())
    soak.fleet.clock.advance(maximumLoanMilliseconds)
  }),
  onVm('restartBorrower', FaultKind.Restart, restartBorrower),
  onVm('returnUnseen', FaultKind.Partition, (soak, index) => {
    soak.fleet.crash(index)
    soak.setListed(index, false)
    soak.fleet.clock.advance(4_000)
    for (const other of regions.keys()) if (other !== index) soak.fleet.vmsWithoutList.add(nameOf(other))
    soak.fleet.start(index)
    soak.fleet.link.isolate([nameOf(index)])
    soak.setListed(index, true)
    soak.fleet.clock.advance(2_500)
    soak.refillAndFlood(800)
    soak.fleet.clock.advance(1_500)
  }),
  onFleet('replaceCutOff', (soak) => {
    soak.tally.fault(FaultKind.Partition)
    soak.fleet.link.isolate([nameOf(4)])
    soak.fleet.start(5)
    soak.fleet.clock.advance(500)
    soak.setListed(4, false)
    soak.refillAndFlood(800)
    soak.fleet.clock.advance(2_500)
  }),
  onVm('floodOnly', undefined, (soak, index) => { soak.floodedVms = new Set([index]) }),
  onFleet('settle', (soak) => soak.settleSomeRequests()),
  onVm('crash', FaultKind.Crash, (soak, index) => {
    soak.fleet.crash(index)
    soak.setListed(index, false)
  }),
  onVm('restart', FaultKind.Restart, (soak, index) => {
    soak.fleet.start(index)
    soak.setListed(index, true)
  }),
  onVm('unlist', undefined, (soak, index) => soak.setListed(index, false)),
  onVm('cutOffAndUnlist', FaultKind.Partition, (soak, index) => {
    soak.fleet.link.isolate([nameOf(index)])
    soak.fleet.vmsWithoutList.add(nameOf(index))
    soak.setListed(index, false)
  }),
  onVm('list', undefined, (soak, index) => soak.setListed(index, true)),
  onVm('pause', FaultKind.Pause, (soak, index) => soak.fleet.link.pause(nameOf(index))),
  onVm('suspend', FaultKind.Pause, (soak, index) => soak.fleet.suspend(index)),
  onVm('resume', undefined, (soak, index) => soak.fleet.resume(index)),
  onVm('loseList', FaultKind.ServiceDown, (soak, index) => soak.fleet.vmsWithoutList.add(nameOf(index))),
  onVm('isolate', FaultKind.Partition, (soak, index) => soak.fleet.link.isolate([nameOf(index)])),
  fastCheck.tuple(vmIndex, vmIndex).map(([first, second]) => new FleetCommand(`cut(${first},${second})`, (soak) => {
    soak.tally.fault(FaultKind.Partition)
    if (first !== second) soak.fleet.link.cut(nameOf(first), nameOf(second))
  })),
  onFleet('cutRegions', (soak) => {
    soak.tally.fault(FaultKind.Partition)
    soak.fleet.link.isolate([4, 5].map(nameOf))
  }),
  onFleet('heal', (soak) => {
    soak.fleet.link.heal()
    soak.fleet.vmsWithoutList.clear()
  }),
  fastCheck.integer({ min: 0, max: 60 }).map((percent) => new FleetCommand(`loss(${percent}%)`, (soak) => {
    soak.tally.fault(FaultKind.Loss)
    soak.fleet.link.lossShare = percent / 100
  })),
  fastCheck.integer({ min: 0, max: 2_500 }).map((milliseconds) => new FleetCommand(`reorder(${milliseconds})`, (soak) => {
    soak.tally.fault(FaultKind.Reorder)
    soak.fleet.link.reorderMilliseconds = milliseconds
  })),
  wait(400),
  wait(4_000)
]

export const limitsSoak: SoakSuite = {
  name: 'limits',
  guarantee: 'No team exceeds its rate and burst across all VMs together.',
  run: async (seed, tally) => await checkCommands<Model, LimitsSoakFleet>({
    seed,
    runs: runsPerBatch,
    maximumCommands,
    commands,
    setup: () => ({ model: {}, real: new LimitsSoakFleet(seed, tally) }),
    finish: (soak) => soak.finish()
  })
}
