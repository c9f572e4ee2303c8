/**
 * `GET /administration/explain`: the current routing decision for a team and a route, or why a request
 * would be refused. No request is sent, and the charge that tests the limit is refunded.
 */

import { RefusalReason, isIdentifier, refuse, toModelName, toRouteName, toTeamId } from '@cuminvale/common'
import { allowedRegions, planOfTeam } from '@cuminvale/documents'
import type { ServerResponse } from 'node:http'
import type { ModelName, Refusal, RegionId, TeamId } from '@cuminvale/common'
import type { Configuration, Plan, Route, Team } from '@cuminvale/documents'
import type { RoutingChoice } from '@cuminvale/routing'
import { sendJson } from './sendJson.js'
import type { VmContext } from './vmContext.js'

interface ExplainQuery {
  readonly configuration: Configuration
  readonly team: Team
  readonly plan: Plan
  readonly route: Route
  readonly model?: ModelName
}

const limitProbeTokens = 1

const hasKey = (configuration: Configuration, team: TeamId): boolean =>
  [...configuration.keys.values()].some((key) => key.team === team)

/** The refusal of the first check that would fail, in the order in which a real request is checked. */
const refusalFor = (context: VmContext, query: ExplainQuery, regions: readonly RegionId[]): Refusal | undefined => {
  const { configuration, team, plan, route, model } = query
  if (!route.open && !hasKey(configuration, team.name)) {
    return refuse(RefusalReason.KeyUnknown, `no key of team "${team.name}" is in force`)
  }
  if (!plan.routes.includes(route.name)) {
    return refuse(RefusalReason.NotInPlan, `the plan "${plan.name}" has no route "${route.name}"`)
  }
  if (model !== undefined && !plan.models.includes(model)) {
    return refuse(RefusalReason.NotInPlan, `the plan "${plan.name}" has no model "${model}"`)
  }
  if (regions.length === 0) {
    return refuse(RefusalReason.RegionNotAllowed, `the plan "${plan.name}" allows no region for the route`)
  }
  const charge = context.limiter.charge(team.name, limitProbeTokens)
  if (charge.isErr) return charge.error
  context.limiter.settle(charge.value, 0)
  return undefined
}

const previewRouting = (context: VmContext, { team, route, model }: ExplainQuery, regions: readonly RegionId[]): RoutingChoice =>
  context.scheduler.preview({
    team: team.name,
    route: route.name,
    ...(model === undefined ? {} : { model }),
    allowedRegions: regions,
    mayCrossBorder: true,
    excluded: new Set(),
    promptTokens: 0,
    outputTokens: 0,
    prompt: ''
  })

const explain = (context: VmContext, query: ExplainQuery) => {
  const { team, plan, route } = query
  const regions = allowedRegions(team, plan, route)
  const refusal = refusalFor(context, query, regions)
  const queryFields = { team: team.name, route: route.name, plan: plan.name, allowedRegions: regions }
  if (refusal !== undefined) return { ...queryFields, result: 'refused', reason: refusal.reason, detail: refusal.detail }
  const choice = previewRouting(context, query, regions)
  if (choice.kind === 'none') return { ...queryFields, result: 'refused', reason: RefusalReason.NoUpstream, detail: choice.reason }
  return { ...queryFields, result: choice.kind, choice, detail: choice.reason }
}

export const answerExplain = (context: VmContext, parameters: URLSearchParams, response: ServerResponse): void => {
  const configuration = context.configuration.current
  const teamName = parameters.get('team') ?? ''
  const routeName = parameters.get('route') ?? ''
  const model = parameters.get('model')
  if (configuration === undefined) return sendJson(response, 503, { error: 'no configuration is in force' })
  if (!isIdentifier(teamName) || !isIdentifier(routeName)) return sendJson(response, 400, { error: 'team and route are required' })
  const team = configuration.teams.get(toTeamId(teamName))
  const plan = planOfTeam(configuration, toTeamId(teamName))
  const route = configuration.routes.get(toRouteName(routeName))
  if (team === undefined || plan === undefined) return sendJson(response, 404, { error: `there is no team "${teamName}"` })
  if (route === undefined) return sendJson(response, 404, { error: `there is no route "${routeName}"` })
  sendJson(response, 200, explain(context, {
    configuration, team, plan, route, ...(model === null ? {} : { model: toModelName(model) })
  }))
}
