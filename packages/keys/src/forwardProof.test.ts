import { describe, expect, it } from 'vitest'
import { toRegionId, toRequestId, toRevision, toRouteName, toTeamId, toVmId } from '@cuminvale/common'
import { digestBody, signForward, verifyForward } from './forwardProof.js'
import type { ForwardClaims, ForwardExpectation } from './forwardProof.js'

const secret = Buffer.from('fleet-secret')
const body = Buffer.from('{"sheet":1}')
const claims: ForwardClaims = {
  requestId: toRequestId('i-1'),
  from: toVmId('vm-1'),
  fromRegion: toRegionId('lombardia'),
  to: toVmId('vm-2'),
  team: toTeamId('binders'),
  revision: toRevision(3),
  route: toRouteName('drafting'),
  path: '/v1/completions',
  method: 'POST',
  hops: 1,
  borderCrossings: 1,
  chargedTokens: 10,
  streaming: false,
  deadlineAt: 10_000,
  expiresAt: 6_000,
  bodyDigest: digestBody(body)
}
const expectation: ForwardExpectation = { secrets: [secret], self: toVmId('vm-2'), body, now: 1_000 }
const header = signForward(claims, secret)

describe('verifyForward', () => {
  it('returns the claims of a valid proof, also while secrets rotate', () => {
    const verified = verifyForward(header, { ...expectation, secrets: [Buffer.from('next'), secret] })
    expect(verified.isOk && verified.value).toEqual(claims)
  })

  it.each<[string, string, Partial<ForwardExpectation>]>([
    ['a changed payload', 'x' + header, {}],
    ['another secret', header, { secrets: [Buffer.from('other')] }],
    ['another receiver', header, { self: toVmId('vm-3') }],
    ['another body', header, { body: Buffer.from('{"sheet":2}') }],
    ['an expired proof', header, { now: 8_001 }],
    ['no signature', header.split('.')[0] ?? '', {}]
  ])('refuses %s', (_, given, change) => {
    expect(verifyForward(given, { ...expectation, ...change }).isErr).toBe(true)
  })
})
