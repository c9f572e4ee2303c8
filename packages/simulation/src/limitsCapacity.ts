/**
 * Capacity probe of the fleet-wide limits: cost per VM by the number of VMs in
 * its region, and by the number of teams whose demand shifts between VMs.
 */

import { SeededRandom } from '@cuminvale/common'
import { EscrowLimiter } from '@cuminvale/limits'
import { LimitsFleet, configurationOf, teamName } from './limitsFleet.js'
import { fitLine, valueAt } from './linearFit.js'
import { target } from './target.js'
import type { CapacityProbe, CapacityRow, CapacitySample } from './capacityProbe.js'

const vmCounts = [4, 7, 10]
const teamCounts = [60, 120, 240]
const fixedVmCount = 4
const fixedTeamCount = 60
/** A team's rate in one region, such that the target's mean demand is 0.8 of it. */
const ratePerSecond = target.tokensPerSecond / target.teams / target.regions / 0.8
const plan = { ratePerSecond, burst: ratePerSecond * 10 }
const requestTokens = 430
const vmsPerTeam = 2
const shiftMilliseconds = 5_000
const warmUpMilliseconds = 6_000
const measuredMilliseconds = 4_000

interface FleetSize {
  readonly vms: number
  readonly teams: number
}

/** Schedules each team's requests through a few VMs, which change every `shiftMilliseconds`. */
const scheduleArrivals = (fleet: LimitsFleet, { vms, teams }: FleetSize, random: SeededRandom): void => {
  const meanGapMilliseconds = requestTokens / (target.tokensPerSecond / target.teams / target.regions) * 1_000
  for (let team = 0; team < teams; team += 1) {
    const arrive = (): void => {
      const shiftNumber = Math.floor(fleet.clock.monotonic() / shiftMilliseconds)
      const vm = (team + shiftNumber + Math.floor(random.next() * vmsPerTeam)) % vms
      fleet.vms[vm]?.limiter.charge(teamName(team), requestTokens)
      fleet.clock.schedule(meanGapMilliseconds * 2 * random.next(), arrive)
    }
    fleet.clock.schedule(meanGapMilliseconds * random.next(), arrive)
  }
}

const heapBytes = (): number => {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}

const sampleOf = (dimension: string, size: number, fleetSize: FleetSize): CapacitySample => {
  const random = new SeededRandom(1)
  const regions = Array.from({ length: fleetSize.vms }, () => 'veneto')
  const before = heapBytes()
  const fleet = new LimitsFleet({
    random,
    regions,
    configuration: configurationOf(1, regions, Array.from({ length: fleetSize.teams }, () => plan)),
    createLimiter: (parts) => new EscrowLimiter(parts),
    listLagMilliseconds: 500,
    clockDriftShare: 0
  })
  fleet.list([...regions.keys()])
  fleet.clock.advance(500)
  regions.forEach((_, index) => fleet.start(index))
  scheduleArrivals(fleet, fleetSize, random)
  fleet.clock.advance(warmUpMilliseconds)
  const stateBytes = (heapBytes() - before) / fleetSize.vms
  const bytesBefore = fleet.link.counters.bytes
  const startedAt = process.cpuUsage()
  fleet.clock.advance(measuredMilliseconds)
  const used = process.cpuUsage(startedAt)
  const seconds = measuredMilliseconds / 1_000
  return {
    dimension,
    size,
    stateBytes,
    bytesPerSecond: (fleet.link.counters.bytes - bytesBefore) / fleetSize.vms / seconds,
    processorMicrosecondsPerSecond: (used.user + used.system) / fleetSize.vms / seconds
  }
}

type CostField = 'stateBytes' | 'bytesPerSecond' | 'processorMicrosecondsPerSecond'

/**
 * Cost at the target's number of teams, scaled by how much the cost grows from
 * `fixedVmCount` VMs in a region to the target's mean region size.
 */
const costAtTarget = (byVms: readonly CapacitySample[], byTeams: readonly CapacitySample[], field: CostField): number => {
  const vmsFit = fitLine(byVms.map((sample) => ({ x: sample.size, y: sample[field] })))
  const teamsFit = fitLine(byTeams.map((sample) => ({ x: sample.size, y: sample[field] })))
  const vmsPerRegion = target.vms / target.regions
  const costAtTargetTeams = valueAt(teamsFit, target.teams)
  return Math.max(0, costAtTargetTeams * Math.max(0, valueAt(vmsFit, vmsPerRegion) / Math.max(1, valueAt(vmsFit, fixedVmCount))))
}

export const limitsCapacity: CapacityProbe = {
  mechanism: 'limits',
  measure: (): CapacityRow => {
    const byVms = vmCounts.map((vms) => sampleOf('vms in the region', vms, { vms, teams: fixedTeamCount }))
    const byTeams = teamCounts.map((teams) => sampleOf('teams', teams, { vms: fixedVmCount, teams }))
    return {
      mechanism: 'limits',
      perNodeCorePercent: costAtTarget(byVms, byTeams, 'processorMicrosecondsPerSecond') / 10_000,
      perNodeMegabytes: costAtTarget(byVms, byTeams, 'stateBytes') / 1_048_576,
      perNodeKilobytesPerSecond: costAtTarget(byVms, byTeams, 'bytesPerSecond') / 1_024,
      carriedBy: 'every VM: recognition and loans inside its region, and a few loans from others',
      samples: [...byVms, ...byTeams]
    }
  }
}
