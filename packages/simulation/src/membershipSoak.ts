/**
 * Soak suite for membership: every VM has a correct view of which VMs it can
 * reach, within the stated time bounds. Incarnations never go back.
 */

import * as fastCheck from 'fast-check'
import { RegionTopology, stopDetectionBoundMilliseconds, recoveryDetectionBoundMilliseconds } from '@cuminvale/membership'
import type { ListedVm, VmId } from '@cuminvale/common'
import { checkCommands } from './checkCommands.js'
import { MembershipFleet, startNumberOf } from './membershipFleet.js'
import { FaultKind } from './soakSuite.js'
import type { MembershipVm } from './membershipFleet.js'
import type { SoakSuite, SoakTally } from './soakSuite.js'

const regionSizes = [6, 3, 2, 1]
const runsPerBatch = 6
const maximumCommands = 25
const stepMilliseconds = 250
/** Above this loss the time bounds of the view are not guaranteed, but incarnations still never go back. */
const toleratedLossPercent = 5

/** Actual state of a VM relative to its observer; at `Unsure` either view is accepted. */
const PairState = { Stopped: 'stopped', Cut: 'cut', Reachable: 'reachable', Unsure: 'unsure' } as const
type PairState = typeof PairState[keyof typeof PairState]

/** Actual state of a pair, and since when the view of the observer has been wrong without interruption. */
interface PairObservation {
  actualState: PairState
  wrongSince: number | undefined
}

class CheckedFleet {
  readonly fleet: MembershipFleet
  private readonly pairObservations = new Map<string, PairObservation>()
  private readonly highestStartNumbers = new Map<string, number>()

  constructor (seed: number, readonly tally: SoakTally) {
    this.fleet = new MembershipFleet({ seed, regionSizes, scope: () => new RegionTopology(0) })
  }

  advance (milliseconds: number): void {
    for (let remaining = milliseconds; remaining > 0; remaining -= stepMilliseconds) {
      this.fleet.clock.advance(Math.min(remaining, stepMilliseconds))
      this.fleet.detectLinkChanges()
      this.tally.operation()
      for (const observer of this.fleet.running.values()) this.check(observer)
    }
  }

  private check (observer: MembershipVm): void {
    for (const { name } of this.fleet.listings) {
      if (name !== observer.identity.vm) this.checkPair(observer, name)
    }
  }

  private checkPair (observer: MembershipVm, name: VmId): void {
    const key = `${observer.identity.incarnation} ${name}`
    const member = observer.membership.find(name)
    this.checkIncarnation(key, member?.incarnation)
    const now = this.fleet.clock.monotonic()
    const actualState = this.actualStateOf(observer.identity.vm, name)
    const observation = this.pairObservations.get(key) ?? { actualState, wrongSince: undefined }
    this.pairObservations.set(key, observation)
    if (observation.actualState !== actualState) Object.assign(observation, { actualState, wrongSince: undefined })
    if (!isViewWrong(actualState, member?.reachable === true)) observation.wrongSince = undefined
    else observation.wrongSince ??= now
    const bound = actualState === PairState.Reachable ? recoveryDetectionBoundMilliseconds : stopDetectionBoundMilliseconds
    if (observation.wrongSince !== undefined && now - observation.wrongSince > bound) {
      throw new Error(`${observer.identity.vm} considered ${name} ${member?.reachable === true ? '' : 'un'}reachable for more than ${bound} ms while it was ${actualState}`)
    }
  }

  private actualStateOf (observer: VmId, other: VmId): PairState {
    const { fleet } = this
    if (!fleet.isAwake(observer) || fleet.link.lossShare * 100 > toleratedLossPercent) return PairState.Unsure
    if (!fleet.running.has(other)) return PairState.Stopped
    if (!fleet.isConnected(observer, other)) return PairState.Cut
    return fleet.isAwake(other) ? PairState.Reachable : PairState.Unsure
  }

