/**
 * Identifies a request by what an upstream would run, so that repeats are
 * recognised whichever VM sends them.
 */

import { createHash } from 'node:crypto'
import type { Brand, RouteName, TeamId } from '@cuminvale/common'

export type RequestDigest = Brand<string, 'RequestDigest'>

export interface DigestedRequest {
  readonly team: TeamId
  readonly route: RouteName
  /** Method and path, where requests of one route differ in them. */
  readonly target?: string
  readonly body: Uint8Array
}

const separator = '\n'

export const digestRequest = ({ team, route, target, body }: DigestedRequest): RequestDigest =>
  createHash('sha256').update([team, route, ...target === undefined ? [] : [target]].join(separator) + separator).update(body).digest('base64url') as RequestDigest
