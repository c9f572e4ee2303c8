/**
 * HTTP methods that each path of the daemon's caller API accepts.
 */

import { RefusalReason, refuse } from '@cuminvale/common'
import type { Refusal } from '@cuminvale/common'
import { completionPaths, pathOf } from './requestPath.js'

const readMethods: readonly string[] = ['GET', 'HEAD']
const completionMethods: readonly string[] = ['POST']
const serviceMethods: readonly string[] = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']
const readPaths: readonly string[] = ['/v1/entries', '/v1/models']

export const allowedMethods = (url: string): readonly string[] => {
  const path = pathOf(url)
  if (readPaths.includes(path)) return readMethods
  return completionPaths.includes(path) ? completionMethods : serviceMethods
}

export const formatAllowedMethods = (methods: readonly string[]): string => [...methods, 'OPTIONS'].join(', ')

export const checkMethod = (method: string, url: string): Refusal | undefined => {
  const allowed = allowedMethods(url)
  if (allowed.includes(method)) return undefined
  return refuse(RefusalReason.MethodNotAllowed, `the path takes ${formatAllowedMethods(allowed)}, not ${method}`)
}
