import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { RecordConfirmation } from './recordConfirmation.js'

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

const readMilliseconds = 40
const clock = { monotonic: () => performance.now(), wall: () => Date.now() }

interface ScriptedConfirmation {
  readonly confirmation: RecordConfirmation
  readonly records: { isRestoring: boolean }
  /** When reads were sent, and what becomes of the next ones. */
  readonly sentAt: number[]
  succeeds: boolean
}

const start = (): ScriptedConfirmation => {
  const records = { isRestoring: false }
  const sentAt: number[] = []
  const scripted: ScriptedConfirmation = {
    records,
    sentAt,
    succeeds: true,
    confirmation: new RecordConfirmation({
      clock,
      records,
      read: async () => {
        sentAt.push(performance.now())
        const { succeeds } = scripted
        await new Promise((resolve) => setTimeout(resolve, readMilliseconds))
        return succeeds
      }
    })
  }
  return scripted
}

describe('RecordConfirmation', () => {
  it('reads once for all requests of the same time, and not at all for what is confirmed', async () => {
    const { confirmation, sentAt } = start()
    const now = performance.now()
    const confirmed = Promise.all(Array.from({ length: 100 }, async () => await confirmation.confirmSince(now)))
    await vi.advanceTimersByTimeAsync(readMilliseconds)
    expect(new Set(await confirmed)).toEqual(new Set([true]))
    expect(await confirmation.confirmSince(now)).toBe(true)
    expect(sentAt).toHaveLength(1)
  })

  // Guards against a version that is concluded from a read that was sent before its stream began.
  it('does not take a read for a request that came after it was sent', async () => {
    const { confirmation, sentAt } = start()
    const first = confirmation.confirmSince(performance.now())
    await vi.advanceTimersByTimeAsync(10)
    const askedAt = performance.now()
    const second = confirmation.confirmSince(askedAt)
    await vi.advanceTimersByTimeAsync(1_000)
    expect([await first, await second, sentAt.length]).toEqual([true, true, 2])
    expect(sentAt[1]).toBeGreaterThanOrEqual(askedAt)
  })

  // Guards against a store that is overrun by the VMs that are left after many were killed.
  it('sends at most one read in 250 ms', async () => {
    const { confirmation, sentAt } = start()
    const timer = setInterval(() => { confirmation.confirmSince(performance.now()).catch(() => { /* not asserted */ }) }, 5)
    await vi.advanceTimersByTimeAsync(2_000)
    clearInterval(timer)
    expect(sentAt.length).toBeLessThanOrEqual(8)
    expect(sentAt.length).toBeGreaterThan(4)
  })

  it('confirms nothing if the read fails, and reads again for the next request', async () => {
    const scripted = start()
    scripted.succeeds = false
    const failed = scripted.confirmation.confirmSince(performance.now())
    await vi.advanceTimersByTimeAsync(readMilliseconds)
    expect(await failed).toBe(false)
    scripted.succeeds = true
    const confirmed = scripted.confirmation.confirmSince(performance.now())
    await vi.advanceTimersByTimeAsync(1_000)
    expect(await confirmed).toBe(true)
  })

  // Guards against a store that has come back from an older copy, and lacks a version that it had acknowledged.
  it('confirms nothing while the source is being restored', async () => {
    const { confirmation, records, sentAt } = start()
    records.isRestoring = true
    expect(await confirmation.confirmSince(performance.now())).toBe(false)
    records.isRestoring = false
    const confirmed = confirmation.confirmSince(performance.now())
    records.isRestoring = true
    await vi.advanceTimersByTimeAsync(readMilliseconds)
    expect([await confirmed, sentAt.length]).toEqual([false, 1])
  })
})
