/**
 * Checks the fields of messages on links, so that one that is malformed is left
 * out whole: values of another kind would stay in the tables that requests are
 * placed by. Further fields, and further values of a row, are those of a later
 * version.
 */

import type { LinkMessage } from './linkMessages.js'

type Check = (value: unknown) => boolean

const isText: Check = (value) => typeof value === 'string'
const isNumber: Check = (value) => typeof value === 'number' && !Number.isNaN(value)
const isFlag: Check = (value) => typeof value === 'boolean'
const isBytes: Check = (value) => value instanceof Uint8Array
const isAny: Check = () => true
const optional = (check: Check): Check => (value) => value === undefined || value === null || check(value)
const listOf = (check: Check): Check => (value) => Array.isArray(value) && value.every(check)
const row = (...checks: readonly Check[]): Check => (value) => Array.isArray(value) && checks.every((check, index) => check((value as readonly unknown[])[index]))
const fields = (checks: Readonly<Record<string, Check>>): Check => {
  const entries = Object.entries(checks)
  return (value) => typeof value === 'object' && value !== null && entries.every(([name, check]) => check((value as Readonly<Record<string, unknown>>)[name]))
}

const identity = fields({ vm: isText, incarnation: isText, region: isText, failureDomain: isText, linkAddress: isText, callerAddress: isText, processorCapacity: isNumber })
const members = listOf(row(identity, isFlag))
const spent = listOf(row(isText, isNumber))
const loads = listOf(row(isText, isNumber, isNumber))
const parts = listOf(row(isText, listOf(isText)))
const work = optional(listOf(row(isText, isNumber)))
const sender = { vm: isText, incarnation: isText, sequence: isNumber }
const knowledge = { at: isNumber, recordAge: isNumber }

const report = fields({
  ...sender, region: isText, at: isNumber, spent, forecasts: listOf(row(isText, isNumber, isNumber, isNumber)), room: work, need: work, parts: listOf(isText), members: optional(members), departed: listOf(identity)
})
const digest = fields({ ...sender, domain: isText, processorCapacity: isNumber, spent, loads, parts, members: optional(members), departed: listOf(identity) })

const shapes: Readonly<Record<LinkMessage['kind'], Check>> = {
  hello: fields({
    identity,
    format: optional(isNumber),
    at: isNumber,
    known: listOf(identity),
    isAsking: isFlag,
    regions: optional(listOf(row(isText, members))),
    domains: optional(listOf(row(isText, members))),
    parts: optional(parts),
    regionParts: optional(parts),
    performance: optional(listOf(row(isText, isNumber, isNumber, isNumber, isNumber, isNumber)))
  }),
  heartbeat: fields({
    ...knowledge, sequence: isNumber, steadyMilliseconds: isNumber, isReady: isFlag, spent, isSpentFull: isFlag, unreached: optional(listOf(isText)), loads, parts, reports: listOf(report)
  }),
  'region-report': report,
  digest: fields({ ...knowledge, steadyMilliseconds: isNumber, own: digest, relayed: listOf(digest), reports: listOf(report) }),
  acknowledgement: fields({ sequence: isNumber }),
  leaving: fields({ identity }),
  'upstream-leaving': fields({ upstream: isText, startedAt: optional(isNumber) }),
  'upstream-cold': fields({ upstream: isText, startedAt: optional(isNumber), coldMilliseconds: isNumber }),
  'upstream-limits': fields({ vm: isText, incarnation: isText, limits: listOf(row(isText, optional(isNumber), optional(isNumber), isNumber, isNumber)) }),
  'crash-evidence': fields({
    observations: listOf(row(isText, isText, isText, isNumber, listOf(row(isText, listOf(isText))))), completions: listOf(row(isText, isText, isNumber))
  }),
  'stream-origins': fields({ origins: listOf(row(isText, isText, isBytes)), isAnswer: optional(isFlag) }),
  'stream-question': fields({ keys: isBytes, hops: isNumber }),
  'records-request': fields({ after: isNumber }),
  'record-changes': fields({ after: isNumber, at: isNumber, changes: listOf(row(isText, optional(isText), isNumber)), lapseGrace: isNumber }),
  records: fields({ at: isNumber, records: listOf(row(isText, isText, isNumber)), lapsing: listOf(row(isText, isNumber)) }),
  'confirmation-request': fields({ request: isNumber, after: isNumber }),
  confirmation: fields({ request: isNumber, at: optional(isNumber) }),
  'version-history-request': fields({ request: isNumber, completeAge: isNumber, unheard: listOf(isText) }),
  'version-history': fields({
    request: isNumber,
    configuration: isNumber,
    position: isNumber,
    completeAge: isNumber,
    versions: listOf(row(isText, isText, isNumber)),
    silences: listOf(row(isNumber, isNumber)),
    routings: listOf(row(isNumber, listOf(row(isText, isText, isNumber, listOf(isText))))),
    heard: listOf(row(isText, isNumber))
  }),
  compressed: fields({ deflated: isBytes }),
  'suspicion.report': isAny
}

/** False for a message that is malformed; one of a kind that this version doesn't know is not, and means nothing here. */
export const isWellFormed = (message: unknown): boolean => {
  if (typeof message !== 'object' || message === null || !('kind' in message)) return false
  const { kind } = message
  return typeof kind === 'string' && (!Object.hasOwn(shapes, kind) || shapes[kind as LinkMessage['kind']](message))
}
