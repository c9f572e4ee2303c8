import * as fastCheck from 'fast-check'
import { describe, expect, it } from 'vitest'
import { EventStreamBuffer } from './eventStreamBuffer.js'

const stream = 'data: {"a":1}\n\n: comment\n\ndata: {"b":2}\r\n\r\ndata: {"usage":{"total_tokens": 42}}\n\ndata: [DONE]\n\n'

const pushInChunks = (cuts: readonly number[]) => {
  const eventBuffer = new EventStreamBuffer()
  const bytes = Buffer.from(stream)
  const chunkBoundaries = [0, ...cuts.map((cut) => cut % bytes.length).sort((first, second) => first - second), bytes.length]
  let output = ''
  for (let index = 1; index < chunkBoundaries.length; index += 1) {
    const part = eventBuffer.push(bytes.subarray(chunkBoundaries[index - 1], chunkBoundaries[index]))
    output += part?.toString() ?? ''
  }
  return { eventBuffer, output }
}

describe('EventStreamBuffer', () => {
  it('returns the same bytes and counts however the stream is split into chunks', () => {
    fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.nat(200), { maxLength: 12 }), (cuts) => {
      const { eventBuffer, output } = pushInChunks(cuts)
      expect(output).toBe(stream)
      expect(eventBuffer.eventCount).toBe(3)
      expect(eventBuffer.ended).toBe(true)
      expect(eventBuffer.usedTokens).toBe(42)
    }), { seed: 1 })
  })

  it('buffers an incomplete event and discards it when the stream is resumed', () => {
    const eventBuffer = new EventStreamBuffer()
    expect(eventBuffer.push(Buffer.from('data: 1\n\ndata: 2'))?.toString()).toBe('data: 1\n\n')
    eventBuffer.discardPartialEvent()
    expect(eventBuffer.push(Buffer.from('data: 2\n\n'))?.toString()).toBe('data: 2\n\n')
    expect(eventBuffer.eventCount).toBe(2)
    expect(eventBuffer.ended).toBe(false)
  })
})
