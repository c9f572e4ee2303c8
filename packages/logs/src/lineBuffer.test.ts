import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { LineBuffer } from './lineBuffer.js'

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

describe('LineBuffer', () => {
  it('writes lines in one batch, in order, after the flush delay', () => {
    const written: string[] = []
    const buffer = new LineBuffer((text, done) => { written.push(text); done() })
    buffer.push('first\n')
    buffer.push('second\n')
    expect(written).toEqual([])
    vi.advanceTimersByTime(20)
    expect(written).toEqual(['first\nsecond\n'])
  })

  it('writes immediately at the size threshold, and writes no line twice', () => {
    const written: string[] = []
    const buffer = new LineBuffer((text, done) => { written.push(text); done() })
    buffer.push('x'.repeat(65_536))
    buffer.flush()
    vi.advanceTimersByTime(1_000)
    expect(written).toHaveLength(1)
  })

  it('drops and counts lines that arrive while the buffer is full and a write is unfinished', () => {
    const written: string[] = []
    const completions: Array<() => void> = []
    const buffer = new LineBuffer((text, done) => { written.push(text); completions.push(done) })
    const line = 'y'.repeat(65_535) + '\n'
    for (let pushed = 0; pushed < 20; pushed += 1) buffer.push(line)
    expect(written).toHaveLength(1)
    completions[0]?.()
    expect(written).toHaveLength(2)
    expect(written[1]).toContain('"event":"lines-left-out","count":11')
  })
})
