/**
 * The authenticated handshake that opens a link between two VMs of the daemon's fleet. Both sides prove
 * knowledge of the fleet secret over fresh nonces and both identities. Without the secret nobody can
 * impersonate a VM or replay an earlier handshake. Later frames are sealed with a key of that session.
 */

import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import { z } from 'zod'
import { isIdentifier, toFailureDomainId, toIncarnationId, toRegionId, toVmId } from '@cuminvale/common'
import { FrameOpener, FrameSealer, deriveSessionKey } from '@cuminvale/keys'
import type { PeerIdentity } from '@cuminvale/messages'

const identifierSchema = z.string().refine(isIdentifier)
const identitySchema = z.object({
  vm: identifierSchema.transform(toVmId),
  incarnation: z.string().min(1).max(64).transform(toIncarnationId),
  region: identifierSchema.transform(toRegionId),
  failureDomain: identifierSchema.transform(toFailureDomainId)
})
const nonceSchema = z.string().min(16).max(64)

export const helloSchema = z.object({ identity: identitySchema, nonce: nonceSchema })
export const welcomeSchema = z.object({ identity: identitySchema, nonce: nonceSchema, proof: z.string() })
export const proofSchema = z.object({ proof: z.string() })

export type Hello = z.output<typeof helloSchema>
export type Welcome = z.output<typeof welcomeSchema>

const nonceBytes = 18

export const newNonce = (): string => randomBytes(nonceBytes).toString('base64url')

export const HandshakeRole = { Dialer: 'dialer', Listener: 'listener' } as const
export type HandshakeRole = typeof HandshakeRole[keyof typeof HandshakeRole]

export interface HandshakeTranscript {
  readonly dialer: PeerIdentity
  readonly dialerNonce: string
  readonly listener: PeerIdentity
  readonly listenerNonce: string
}

const identityText = (identity: PeerIdentity): string =>
  [identity.vm, identity.incarnation, identity.region, identity.failureDomain].join('~')

const transcriptText = ({ dialer, dialerNonce, listener, listenerNonce }: HandshakeTranscript): string =>
  [identityText(dialer), dialerNonce, identityText(listener), listenerNonce].join('\n')

export const proveHandshake = (role: HandshakeRole, transcript: HandshakeTranscript, secret: Uint8Array): string =>
  createHmac('sha256', secret).update(`${role}\n${transcriptText(transcript)}`).digest('base64url')

/** Seals the frames that this VM sends on one link, and opens those that it receives. */
export interface LinkSeals {
  readonly sealer: FrameSealer
  readonly opener: FrameOpener
}

/** Derives the session key from the secret that the listener's proof was made with. */
export const createLinkSeals = (role: HandshakeRole, transcript: HandshakeTranscript, secret: Uint8Array): LinkSeals => {
  const sessionKey = deriveSessionKey(secret, transcriptText(transcript))
  const peerRole = role === HandshakeRole.Dialer ? HandshakeRole.Listener : HandshakeRole.Dialer
  return { sealer: new FrameSealer(sessionKey, role), opener: new FrameOpener(sessionKey, peerRole) }
}

export interface HandshakeCheck {
  readonly role: HandshakeRole
  readonly transcript: HandshakeTranscript
  readonly proof: string
  readonly secrets: readonly Uint8Array[]
}

/** The accepted secret that the proof was made with, if any. */
export const findProvingSecret = ({ role, transcript, proof, secrets }: HandshakeCheck): Uint8Array | undefined => {
  const presentedProof = Buffer.from(proof)
  return secrets.find((secret) => {
    const expected = Buffer.from(proveHandshake(role, transcript, secret))
    return expected.length === presentedProof.length && timingSafeEqual(expected, presentedProof)
  })
}

/** Parses a JSON frame of the handshake; undefined if it does not match the schema. */
export const parseHandshakeFrame = <Schema extends z.ZodType>(text: string, schema: Schema): z.output<Schema> | undefined => {
  try {
    const parsed = schema.safeParse(JSON.parse(text))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}
