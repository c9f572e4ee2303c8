import { describe, expect, it } from 'vitest'
import { toIncarnationId, toVmId } from '@cuminvale/common'
import { TeamShare } from './teamShare.js'

const rateLimit = { ratePerSecond: 1_000, burst: 1_000 }
const borrower = toVmId('vm-2')

const fullShare = (own: number): TeamShare => {
  const share = new TeamShare(rateLimit, 0)
  share.setOwnShare(own)
  share.advance(10_000, Infinity)
  return share
}

const borrowed = (share: number, endsAt: number) =>
  ({ id: 1, share, lender: borrower, lenderIncarnation: toIncarnationId('i'), endsAt })

describe('TeamShare', () => {
  it('starts empty and fills to its part of the burst', () => {
    const share = new TeamShare(rateLimit, 0)
    share.setOwnShare(0.5)
    expect(share.tokens).toBe(0)
    share.advance(10_000, Infinity)
    expect(share.tokens).toBe(500)
  })

  it('lends a share together with its tokens', () => {
    const share = fullShare(0.5)
    expect(share.lend(1, { share: 0.2, borrower, endsAt: 20_000 })).toBeCloseTo(200)
    expect(share.held).toBeCloseTo(0.3)
    share.advance(15_000, Infinity)
    expect(share.tokens).toBeCloseTo(300)
  })

  it('accepts the return of a loan once, and not after its end', () => {
    const share = fullShare(0.5)
    share.lend(1, { share: 0.2, borrower, endsAt: 20_000 })
    share.acceptReturn(1, 200)
    share.acceptReturn(1, 200)
    expect(share.tokens).toBeCloseTo(500)
    share.lend(2, { share: 0.2, borrower, endsAt: 20_000 })
    share.advance(20_000, Infinity)
    share.acceptReturn(2, 200)
    expect(share.tokens).toBeCloseTo(300)
  })

  it('counts a borrowed share up to its end only, however late it is advanced', () => {
    const share = new TeamShare(rateLimit, 0)
    share.borrow(borrowed(0.5, 100), 0)
    share.advance(60, Infinity)
    expect(share.tokens).toBeCloseTo(30, 0)
    share.advance(5_000, Infinity)
    expect(share.tokens).toBe(0)
    expect(share.held).toBe(0)
  })

  it('counts its own share up to the end of its lease only', () => {
    const share = new TeamShare(rateLimit, 0)
    share.setOwnShare(1)
    share.advance(5_000, 100)
    expect(share.held).toBe(0)
    expect(share.tokens).toBe(0)
  })

  it('refunds only tokens that would not have overflowed since the charge', () => {
    const share = fullShare(1)
    expect(share.take(1, 100)).toBe(true)
    share.advance(20_000, Infinity)
    expect(share.take(2, 500)).toBe(true)
    share.refund(1, 80)
    expect(share.tokens).toBe(500)
    share.refund(2, 300)
    expect(share.tokens).toBe(800)
  })

  it('keeps a negative level after an overdraw', () => {
    const share = fullShare(1)
    share.take(1, 900)
    share.overdraw(600)
    expect(share.tokens).toBe(-500)
    expect(share.take(2, 1)).toBe(false)
    expect(share.lend(1, { share: 0.5, borrower, endsAt: 20_000 })).toBe(0)
    expect(share.tokens).toBe(-500)
  })
})
