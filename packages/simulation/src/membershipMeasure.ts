/**
 * Measures the cost and the latency of failure detection by watch scope and
 * fleet size. Runs on its own, with its own type of row:
 * `node packages/simulation/dist/membershipMeasure.js [--json]`.
 */

import { parseArgs } from 'node:util'
import { FullMeshTopology, RegionTopology } from '@cuminvale/membership'
import type { VmId } from '@cuminvale/common'
import type { Topology } from '@cuminvale/membership'
import { MembershipFleet } from './membershipFleet.js'
import { regionSizesFor } from './target.js'
import type { MembershipVm } from './membershipFleet.js'

export interface MembershipRow {
  readonly policy: string
  readonly vms: number
  readonly regions: number
  /** Message bytes that each VM sends per second, without faults. */
  readonly bytesPerVmSecond: number
  readonly messagesPerVmSecond: number
  /** Largest number of links of any VM. */
  readonly mostLinks: number
  readonly detectionMilliseconds: { readonly median: number, readonly worst: number }
  /** Shares of views that report a running VM as unreachable, sampled every second, under message loss and under short pauses. */
  readonly falseShareAtLoss: number
  readonly falseShareAtPauses: number
}

interface MeasuredScope {
  readonly policy: string
  readonly scope: () => Topology
  /** Fleet sizes in VMs. Pings among all VMs grow with the square of the fleet, so FullMeshTopology runs at small sizes only. */
  readonly sizes: readonly number[]
}

const scopes: readonly MeasuredScope[] = [
  { policy: 'region scope', scope: () => new RegionTopology(), sizes: [8, 37, 370] },
  { policy: 'every VM pings every other', scope: () => new FullMeshTopology(), sizes: [8, 16, 37] }
]

const seed = 1
const warmUpMilliseconds = 6_000
const steadyMilliseconds = 5_000
const stepMilliseconds = 250
const detectionLimitMilliseconds = 15_000
const faultyMilliseconds = 20_000
const sampleMilliseconds = 1_000
const lossShare = 0.05
const pauseMilliseconds = 1_000
const stoppedVmCount = 5

const advance = (fleet: MembershipFleet, milliseconds: number): void => {
  for (let left = milliseconds; left > 0; left -= stepMilliseconds) {
    fleet.clock.advance(stepMilliseconds)
    fleet.detectLinkChanges()
  }
}

const isHeldReachable = (observer: MembershipVm, vm: VmId): boolean => observer.membership.find(vm)?.reachable === true

/** Time until each observer reports a stopped VM as unreachable, in milliseconds; Infinity beyond the detection limit. */
const detectionTimes = (fleet: MembershipFleet, stopped: VmId): readonly number[] => {
  fleet.stop(stopped)
  const start = fleet.clock.monotonic()
  const times: number[] = []
  let waiting = [...fleet.running.values()]
  while (waiting.length > 0 && fleet.clock.monotonic() - start < detectionLimitMilliseconds) {
    advance(fleet, stepMilliseconds)
    const stillWaiting = waiting.filter((observer) => isHeldReachable(observer, stopped))
    const elapsed = fleet.clock.monotonic() - start
    for (let index = stillWaiting.length; index < waiting.length; index += 1) times.push(elapsed)
    waiting = stillWaiting
  }
  return [...times, ...waiting.map(() => Infinity)]
}

const falseUnreachableShare = (fleet: MembershipFleet): number => {
  const observers = [...fleet.running.values()]
  const held = observers.flatMap((observer) => observer.membership.members.map(({ reachable }) => reachable))
  return held.filter((reachable) => !reachable).length / Math.max(1, held.length)
}

/** Mean share of views that report a running VM as unreachable, while faults are injected and no VM is stopped. */
const meanFalseUnreachableShare = (fleet: MembershipFleet, injectFault: () => void): number => {
  let sum = 0
  for (let elapsed = 0; elapsed < faultyMilliseconds; elapsed += sampleMilliseconds) {
    injectFault()
    advance(fleet, sampleMilliseconds)
    sum += falseUnreachableShare(fleet)
  }
  return sum / (faultyMilliseconds / sampleMilliseconds)
}

const pauseRandomVm = (fleet: MembershipFleet) => (): void => {
  const index = Math.floor(fleet.random.next() * fleet.listings.length)
  const name = fleet.listings[index]?.name
  if (name === undefined) return
  fleet.pause(name)
  fleet.clock.schedule(pauseMilliseconds, () => fleet.resume(name))
}

const measureFaults = (fleet: MembershipFleet): Pick<MembershipRow, 'detectionMilliseconds' | 'falseShareAtLoss' | 'falseShareAtPauses'> => {
  fleet.link.lossShare = lossShare
  const falseShareAtLoss = meanFalseUnreachableShare(fleet, () => {})
  fleet.link.lossShare = 0
  advance(fleet, warmUpMilliseconds)
  const falseShareAtPauses = meanFalseUnreachableShare(fleet, pauseRandomVm(fleet))
  advance(fleet, warmUpMilliseconds)
  const times = Array.from({ length: stoppedVmCount }, (_, index) =>
    detectionTimes(fleet, fleet.listings[index]?.name as VmId)).flat().sort((first, second) => first - second)
  return {
    falseShareAtLoss,
    falseShareAtPauses,
    detectionMilliseconds: { median: times[Math.floor(times.length / 2)] ?? 0, worst: times.at(-1) ?? 0 }
  }
}

export const measureMembership = ({ policy, scope }: MeasuredScope, vms: number): MembershipRow => {
  const regionSizes = regionSizesFor(vms)
  const fleet = new MembershipFleet({ seed, regionSizes, scope })
  advance(fleet, warmUpMilliseconds)
  const before = { ...fleet.link.counters }
  advance(fleet, steadyMilliseconds)
  const seconds = steadyMilliseconds / 1_000
  const messagesPerVmSecond = (fleet.link.counters.messages - before.messages) / seconds / vms
  return {
    policy,
    vms,
    regions: regionSizes.length,
    bytesPerVmSecond: Math.round((fleet.link.counters.bytes - before.bytes) / seconds / vms),
    messagesPerVmSecond,
    mostLinks: Math.max(...[...fleet.running.values()].map(({ membership }) => membership.linkTargets.length)),
    ...measureFaults(fleet)
  }
}

const formatRow = (row: MembershipRow): string => [
  row.policy.padEnd(28), `${row.vms} VMs`, `${row.regions} regions`, `${row.bytesPerVmSecond} B/s`,
  `${row.messagesPerVmSecond.toFixed(1)} messages/s`, `${row.mostLinks} links`,
  `detected ${row.detectionMilliseconds.median} / ${row.detectionMilliseconds.worst} ms`,
  `false at loss ${row.falseShareAtLoss.toFixed(4)}`, `at pauses ${row.falseShareAtPauses.toFixed(4)}`
].join('  ')

const run = (): void => {
  const { values } = parseArgs({ options: { json: { type: 'boolean', default: false } } })
  for (const measured of scopes) {
    for (const vms of measured.sizes) {
      const row = measureMembership(measured, vms)
      process.stdout.write((values.json ? JSON.stringify(row) : formatRow(row)) + '\n')
    }
  }
}

if (import.meta.url === new URL(process.argv[1] ?? '', 'file://').href) run()
