import { runtimeClock } from '@cuminvale/common'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { Executions } from './executions.js'
import { HeldBytes } from './heldBytes.js'
import { silentLog } from './testSupport.js'
import type { RequestExecution } from './requestExecution.js'

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

const execution = (check: () => void): RequestExecution => ({ check }) as unknown as RequestExecution

describe('Executions', () => {
  it('checks the requests under way, and keeps no timer while there are none', () => {
    const executions = new Executions(runtimeClock, silentLog, new HeldBytes(Infinity))
    expect(vi.getTimerCount()).toBe(0)
    let checks = 0
    const running = execution(() => { checks += 1 })
    executions.add(running)
    vi.advanceTimersByTime(1_000)
    expect(checks).toBeGreaterThanOrEqual(19)
    executions.delete(running)
    vi.advanceTimersByTime(100)
    expect(vi.getTimerCount()).toBe(0)
    executions.add(running)
    vi.advanceTimersByTime(100)
    expect(checks).toBeGreaterThanOrEqual(20)
  })

  // Guards against a stall of this VM that is taken for the silence of its upstreams: timers run before the sockets are read.
  it('leaves out the check right after a stall, but never two in a row', () => {
    let now = 0
    const executions = new Executions({ ...runtimeClock, monotonic: () => now }, silentLog, new HeldBytes(Infinity))
    let checks = 0
    executions.add(execution(() => { checks += 1 }))
    const checksAfter = (milliseconds: number): number => {
      now += milliseconds
      const before = checks
      vi.advanceTimersByTime(50)
      return checks - before
    }
    expect(checksAfter(50)).toBe(1)
    expect(checksAfter(1_500)).toBe(0)
    expect(checksAfter(50)).toBe(1)
    expect([checksAfter(1_500), checksAfter(1_500), checksAfter(1_500)]).toEqual([0, 1, 0])
  })

  // Guards against an error of one request that kept all later ones from their deadlines.
  it('checks the other requests after an error of one, and fails that one', () => {
    const errors: string[] = []
    const executions = new Executions(runtimeClock, { ...silentLog, error: (event) => { errors.push(event) } }, new HeldBytes(Infinity))
    let checks = 0
    let abandoned = 0
    const faulty = { check: () => { throw new Error('a fault') }, abandon: () => { abandoned += 1 } } as unknown as RequestExecution
    executions.add(faulty)
    executions.add(execution(() => { checks += 1 }))
    vi.advanceTimersByTime(200)
    expect(checks).toBeGreaterThanOrEqual(3)
    expect(abandoned).toBe(1)
    expect(errors).toEqual(['request-error'])
    expect(executions.size).toBe(1)
  })
})
