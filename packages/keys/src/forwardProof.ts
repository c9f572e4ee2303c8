/**
 * Proof that a VM has checked a caller's key, sent with a forwarded request in
 * place of the key. The proof is bound to the body, the receiver and a short
 * lifetime, signed with the fleet's secret, and accepted once.
 */

import { createHash, createHmac, timingSafeEqual } from 'node:crypto'
import { Result } from 'true-myth'
import type {
  IncarnationId, KeyDigest, ModelName, RegionId, RequestId, Revision, RouteName, TeamId, VmId
} from '@cuminvale/common'
import { ForwardProofError } from './errors.js'
import { ProofAdmission } from './seenProofs.js'
import type { SeenProofs } from './seenProofs.js'

export interface ForwardClaims {
  /** Different for each forward; a receiver accepts it once. */
  readonly nonce: string
  readonly requestId: RequestId
  readonly from: VmId
  readonly fromIncarnation: IncarnationId
  readonly fromRegion: RegionId
  readonly to: VmId
  /** The receiver's incarnation, whose memory of accepted proofs counts. */
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
  /** The sender minted the ticket and hands the order over to be run. */
  readonly runsOrder: boolean
  /** VMs that the request has passed through so far. */
  readonly hops: number
  /** Region borders that the request has crossed, including this forward. */
  readonly borderCrossings: number
  readonly chargedTokens: number
  readonly streaming: boolean
  /** Milliseconds since the Unix epoch. */
  readonly deadlineAt: number
  readonly expiresAt: number
  readonly bodyDigest: string
}

export const digestBody = (body: Uint8Array): string => createHash('sha256').update(body).digest('base64url')

const mac = (secret: Uint8Array, payload: string): Buffer => createHmac('sha256', secret).update(payload).digest()

export const signForward = (claims: ForwardClaims, secret: Uint8Array): string => {
  const payload = Buffer.from(JSON.stringify(claims)).toString('base64url')
  return `${payload}.${mac(secret, payload).toString('base64url')}`
}

export interface ForwardExpectation {
  readonly secrets: readonly Uint8Array[]
  readonly self: VmId
  readonly incarnation: IncarnationId
  readonly seen: SeenProofs
  readonly body: Uint8Array
  /** Milliseconds since the Unix epoch. */
  readonly now: number
}

const isSigned = (payload: string, signature: string, secrets: readonly Uint8Array[]): boolean => {
  const given = Buffer.from(signature, 'base64url')
  return secrets.some((secret) => {
    const expected = mac(secret, payload)
    return expected.length === given.length && timingSafeEqual(expected, given)
  })
}

/** Verifies a proof; any of several secrets may have signed it during a rotation. */
export const verifyForward = (
  header: string,
  expectation: ForwardExpectation
): Result<ForwardClaims, ForwardProofError> => {
  const [payload, signature, ...rest] = header.split('.')
  if (payload === undefined || signature === undefined || rest.length > 0) {
    return Result.err(new ForwardProofError('malformed'))
  }
  if (!isSigned(payload, signature, expectation.secrets)) return Result.err(new ForwardProofError('bad signature'))
  const claims = JSON.parse(Buffer.from(payload, 'base64url').toString()) as ForwardClaims
  if (claims.to !== expectation.self) return Result.err(new ForwardProofError('meant for another VM'))
  if (claims.toIncarnation !== expectation.incarnation) {
    return Result.err(new ForwardProofError('meant for another incarnation'))
  }
  if (claims.bodyDigest !== digestBody(expectation.body)) return Result.err(new ForwardProofError('body differs'))
  const admission = expectation.seen.admit(claims.nonce, claims.expiresAt, expectation.now)
  return admission === ProofAdmission.Accepted ? Result.ok(claims) : Result.err(new ForwardProofError(admission, admission === ProofAdmission.Replayed))
}

const readUnverified = (header: string): Partial<ForwardClaims> => {
  try {
    return JSON.parse(Buffer.from(header.split('.')[0] ?? '', 'base64url').toString()) as Partial<ForwardClaims>
  } catch {
    return {}
  }
}

/** The nonce that a proof names, read without verifying the proof. */
export const unverifiedNonce = (header: string): string | undefined => {
  const { nonce } = readUnverified(header)
  return typeof nonce === 'string' ? nonce : undefined
}

/** What a proof says of an order, read without verifying the proof. */
export type StatedOrder = Partial<Pick<ForwardClaims, 'ticket' | 'runsOrder'>>

export const unverifiedOrder = (header: string): StatedOrder => {
  const { ticket, runsOrder } = readUnverified(header)
  return typeof ticket === 'string' ? { ticket, runsOrder: runsOrder === true } : {}
}
