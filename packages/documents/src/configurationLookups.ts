/**
 * Lookups in a configuration that several components share.
 */

import type { RegionId, TeamId } from '@cuminvale/common'
import type { Configuration, Plan, Route, Team } from './types.js'

export const planOfTeam = (configuration: Configuration, team: TeamId): Plan | undefined => {
  const entry = configuration.teams.get(team)
  return entry === undefined ? undefined : configuration.plans.get(entry.plan)
}

/**
 * Regions in which a team's requests on a route may run. On a home-bound route
 * that is only the home region of the team, if it has one.
 */
export const allowedRegions = (team: Team, plan: Plan, route: Route): readonly RegionId[] => {
  if (!route.homeBound || team.home === undefined) return plan.regions
  return plan.regions.filter((region) => region === team.home)
}

/** Fraction of a plan's rate and burst that is assigned to a region, between 0 and 1. */
export const regionShare = (plan: Plan, region: RegionId): number => {
  if (!plan.regions.includes(region)) return 0
  if (plan.regionShares === undefined) return 1 / plan.regions.length
  return plan.regionShares[region] ?? 0
}
