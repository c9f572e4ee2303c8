import { Result } from 'true-myth'
import { beforeEach, describe, expect, it, vi } from 'vitest'
import { Outcome, RefusalReason, newIncarnationId, refuse, runtimeClock, toTeamId, toVmId } from '@cuminvale/common'
import { OrderLedger } from './orderLedger.js'
import { OrderStep } from './types.js'
import { TicketMint, parseTicket } from './ticket.js'
import type { OrderResult } from './types.js'
import type { ParsedTicket } from './ticket.js'

const mint = new TicketMint({ clock: runtimeClock, vm: toVmId('vm-1'), incarnation: newIncarnationId() })

const freshTicket = (): ParsedTicket => {
  const parsed = parseTicket(mint.mint(toTeamId('binders')))
  if (parsed.isNothing) throw new Error('minted ticket does not parse')
  return parsed.value
}

const requestDigest = 'digest'

const done: OrderResult = Result.ok({ status: 201, contentType: 'application/json', body: Buffer.from('{}') })

describe('OrderLedger', () => {
  beforeEach(() => {
    vi.useFakeTimers()
    return () => vi.useRealTimers()
  })

  it('runs a ticket once and repeats the recorded answer', async () => {
    const ledger = new OrderLedger({ clock: runtimeClock, capacity: 10 })
    const { ticket } = freshTicket()
    expect(ledger.beginAttempt(ticket, requestDigest).step).toBe(OrderStep.Run)
    const second = ledger.beginAttempt(ticket, requestDigest)
    ledger.markSent(ticket)
    ledger.recordResult(ticket, done)
    expect(second.step === OrderStep.Repeat && await second.result).toBe(done)
    expect(ledger.beginAttempt(ticket, requestDigest).step).toBe(OrderStep.Repeat)
  })

  it('never runs a sealed ticket', async () => {
    const ledger = new OrderLedger({ clock: runtimeClock, capacity: 10 })
    const { ticket } = freshTicket()
    ledger.beginAttempt(ticket, requestDigest)
    ledger.recordResult(ticket, Result.err(refuse(RefusalReason.QueueFull, 'full')))
    const late = ledger.beginAttempt(ticket, requestDigest)
    const result = late.step === OrderStep.Repeat ? await late.result : undefined
    expect(result?.isErr && result.error.outcome).toBe(Outcome.NotRun)
  })

  it('asserts that an order is sent at most once, and that a sent order is never answered not-run', () => {
    const ledger = new OrderLedger({ clock: runtimeClock, capacity: 10 })
    const { ticket } = freshTicket()
    ledger.beginAttempt(ticket, requestDigest)
    ledger.markSent(ticket)
    expect(() => ledger.markSent(ticket)).toThrow('order-at-most-once')
    expect(() => ledger.recordResult(ticket, Result.err(refuse(RefusalReason.QueueFull, 'full')))).toThrow('not-run-is-true')
  })

  it('refuses new orders if full, and removes only records of expired tickets', () => {
    const ledger = new OrderLedger({ clock: runtimeClock, capacity: 1 })
    const { ticket } = freshTicket()
    ledger.beginAttempt(ticket, requestDigest)
    ledger.recordResult(ticket, done)
    expect(ledger.beginAttempt(freshTicket().ticket, requestDigest).step).toBe(OrderStep.Refuse)
    vi.advanceTimersByTime(600_001)
    expect(ledger.beginAttempt(freshTicket().ticket, requestDigest).step).toBe(OrderStep.Run)
    const expired = ledger.beginAttempt(ticket, requestDigest)
    expect(expired.step === OrderStep.Refuse && expired.refusal.outcome).toBe(Outcome.Unknown)
  })
})

describe('TicketMint', () => {
  it('recognises its own tickets only', () => {
    const parsed = freshTicket()
    const other = new TicketMint({ clock: runtimeClock, vm: toVmId('vm-1'), incarnation: newIncarnationId() })
    expect(mint.isOwn(parsed.ticket) && mint.hasValidSignature(parsed)).toBe(true)
    expect(other.isOwn(parsed.ticket)).toBe(false)
    expect(other.hasValidSignature(parsed)).toBe(false)
  })

  it.each(['', 'x', 'a.b', 'a.b.c', '\n', Buffer.from('t~v~i~x~1').toString('base64url') + '.s'])('does not parse %j', (text) => {
    expect(parseTicket(text).isNothing).toBe(true)
  })
})
