/**
 * Proof that a VM has checked a caller's key, sent with a forwarded request in
 * place of the key. It is signed with the fleet's secret, bound to the body and
 * the receiver, expires after a short time, and is accepted once.
 */

import { createHash, createHmac, timingSafeEqual } from 'node:crypto'
import { Result } from 'true-myth'
import type {
  IncarnationId, KeyDigest, ModelName, RegionId, RequestId, Revision, RouteName, TeamId, VmId
} from '@cuminvale/common'
import { ForwardProofError } from './errors.js'
import { ProofAdmission } from './replayCache.js'
import type { ReplayCache } from './replayCache.js'

export interface ForwardClaims {
  /** Unique per forward; the receiver accepts each nonce once. */
  readonly nonce: string
  readonly requestId: RequestId
  readonly from: VmId
  readonly fromIncarnation: IncarnationId
  readonly fromRegion: RegionId
  readonly to: VmId
  /**
   * Incarnation of the receiver. Accepted proofs are held in memory only, so a
   * restarted receiver has to reject proofs made for its previous incarnation.
   */
  readonly toIncarnation: IncarnationId
  readonly team: TeamId
  /** Absent on open routes. */
  readonly keyDigest?: KeyDigest
  readonly revision: Revision
  readonly route: RouteName
  readonly model?: ModelName
  readonly path: string
  readonly method: string
  readonly ticket?: string
  /** Whether the sender minted the ticket and has the receiver run the order on its behalf. */
  readonly runsOrder: boolean
  /** Number of forwards so far, including this one. */
  readonly hops: number
  /** Number of forwards into another region so far, including this one. */
  readonly borderCrossings: number
  readonly chargedTokens: number
  readonly streaming: boolean
  /** Milliseconds since the Unix epoch. */
  readonly deadlineAt: number
  /** Milliseconds since the Unix epoch. */
  readonly expiresAt: number
  readonly bodyDigest: string
}

export const digestBody = (body: Uint8Array): string => createHash('sha256').update(body).digest('base64url')

const computeMac = (secret: Uint8Array, payload: string): Buffer => createHmac('sha256', secret).update(payload).digest()

export const signForward = (claims: ForwardClaims, secret: Uint8Array): string => {
  const payload = Buffer.from(JSON.stringify(claims)).toString('base64url')
  return `${payload}.${computeMac(secret, payload).toString('base64url')}`
}

export interface ForwardVerificationOptions {
  readonly secrets: readonly Uint8Array[]
  readonly self: VmId
  readonly incarnation: IncarnationId
  readonly seen: ReplayCache
  readonly body: Uint8Array
  /** Milliseconds since the Unix epoch. */
  readonly now: number
}

const hasValidSignature = (payload: string, signature: string, secrets: readonly Uint8Array[]): boolean => {
  const given = Buffer.from(signature, 'base64url')
  return secrets.some((secret) => {
    const expected = computeMac(secret, payload)
    return expected.length === given.length && timingSafeEqual(expected, given)
  })
}

/** Verifies a proof. Several secrets are accepted, since VMs sign with different ones during a rotation. */
export const verifyForward = (
  header: string,
  options: ForwardVerificationOptions
): Result<ForwardClaims, ForwardProofError> => {
  const [payload, signature, ...extraParts] = header.split('.')
  if (payload === undefined || signature === undefined || extraParts.length > 0) {
    return Result.err(new ForwardProofError('malformed'))
  }
  if (!hasValidSignature(payload, signature, options.secrets)) return Result.err(new ForwardProofError('bad signature'))
  const claims = JSON.parse(Buffer.from(payload, 'base64url').toString()) as ForwardClaims
  if (claims.to !== options.self) return Result.err(new ForwardProofError('meant for another VM'))
  if (claims.toIncarnation !== options.incarnation) {
    return Result.err(new ForwardProofError('meant for another incarnation'))
  }
  if (claims.bodyDigest !== digestBody(options.body)) return Result.err(new ForwardProofError('body differs'))
  const admission = options.seen.admit(claims.nonce, claims.expiresAt, options.now)
  return admission === ProofAdmission.Accepted ? Result.ok(claims) : Result.err(new ForwardProofError(admission, admission === ProofAdmission.Replayed))
}

const readUnverifiedClaims = (header: string): Partial<ForwardClaims> => {
  try {
    return JSON.parse(Buffer.from(header.split('.')[0] ?? '', 'base64url').toString()) as Partial<ForwardClaims>
  } catch {
    return {}
  }
}

/** Reads the nonce of a proof without verifying the proof; undefined if there is none. */
export const readUnverifiedNonce = (header: string): string | undefined => {
  const { nonce } = readUnverifiedClaims(header)
  return typeof nonce === 'string' ? nonce : undefined
}

/** The claims about an order in a proof that has not been verified. */
export type UnverifiedOrderClaims = Partial<Pick<ForwardClaims, 'ticket' | 'runsOrder'>>

export const readUnverifiedOrder = (header: string): UnverifiedOrderClaims => {
  const { ticket, runsOrder } = readUnverifiedClaims(header)
  return typeof ticket === 'string' ? { ticket, runsOrder: runsOrder === true } : {}
}
