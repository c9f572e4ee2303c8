/**
 * Measures sending away, that is, forwarding requests to other regions. The
 * regions differ tenfold in capacity, have their daily peaks at different hours,
 * and are joined by slow shared links.
 */

import { SpilloverWhenFaster, SpilloverWhenFull, SpilloverWhenUnserved } from '@cuminvale/routing'
import { MeasuredDeployment } from './measureScenario.js'
import { RegionFleet } from './regionFleet.js'
import { percentile } from './statistics.js'
import type { RegionFleetOptions } from './regionFleet.js'
import type { MeasureRow, MeasureScenario } from './measureScenario.js'

const policies: Readonly<Record<string, (gainFactor: number) => RegionFleetOptions['makeAway']>> = {
  'when faster': (gainFactor) => (random, link) => new SpilloverWhenFaster({ random, linkBudget: link, gainFactor }),
  'always when full': () => (random) => new SpilloverWhenFull(random),
  never: () => (random) => new SpilloverWhenUnserved(random)
}

interface DeploymentSettings {
  readonly slots: readonly number[]
  readonly linkMegabitsPerSecond: number
  readonly gainFactor: number
}

const settingsOf: Record<MeasuredDeployment, DeploymentSettings> = {
  [MeasuredDeployment.Cooperativa]: { slots: [160, 48, 16], linkMegabitsPerSecond: 100, gainFactor: 1.2 },
  [MeasuredDeployment.Talahib]: { slots: [160, 48, 16], linkMegabitsPerSecond: 1_400, gainFactor: 2 }
}

const scenarios = [
  { name: 'offset peaks, load 0.6', meanLoad: 0.6 },
  { name: 'offset peaks, load 0.9', meanLoad: 0.9 }
]
const runMilliseconds = 120_000

export const runSendingAway = (settings: DeploymentSettings, options: Pick<RegionFleetOptions, 'seed' | 'meanLoad' | 'makeAway'>): RegionFleet => {
  const fleet = new RegionFleet({ ...options, slots: settings.slots, linkMegabitsPerSecond: settings.linkMegabitsPerSecond, runMilliseconds })
  fleet.run()
  if (fleet.violations.length > 0) throw new Error(fleet.violations[0])
  return fleet
}

const toRow = (fleet: RegionFleet, policy: string, scenario: string): MeasureRow => ({
  decision: 'sending-away',
  policy,
  scenario,
  cost: fleet.computeMilliseconds / fleet.usefulTokens,
  tailLatencyMilliseconds: percentile(fleet.firstTokenMilliseconds, 0.99),
  sentAwayShare: fleet.forwardedCount / fleet.offered,
  worstTeamShare: Math.min(...fleet.servedByRegion.map((served, index) => served / (fleet.offeredByRegion[index] ?? 1))),
  wrongfulRefusalShare: fleet.refused / fleet.offered,
  overspendTokens: null
})

export const sendingAwayMeasure: MeasureScenario = {
  decision: 'sending-away',
  run: (deployment, seed) => scenarios.flatMap(({ name, meanLoad }) => Object.entries(policies).map(([policy, make]) => {
    const settings = settingsOf[deployment]
    return toRow(runSendingAway(settings, { seed, meanLoad, makeAway: make(settings.gainFactor) }), policy, name)
  }))
}
