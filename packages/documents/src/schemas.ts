/**
 * Schema of each published document. Unknown fields are faults, so that a
 * misspelt limit is refused instead of ignored.
 */

import { z } from 'zod'
import {
  isIdentifier, PriorityClass, toFailureDomainId, toKeyDigest, toModelName, toPlanName, toRegionId, toRouteName,
  toTeamId, toUpstreamId
} from '@cuminvale/common'
import { DocumentName, RouteKind } from './types.js'

const identifierSchema = z.string().refine(isIdentifier, {
  error: 'must be 1 to 63 lower-case letters, digits, dots, dashes or underscores'
})

const maximumTokens = 1e12
const maximumDeadlineMilliseconds = 3_600_000
const maximumBodyBytes = 64 * 1024 * 1024
const maximumSlotCount = 100_000
const keyDigestPattern = /^[0-9a-f]{64}$/

const tokenAmountSchema = z.number().positive().max(maximumTokens)

const teamSchema = z.strictObject({
  name: identifierSchema.transform(toTeamId),
  plan: identifierSchema.transform(toPlanName),
  home: identifierSchema.transform(toRegionId).optional()
})

const planSchema = z.strictObject({
  name: identifierSchema.transform(toPlanName),
  routes: z.array(identifierSchema.transform(toRouteName)),
  models: z.array(identifierSchema.transform(toModelName)).default([]),
  regions: z.array(identifierSchema.transform(toRegionId)).min(1),
  rateTokensPerSecond: tokenAmountSchema,
  burstTokens: tokenAmountSchema,
  weight: z.number().positive().max(1_000).default(1),
  regionShares: z.record(z.string(), z.number().min(0).max(1)).optional()
})

const keySchema = z.strictObject({
  digest: z.string().regex(keyDigestPattern, 'must be 64 lower-case hexadecimal digits').transform(toKeyDigest),
  team: identifierSchema.transform(toTeamId)
})

const routeSchema = z.strictObject({
  name: identifierSchema.transform(toRouteName),
  kind: z.enum([RouteKind.Completion, RouteKind.Service]),
  idempotent: z.boolean(),
  open: z.boolean().default(false),
  priority: z.enum([PriorityClass.Interactive, PriorityClass.Batch]),
  usageWeight: z.number().min(0).default(1),
  chargeTokens: z.number().min(0).max(maximumTokens).default(0),
  deadlineMilliseconds: z.number().int().positive().max(maximumDeadlineMilliseconds),
  bodyLimitBytes: z.number().int().positive().max(maximumBodyBytes),
  homeBound: z.boolean().default(false)
})

const upstreamSchema = z.strictObject({
  name: identifierSchema.transform(toUpstreamId),
  region: identifierSchema.transform(toRegionId),
  failureDomain: identifierSchema.transform(toFailureDomainId),
  address: z.string().regex(/^https?:\/\/[^/]+$/, 'must be http://host:port or https://host:port'),
  routes: z.array(identifierSchema.transform(toRouteName)).min(1),
  models: z.array(identifierSchema.transform(toModelName)).default([]),
  slots: z.number().int().positive().max(maximumSlotCount),
  checksFencing: z.boolean().default(false),
  leaving: z.boolean().default(false)
})

/** Each document is an object whose only field is a list and has the name of the document. */
export const documentSchemas = {
  [DocumentName.Teams]: z.strictObject({ teams: z.array(teamSchema) }),
  [DocumentName.Plans]: z.strictObject({ plans: z.array(planSchema) }),
  [DocumentName.Keys]: z.strictObject({ keys: z.array(keySchema) }),
  [DocumentName.Routes]: z.strictObject({ routes: z.array(routeSchema) }),
  [DocumentName.Upstreams]: z.strictObject({ upstreams: z.array(upstreamSchema) })
} as const