  private checkIncarnation (key: string, incarnation: string | undefined): void {
    if (incarnation === undefined) return
    const startNumber = startNumberOf(incarnation)
    const highestStartNumber = this.highestStartNumbers.get(key) ?? 0
    if (startNumber < highestStartNumber) throw new Error(`${key}: incarnation went back from start ${highestStartNumber} to ${startNumber}`)
    this.highestStartNumbers.set(key, startNumber)
  }
}

const isViewWrong = (actualState: PairState, isBelievedReachable: boolean): boolean => {
  if (actualState === PairState.Unsure) return false
  return isBelievedReachable !== (actualState === PairState.Reachable)
}

type Model = Record<string, never>

class FleetCommand implements fastCheck.Command<Model, CheckedFleet> {
  constructor (private readonly name: string, private readonly execute: (checked: CheckedFleet) => void) {}

  check (): boolean {
    return true
  }

  run (_: Model, checked: CheckedFleet): void {
    this.execute(checked)
    checked.advance(stepMilliseconds)
  }

  toString (): string {
    return this.name
  }
}

const vmCount = regionSizes.reduce((sum, size) => sum + size, 0)

const onVm = (name: string, execute: (checked: CheckedFleet, listing: ListedVm) => void) =>
  fastCheck.integer({ min: 0, max: vmCount - 1 }).map((index) => new FleetCommand(`${name}(${index})`, (checked) => {
    const listing = checked.fleet.listings[index]
    if (listing !== undefined) execute(checked, listing)
  }))

const commands = [
  onVm('stop', ({ fleet, tally }, { name }) => {
    tally.fault(FaultKind.Crash)
    fleet.stop(name)
  }),
  onVm('restart', ({ fleet, tally }, listing) => {
    tally.fault(FaultKind.Restart)
    fleet.start(listing)
  }),
  onVm('pause', ({ fleet, tally }, { name }) => {
    tally.fault(FaultKind.Pause)
    fleet.pause(name)
  }),
  onVm('resume', ({ fleet }, { name }) => fleet.resume(name)),
  onVm('isolateVm', ({ fleet, tally }, { name }) => {
    tally.fault(FaultKind.Partition)
    fleet.partition((listing) => listing.name === name ? 1 : 0)
  }),
  fastCheck.integer({ min: 1, max: 2 ** (regionSizes.length - 1) - 1 }).map((mask) =>
    new FleetCommand(`divideRegions(${mask})`, ({ fleet, tally }) => {
      tally.fault(FaultKind.Partition)
      fleet.partition(({ region }) => (mask >> Number(region.slice('region-'.length))) & 1)
    })),
  fastCheck.constant(new FleetCommand('heal', ({ fleet }) => fleet.heal())),
  fastCheck.integer({ min: 0, max: 40 }).map((percent) => new FleetCommand(`loss(${percent}%)`, ({ fleet, tally }) => {
    tally.fault(FaultKind.Loss)
    fleet.link.lossShare = percent / 100
  })),
  fastCheck.constant(new FleetCommand('loss(0%)', ({ fleet }) => { fleet.link.lossShare = 0 })),
  fastCheck.integer({ min: 1_000, max: 20_000 }).map((milliseconds) => new FleetCommand(`wait(${milliseconds})`, (checked) => checked.advance(milliseconds)))
]

export const membershipSoak: SoakSuite = {
  name: 'membership',
  guarantee: 'A region that is cut off by a network partition keeps serving its callers: each part has a correct view of the VMs that it can reach.',
  run: async (seed, tally) => await checkCommands<Model, CheckedFleet>({
    seed,
    runs: runsPerBatch,
    maximumCommands,
    commands,
    setup: () => ({ model: {}, real: new CheckedFleet(seed, tally) }),
    finish: (checked) => {
      checked.fleet.link.lossShare = 0
      checked.fleet.heal()
      for (const { name } of checked.fleet.listings) checked.fleet.resume(name)
      checked.advance(2 * recoveryDetectionBoundMilliseconds)
    }
  })
}
