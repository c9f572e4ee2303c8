/**
 * Checks the key of a request against the configuration in force. The check
 * runs when a request arrives. Its result is confirmed again when a queued
 * request is dispatched and when a forwarded request is received.
 */

import { Result } from 'true-myth'
import { RefusalReason, refuse } from '@cuminvale/common'
import type { KeyDigest, Refusal, TeamId } from '@cuminvale/common'
import type { Configuration } from '@cuminvale/documents'
import { digestCallerKey, isCallerKey } from './callerKey.js'

export interface KeyIdentity {
  readonly team: TeamId
  readonly digest: KeyDigest
}

const bearerPattern = /^Bearer ([\x21-\x7e]+)$/i

export const checkKey = (
  authorization: string | undefined,
  configuration: Configuration
): Result<KeyIdentity, Refusal> => {
  if (authorization === undefined) {
    return Result.err(refuse(RefusalReason.KeyMissing, 'send the key as "Authorization: Bearer <key>"'))
  }
  const key = bearerPattern.exec(authorization)?.[1]
  if (key === undefined || !isCallerKey(key)) {
    return Result.err(refuse(RefusalReason.KeyMalformed, 'the authorization header holds no well-formed key'))
  }
  const digest = digestCallerKey(key)
  const entry = configuration.keys.get(digest)
  if (entry === undefined) {
    return Result.err(refuse(RefusalReason.KeyUnknown, 'the key is not known or was withdrawn'))
  }
  return Result.ok({ team: entry.team, digest })
}

/** Whether a key that was accepted earlier still belongs to the same team under the given configuration. */
export const isKeyInForce = (identity: KeyIdentity, configuration: Configuration): boolean =>
  configuration.keys.get(identity.digest)?.team === identity.team
