/**
 * Caller keys. Only their SHA-256 digests are published and stored. The key
 * itself is seen by the operator who creates it, once, and then only in each
 * request of its caller.
 */

import { hash, randomBytes } from 'node:crypto'
import { toKeyDigest } from '@cuminvale/common'
import type { KeyDigest } from '@cuminvale/common'
import { callerKeyPrefix, callerKeyRandomBytes } from './constants.js'

const callerKeyPattern = /^cmv_[A-Za-z0-9_-]{43}$/

export const generateCallerKey = (): string => callerKeyPrefix + randomBytes(callerKeyRandomBytes).toString('base64url')

export const isCallerKey = (value: string): boolean => callerKeyPattern.test(value)

export const digestCallerKey = (key: string): KeyDigest =>
  toKeyDigest(hash('sha256', key, 'hex'))
