import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { LineBuffer } from './lineBuffer.js'

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

describe('LineBuffer', () => {
  it('writes lines together, in order, after a short time', () => {
    const written: string[] = []
    const buffer = new LineBuffer((text) => written.push(text))
    buffer.push('first\n')
    buffer.push('second\n')
    expect(written).toEqual([])
    vi.advanceTimersByTime(20)
    expect(written).toEqual(['first\nsecond\n'])
  })

  it('writes at once when many characters wait, and nothing twice', () => {
    const written: string[] = []
    const buffer = new LineBuffer((text) => written.push(text))
    buffer.push('x'.repeat(65_536))
    buffer.flush()
    vi.advanceTimersByTime(1_000)
    expect(written).toHaveLength(1)
  })
})
