/**
 * Proof, sent with the answer to a forwarded request, that the answering VM
 * holds the fleet's secret and received the nonce of that forward. Without it,
 * any host at the receiver's address could pose as the receiver.
 */

import { createHmac, timingSafeEqual } from 'node:crypto'

const domainSeparator = 'answer'

export const createAnswerProof = (nonce: string, secret: Uint8Array): string =>
  createHmac('sha256', secret).update(`${domainSeparator} ${nonce}`).digest('base64url')

export const isValidAnswerProof = (nonce: string, proof: string, secrets: readonly Uint8Array[]): boolean => {
  const given = Buffer.from(proof)
  return secrets.some((secret) => {
    const expected = Buffer.from(createAnswerProof(nonce, secret))
    return expected.length === given.length && timingSafeEqual(expected, given)
  })
}
