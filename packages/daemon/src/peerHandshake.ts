/**
 * The keyed handshake that opens a link between two VMs. Both sides prove that
 * they hold the fleet's secret over fresh nonces and both identities, so that
 * nobody without it can pose as a VM or replay an old opening.
 */

import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import { z } from 'zod'
import { isIdentifier, toFailureDomainId, toIncarnationId, toRegionId, toVmId } from '@cuminvale/common'
import type { PeerIdentity } from '@cuminvale/messages'

const identifier = z.string().refine(isIdentifier)
const identitySchema = z.object({
  vm: identifier.transform(toVmId),
  incarnation: z.string().min(1).max(64).transform(toIncarnationId),
  region: identifier.transform(toRegionId),
  failureDomain: identifier.transform(toFailureDomainId)
})
const nonce = z.string().min(16).max(64)

export const helloSchema = z.object({ identity: identitySchema, nonce })
export const welcomeSchema = z.object({ identity: identitySchema, nonce, proof: z.string() })
export const proofSchema = z.object({ proof: z.string() })

export type Hello = z.output<typeof helloSchema>
export type Welcome = z.output<typeof welcomeSchema>

const nonceBytes = 18

export const newNonce = (): string => randomBytes(nonceBytes).toString('base64url')

export const HandshakeRole = { Dialer: 'dialer', Listener: 'listener' } as const
export type HandshakeRole = typeof HandshakeRole[keyof typeof HandshakeRole]

export interface Transcript {
  readonly dialer: PeerIdentity
  readonly dialerNonce: string
  readonly listener: PeerIdentity
  readonly listenerNonce: string
}

const identityText = (identity: PeerIdentity): string =>
  [identity.vm, identity.incarnation, identity.region, identity.failureDomain].join('~')

export const proveHandshake = (role: HandshakeRole, transcript: Transcript, secret: Uint8Array): string => {
  const parts = [
    role, identityText(transcript.dialer), transcript.dialerNonce, identityText(transcript.listener), transcript.listenerNonce
  ]
  return createHmac('sha256', secret).update(parts.join('\n')).digest('base64url')
}

export interface HandshakeCheck {
  readonly role: HandshakeRole
  readonly transcript: Transcript
  readonly proof: string
  readonly secrets: readonly Uint8Array[]
}

export const isHandshakeProven = ({ role, transcript, proof, secrets }: HandshakeCheck): boolean => {
  const given = Buffer.from(proof)
  return secrets.some((secret) => {
    const expected = Buffer.from(proveHandshake(role, transcript, secret))
    return expected.length === given.length && timingSafeEqual(expected, given)
  })
}

/** Parses a JSON frame of the handshake; undefined where it is not one. */
export const parseFrame = <Schema extends z.ZodType>(text: string, schema: Schema): z.output<Schema> | undefined => {
  try {
    const parsed = schema.safeParse(JSON.parse(text))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}
