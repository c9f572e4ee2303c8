/**
 * Checks the five documents together and builds one configuration from them.
 * They are accepted or refused as a whole.
 */

import { Result } from 'true-myth'
import type { Revision } from '@cuminvale/common'
import { parseDocument } from './parseDocument.js'
import { DocumentName } from './types.js'
import type { DocumentFault } from './errors.js'
import type { ParsedDocument } from './parseDocument.js'
import type { Configuration, DocumentTexts, Plan, Team } from './types.js'

interface ParsedSet {
  readonly teams: ParsedDocument<'teams'>
  readonly plans: ParsedDocument<'plans'>
  readonly keys: ParsedDocument<'keys'>
  readonly routes: ParsedDocument<'routes'>
  readonly upstreams: ParsedDocument<'upstreams'>
}

/** Allows for rounding errors when the shares of the regions are added up. */
const sharesTolerance = 1e-9

const parseAll = (texts: DocumentTexts): Result<ParsedSet, readonly DocumentFault[]> => {
  const teams = parseDocument(DocumentName.Teams, texts.teams)
  const plans = parseDocument(DocumentName.Plans, texts.plans)
  const keys = parseDocument(DocumentName.Keys, texts.keys)
  const routes = parseDocument(DocumentName.Routes, texts.routes)
  const upstreams = parseDocument(DocumentName.Upstreams, texts.upstreams)
  if (teams.isOk && plans.isOk && keys.isOk && routes.isOk && upstreams.isOk) {
    return Result.ok({
      teams: teams.value, plans: plans.value, keys: keys.value, routes: routes.value, upstreams: upstreams.value
    })
  }
  return Result.err([teams, plans, keys, routes, upstreams].flatMap((result) => result.isErr ? result.error : []))
}

const duplicateFaults = (
  document: Pick<ParsedDocument<DocumentName>, 'fault'>,
  list: string,
  names: readonly string[]
): DocumentFault[] => {
  const seen = new Set<string>()
  return names.flatMap((name, index) => {
    if (seen.has(name)) return [document.fault([list, index], `"${name}" is listed twice`)]
    seen.add(name)
    return []
  })
}

const teamFaults = (set: ParsedSet): DocumentFault[] => {
  const plans = new Map(set.plans.value.plans.map((plan) => [plan.name, plan]))
  return set.teams.value.teams.flatMap((team, index) => {
    const plan = plans.get(team.plan)
    if (plan === undefined) return [set.teams.fault(['teams', index, 'plan'], `plan "${team.plan}" does not exist`)]
    if (team.home !== undefined && !plan.regions.includes(team.home)) {
      return [set.teams.fault(['teams', index, 'home'], `region "${team.home}" is not allowed by plan "${plan.name}"`)]
    }
    return []
  })
}

const planFaults = (set: ParsedSet): DocumentFault[] => {
  const routes = new Set(set.routes.value.routes.map((route) => route.name))
  return set.plans.value.plans.flatMap((plan, index) => {
    const unknownRoutes = plan.routes.flatMap((route, position) => routes.has(route)
      ? []
      : [set.plans.fault(['plans', index, 'routes', position], `route "${route}" does not exist`)])
    return [...unknownRoutes, ...shareFaults(set, index)]
  })
}

const shareFaults = (set: ParsedSet, index: number): DocumentFault[] => {
  const plan = set.plans.value.plans[index]
  if (plan?.regionShares === undefined) return []
  const path = ['plans', index, 'regionShares']
  const regions: readonly string[] = plan.regions
  const foreign = Object.keys(plan.regionShares).filter((region) => !regions.includes(region))
  const sum = Object.values(plan.regionShares).reduce((total, share) => total + share, 0)
  return [
    ...foreign.map((region) => set.plans.fault([...path, region], `region "${region}" is not allowed by the plan`)),
    ...(sum > 1 + sharesTolerance ? [set.plans.fault(path, `shares add up to ${sum}, more than 1`)] : [])
  ]
}

const keyFaults = (set: ParsedSet): DocumentFault[] => {
  const teams = new Set(set.teams.value.teams.map((team) => team.name))
  return set.keys.value.keys.flatMap((key, index) => teams.has(key.team)
    ? []
    : [set.keys.fault(['keys', index, 'team'], `team "${key.team}" does not exist`)])
}

const upstreamFaults = (set: ParsedSet): DocumentFault[] => {
  const routes = new Set(set.routes.value.routes.map((route) => route.name))
  return set.upstreams.value.upstreams.flatMap((upstream, index) =>
    upstream.routes.flatMap((route, position) => routes.has(route)
      ? []
      : [set.upstreams.fault(['upstreams', index, 'routes', position], `route "${route}" does not exist`)]))
}

const allFaults = (set: ParsedSet): DocumentFault[] => [
  ...duplicateFaults(set.teams, 'teams', set.teams.value.teams.map((team) => team.name)),
  ...duplicateFaults(set.plans, 'plans', set.plans.value.plans.map((plan) => plan.name)),
  ...duplicateFaults(set.keys, 'keys', set.keys.value.keys.map((key) => key.digest)),
  ...duplicateFaults(set.routes, 'routes', set.routes.value.routes.map((route) => route.name)),
  ...duplicateFaults(set.upstreams, 'upstreams', set.upstreams.value.upstreams.map((upstream) => upstream.name)),
  ...teamFaults(set),
  ...planFaults(set),
  ...keyFaults(set),
  ...upstreamFaults(set)
]

/**
 * Builds the configuration of a revision, or returns all faults. Duplicates and
 * references between documents are checked only if every document is valid.
 */
export const checkDocuments = (
  revision: Revision,
  texts: DocumentTexts
): Result<Configuration, readonly DocumentFault[]> =>
  parseAll(texts).andThen((set) => {
    const faults = allFaults(set)
    if (faults.length > 0) return Result.err(faults)
    return Result.ok({
      revision,
      teams: new Map(set.teams.value.teams.map((team) => [team.name, team as Team])),
      plans: new Map(set.plans.value.plans.map((plan) => [plan.name, plan as Plan])),
      keys: new Map(set.keys.value.keys.map((key) => [key.digest, key])),
      routes: new Map(set.routes.value.routes.map((route) => [route.name, route])),
      upstreams: new Map(set.upstreams.value.upstreams.map((upstream) => [upstream.name, upstream]))
    })
  })
