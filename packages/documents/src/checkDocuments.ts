/**
 * Checks the five documents together and builds one configuration from them.
 * They are accepted or refused as a whole.
 */

import { Result } from 'true-myth'
import type { Revision } from '@cuminvale/common'
import { parseDocument } from './parseDocument.js'
import { DocumentName } from './types.js'
import type { DocumentFault } from './documentFault.js'
import type { ParsedDocument } from './parseDocument.js'
import type { Configuration, DocumentTexts, Plan, Team } from './types.js'

interface ParsedDocuments {
  readonly teams: ParsedDocument<'teams'>
  readonly plans: ParsedDocument<'plans'>
  readonly keys: ParsedDocument<'keys'>
  readonly routes: ParsedDocument<'routes'>
  readonly upstreams: ParsedDocument<'upstreams'>
}

/** Allows for rounding errors when the shares of the regions are added up. */
const shareSumTolerance = 1e-9

const parseDocuments = (texts: DocumentTexts): Result<ParsedDocuments, readonly DocumentFault[]> => {
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

const teamFaults = (documents: ParsedDocuments): DocumentFault[] => {
  const plans = new Map(documents.plans.value.plans.map((plan) => [plan.name, plan]))
  return documents.teams.value.teams.flatMap((team, index) => {
    const plan = plans.get(team.plan)
    if (plan === undefined) return [documents.teams.fault(['teams', index, 'plan'], `plan "${team.plan}" does not exist`)]
    if (team.home !== undefined && !plan.regions.includes(team.home)) {
      return [documents.teams.fault(['teams', index, 'home'], `region "${team.home}" is not allowed by plan "${plan.name}"`)]
    }
    return []
  })
}

const planFaults = (documents: ParsedDocuments): DocumentFault[] => {
  const routes = new Set(documents.routes.value.routes.map((route) => route.name))
  return documents.plans.value.plans.flatMap((plan, index) => {
    const unknownRouteFaults = plan.routes.flatMap((route, position) => routes.has(route)
      ? []
      : [documents.plans.fault(['plans', index, 'routes', position], `route "${route}" does not exist`)])
    return [...unknownRouteFaults, ...regionShareFaults(documents, index)]
  })
}

const regionShareFaults = (documents: ParsedDocuments, index: number): DocumentFault[] => {
  const plan = documents.plans.value.plans[index]
  if (plan?.regionShares === undefined) return []
  const path = ['plans', index, 'regionShares']
  const regions: readonly string[] = plan.regions
  const disallowedRegions = Object.keys(plan.regionShares).filter((region) => !regions.includes(region))
  const sum = Object.values(plan.regionShares).reduce((total, share) => total + share, 0)
  return [
    ...disallowedRegions.map((region) => documents.plans.fault([...path, region], `region "${region}" is not allowed by the plan`)),
    ...(sum > 1 + shareSumTolerance ? [documents.plans.fault(path, `shares add up to ${sum}, more than 1`)] : [])
  ]
}

const keyFaults = (documents: ParsedDocuments): DocumentFault[] => {
  const teams = new Set(documents.teams.value.teams.map((team) => team.name))
  return documents.keys.value.keys.flatMap((key, index) => teams.has(key.team)
    ? []
    : [documents.keys.fault(['keys', index, 'team'], `team "${key.team}" does not exist`)])
}

const upstreamFaults = (documents: ParsedDocuments): DocumentFault[] => {
  const routes = new Set(documents.routes.value.routes.map((route) => route.name))
  return documents.upstreams.value.upstreams.flatMap((upstream, index) =>
    upstream.routes.flatMap((route, position) => routes.has(route)
      ? []
      : [documents.upstreams.fault(['upstreams', index, 'routes', position], `route "${route}" does not exist`)]))
}

const consistencyFaults = (documents: ParsedDocuments): DocumentFault[] => [
  ...duplicateFaults(documents.teams, 'teams', documents.teams.value.teams.map((team) => team.name)),
  ...duplicateFaults(documents.plans, 'plans', documents.plans.value.plans.map((plan) => plan.name)),
  ...duplicateFaults(documents.keys, 'keys', documents.keys.value.keys.map((key) => key.digest)),
  ...duplicateFaults(documents.routes, 'routes', documents.routes.value.routes.map((route) => route.name)),
  ...duplicateFaults(documents.upstreams, 'upstreams', documents.upstreams.value.upstreams.map((upstream) => upstream.name)),
  ...teamFaults(documents),
  ...planFaults(documents),
  ...keyFaults(documents),
  ...upstreamFaults(documents)
]

/**
 * Builds the configuration of a revision, or returns all faults. Duplicates and
 * references between documents are checked only if every document is valid.
 */
export const checkDocuments = (
  revision: Revision,
  texts: DocumentTexts
): Result<Configuration, readonly DocumentFault[]> =>
  parseDocuments(texts).andThen((documents) => {
    const faults = consistencyFaults(documents)
    if (faults.length > 0) return Result.err(faults)
    return Result.ok({
      revision,
      teams: new Map(documents.teams.value.teams.map((team) => [team.name, team as Team])),
      plans: new Map(documents.plans.value.plans.map((plan) => [plan.name, plan as Plan])),
      keys: new Map(documents.keys.value.keys.map((key) => [key.digest, key])),
      routes: new Map(documents.routes.value.routes.map((route) => [route.name, route])),
      upstreams: new Map(documents.upstreams.value.upstreams.map((upstream) => [upstream.name, upstream]))
    })
  })
