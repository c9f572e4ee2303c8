/**
 * The share of one team in the sum of all teams' weights.
 */

import { planOfTeam } from '@cuminvale/documents'
import type { TeamId } from '@cuminvale/common'
import type { Configuration } from '@cuminvale/documents'

const totalWeightCache = new WeakMap<Configuration, number>()

const totalWeight = (configuration: Configuration): number => {
  const cached = totalWeightCache.get(configuration)
  if (cached !== undefined) return cached
  const total = [...configuration.teams.keys()]
    .reduce((sum, team) => sum + (planOfTeam(configuration, team)?.weight ?? 0), 0)
  totalWeightCache.set(configuration, total)
  return total
}

/** Between 0 and 1. Requests without a key, on open routes, count as a team of weight 1. */
export const weightShare = (configuration: Configuration | undefined, team: TeamId): number => {
  if (configuration === undefined) return 0
  const weight = planOfTeam(configuration, team)?.weight ?? 1
  return weight / Math.max(weight, totalWeight(configuration))
}
