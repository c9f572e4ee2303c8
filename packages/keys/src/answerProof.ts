/**
 * Proof that the VM which answers a forward holds the fleet's secret and has
 * read that forward, so that nothing else can pose as the receiver.
 */

import { createHmac, timingSafeEqual } from 'node:crypto'

const purpose = 'answer'

export const signAnswer = (nonce: string, secret: Uint8Array): string =>
  createHmac('sha256', secret).update(`${purpose} ${nonce}`).digest('base64url')

export const isAnswerProven = (nonce: string, proof: string, secrets: readonly Uint8Array[]): boolean => {
  const given = Buffer.from(proof)
  return secrets.some((secret) => {
    const expected = Buffer.from(signAnswer(nonce, secret))
    return expected.length === given.length && timingSafeEqual(expected, given)
  })
}
