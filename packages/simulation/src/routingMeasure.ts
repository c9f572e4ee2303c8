/**
 * Measures upstream choice with eight VMs and eight or six model engines: under
 * delayed load reports, and under the loss of three engines that later return
 * with empty caches.
 */

import { toFailureDomainId } from '@cuminvale/common'
import { FixedBlockHasher, ContentDefinedHasher, LeastInFlightChooser, SpilloverWhenUnserved, PredictedLatencyChooser, PrefixCacheIndex, RoundRobinChooser } from '@cuminvale/routing'
import type { SeededRandom } from '@cuminvale/common'
import type { PrefixHasher } from '@cuminvale/routing'
import { MeasuredDeployment } from './measureScenario.js'
import { RoutingFleet } from './routingFleet.js'
import { percentile } from './statistics.js'
import type { VmRouting, RoutingFleetOptions } from './routingFleet.js'
import type { VirtualClock } from './virtualClock.js'
import type { MeasureRow, MeasureScenario } from './measureScenario.js'

const prefixCapacity = 20_000

type ChooserFactory = RoutingFleetOptions['createRouting']

const createPredicted = (form?: PrefixHasher) => (clock: VirtualClock, random: SeededRandom, vm: number): VmRouting => {
  const prefixes = form === undefined ? undefined : new PrefixCacheIndex({ clock, hasher: form, capacity: prefixCapacity })
  const chooser = new PredictedLatencyChooser({
    clock, random, failureDomain: toFailureDomainId(`fd-${vm % 2}`), spillover: new SpilloverWhenUnserved(random), vmCount: () => vmCount, ...(prefixes === undefined ? {} : { prefixCacheIndex: prefixes })
  })
  return { chooser, ...(prefixes === undefined ? {} : { prefixCacheIndex: prefixes }) }
}

/**
 * Leaves the chooser without the engines' cache events. Events identify blocks
 * by chained digests, so prefix forms of another kind cannot use them.
 */
const withoutCacheEvents = (make: ChooserFactory): ChooserFactory => (...args) => ({ chooser: make(...args).chooser })

export const routingPolicies: Readonly<Record<string, ChooserFactory>> = {
  predicted: createPredicted(new FixedBlockHasher()),
  'predicted, own sends only': withoutCacheEvents(createPredicted(new FixedBlockHasher())),
  'predicted, content-defined, own sends only': withoutCacheEvents(createPredicted(new ContentDefinedHasher())),
  'predicted, no prefixes': createPredicted(),
  'least in flight': (_, random) => ({ chooser: new LeastInFlightChooser(random) }),
  'round robin': () => ({ chooser: new RoundRobinChooser() })
}

interface Scenario {
  readonly name: string
  readonly reportLagMilliseconds: number
  readonly outage?: RoutingFleetOptions['outage']
}

const scenarios: readonly Scenario[] = [
  { name: 'lag 0.1 s', reportLagMilliseconds: 100 },
  { name: 'lag 1 s', reportLagMilliseconds: 1_000 },
  { name: 'lag 5 s', reportLagMilliseconds: 5_000 },
  { name: 'a third lost, then back cold', reportLagMilliseconds: 1_000, outage: { runners: 3, fromMilliseconds: 8_000, untilMilliseconds: 18_000 } }
]

const fleetSizes: Record<MeasuredDeployment, Pick<RoutingFleetOptions, 'runnerCount' | 'slots' | 'cacheBlocks' | 'requestsPerSecond'>> = {
  [MeasuredDeployment.Cooperativa]: { runnerCount: 8, slots: 32, cacheBlocks: 400, requestsPerSecond: 60 },
  [MeasuredDeployment.Talahib]: { runnerCount: 6, slots: 32, cacheBlocks: 400, requestsPerSecond: 45 }
}
const vmCount = 8
const runMilliseconds = 30_000

export const runRouting = (deployment: MeasuredDeployment, seed: number, policy: string, scenario: Scenario): RoutingFleet => {
  const fleet = new RoutingFleet({
    ...fleetSizes[deployment],
    seed,
    vmCount,
    runMilliseconds,
    reportLagMilliseconds: scenario.reportLagMilliseconds,
    ...(scenario.outage === undefined ? {} : { outage: scenario.outage }),
    createRouting: routingPolicies[policy] as ChooserFactory
  })
  fleet.run()
  return fleet
}

const toRow = (fleet: RoutingFleet, policy: string, scenario: string): MeasureRow => ({
  decision: 'routing',
  policy: `${policy} (${Math.round(100 * fleet.cachedTokens / fleet.promptTokens)}% cached)`,
  scenario,
  cost: fleet.computeMilliseconds / fleet.usefulTokens,
  tailLatencyMilliseconds: percentile(fleet.firstTokenMilliseconds, 0.99),
  sentAwayShare: null,
  worstTeamShare: fleet.firstTokenMilliseconds.length / fleet.offered,
  wrongfulRefusalShare: null,
  overspendTokens: null
})

export const routingMeasure: MeasureScenario = {
  decision: 'routing',
  run: (deployment, seed) => scenarios.flatMap((scenario) => Object.keys(routingPolicies).map((policy) =>
    toRow(runRouting(deployment, seed, policy, scenario), policy, scenario.name)))
}
