/**
 * Checks the values of a request that another VM forwards. One that can't be
 * written to an upstream is refused here, since its failure would look like
 * one of the upstream.
 */

import { validateHeaderName, validateHeaderValue } from 'node:http'
import { RequestKind } from '@cuminvale/serving'

type Check = (value: unknown) => boolean

const pathPattern = /^[\x21-\x7e\x80-\xff]+$/
const kinds: readonly unknown[] = Object.values(RequestKind)

const isText: Check = (value) => typeof value === 'string'
const isNumber: Check = (value) => Number.isFinite(value)
const isFlag: Check = (value) => typeof value === 'boolean'
const isKind: Check = (value) => kinds.includes(value)
const isPath: Check = (value) => typeof value === 'string' && pathPattern.test(value)
const isListOf = (check: Check): Check => (value) => Array.isArray(value) && value.every(check)
const isAbsentOr = (check: Check): Check => (value) => value == null || check(value)
const isPart: Check = (value) => Array.isArray(value) && isText(value[0]) && isNumber(value[1])

/** The names of methods are tokens, as those of headers are. */
const isMethod: Check = (value) => {
  validateHeaderName(value as string)
  return true
}

const isHeaderText: Check = (value) => {
  validateHeaderValue('value', value as string)
  return isText(value)
}

const isHeaderList: Check = (value) => Array.isArray(value) && value.length % 2 === 0 && value.every((text, index) => {
  if (index % 2 === 0) validateHeaderName(text as string)
  return isHeaderText(text)
})

/** In the order of the envelope's row. */
const checks: ReadonlyArray<readonly [name: string, check: Check]> = [
  ['attempt', isHeaderText], ['method', isMethod], ['path', isPath], ['headers', isHeaderList],
  ['prompt tokens', isAbsentOr(isNumber)], ['output tokens', isAbsentOr(isNumber)], ['parts', isListOf(isPart)],
  ['route', isText], ['kind', isKind], ['resumable', isFlag], ['objective', isNumber], ['timeout', isNumber], ['maximum attempts', isNumber],
  ['service', isText], ['team', isAbsentOr(isHeaderText)], ['priority', isNumber], ['regions', isAbsentOr(isListOf(isText))],
  ['repeatable', isFlag], ['configuration version', isNumber],
  ['remaining time', isNumber], ['time to the objective', isNumber], ['attempts left', isNumber],
  ['last event', isAbsentOr(isHeaderText)], ['software version', isAbsentOr(isText)]
]

/** Throws for a value that has not the form of its place; values beyond the known ones are those of a newer build. */
export const checkEnvelope = (row: readonly unknown[]): void => {
  checks.forEach(([name, check], index) => {
    if (!check(row[index])) throw new TypeError(`the ${name} of a forwarded request is malformed`)
  })
}
