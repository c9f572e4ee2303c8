import { describe, expect, it } from 'vitest'
import { toIncarnationId, toRegionId, toRequestId, toRevision, toRouteName, toTeamId, toVmId } from '@cuminvale/common'
import { digestBody, signForward, verifyForward } from './forwardProof.js'
import { ProofAdmission, ReplayCache } from './replayCache.js'
import type { ForwardClaims, ForwardVerificationOptions } from './forwardProof.js'

const secret = Buffer.from('fleet-secret')
const body = Buffer.from('{"sheet":1}')
const claims: ForwardClaims = {
  nonce: 'n-1',
  requestId: toRequestId('i-1'),
  from: toVmId('vm-1'),
  fromIncarnation: toIncarnationId('i'),
  fromRegion: toRegionId('lombardia'),
  to: toVmId('vm-2'),
  toIncarnation: toIncarnationId('j'),
  team: toTeamId('binders'),
  revision: toRevision(3),
  route: toRouteName('drafting'),
  path: '/v1/completions',
  method: 'POST',
  runsOrder: false,
  hops: 1,
  borderCrossings: 1,
  chargedTokens: 10,
  streaming: false,
  deadlineAt: 10_000,
  expiresAt: 6_000,
  bodyDigest: digestBody(body)
}
const createOptions = (): ForwardVerificationOptions => ({
  secrets: [secret], self: toVmId('vm-2'), incarnation: toIncarnationId('j'), seen: new ReplayCache(10), body, now: 1_000
})
const header = signForward(claims, secret)

describe('verifyForward', () => {
  it('returns the claims of a valid proof that was signed with any of the accepted secrets', () => {
    const verified = verifyForward(header, { ...createOptions(), secrets: [Buffer.from('next'), secret] })
    expect(verified.isOk && verified.value).toEqual(claims)
  })

  it.each<[string, string, Partial<ForwardVerificationOptions>]>([
    ['a changed payload', 'x' + header, {}],
    ['another secret', header, { secrets: [Buffer.from('other')] }],
    ['another receiver', header, { self: toVmId('vm-3') }],
    ['another incarnation of the receiver', header, { incarnation: toIncarnationId('k') }],
    ['another body', header, { body: Buffer.from('{"sheet":2}') }],
    ['an expired proof', header, { now: 8_001 }],
    ['no signature', header.split('.')[0] ?? '', {}]
  ])('rejects %s', (_, proof, overrides) => {
    expect(verifyForward(proof, { ...createOptions(), ...overrides }).isErr).toBe(true)
  })

  it('accepts a proof only once', () => {
    const options = createOptions()
    expect(verifyForward(header, options).isOk).toBe(true)
    expect(verifyForward(header, options).isErr).toBe(true)
  })
})

describe('ReplayCache', () => {
  it('rejects an evicted proof after the wall clock is set back', () => {
    const seen = new ReplayCache(1)
    expect(seen.admit('first', 6_000, 1_000)).toBe(ProofAdmission.Accepted)
    expect(seen.admit('second', 6_500, 2_000)).toBe(ProofAdmission.Full)
    expect(seen.admit('third', 14_000, 9_000)).toBe(ProofAdmission.Accepted)
    expect(seen.admit('first', 6_000, 1_000)).toBe(ProofAdmission.Expired)
  })

  it('rejects a proof that expires later than the proof lifetime and clock skew allow', () => {
    expect(new ReplayCache(1).admit('n', 9_000, 1_000)).toBe(ProofAdmission.Expired)
  })
})
