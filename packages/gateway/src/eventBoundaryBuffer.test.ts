import * as fastCheck from 'fast-check'
import { describe, expect, it } from 'vitest'
import { EventBoundaryBuffer } from './eventBoundaryBuffer.js'

/** Pushes a stream in pieces of the given length; returns what was passed on. */
const pushAll = (buffer: EventBoundaryBuffer, text: string, pieceLength = text.length): string => {
  let passed = ''
  for (let start = 0; start < text.length; start += pieceLength) {
    passed += buffer.push(Buffer.from(text.slice(start, start + pieceLength), 'latin1'))?.toString('latin1') ?? ''
  }
  return passed
}

const events = (lineEnd: string): string => ['id: 1', 'data: one', '', 'id: 2', 'data: two', '', ''].join(lineEnd)

describe('EventBoundaryBuffer', () => {
  it.each([['LF', '\n'], ['CRLF', '\r\n'], ['CR', '\r']])('passes on every complete event of a stream with %s, however it is split', (_name, lineEnd) => {
    fastCheck.assert(fastCheck.property(fastCheck.integer({ min: 1, max: 40 }), (pieceLength) => {
      const buffer = new EventBoundaryBuffer()
      const passed = pushAll(buffer, events(lineEnd), pieceLength)
      expect(passed + (buffer.partialEvent()?.toString() ?? '')).toBe(events(lineEnd))
      expect([buffer.isInsideEvent, buffer.hasCompleteEvents, buffer.lastEventId]).toEqual([false, true, '2'])
    }))
  })

  it.each([['LF', '\n'], ['CRLF', '\r\n'], ['CR', '\r']])('is inside an event wherever a stream with %s is cut but after a blank line', (_name, lineEnd) => {
    const text = events(lineEnd)
    const firstEnd = text.indexOf('id: 2')
    for (let length = 1; length < text.length; length += 1) {
      const buffer = new EventBoundaryBuffer()
      pushAll(buffer, text.slice(0, length))
      expect([length, buffer.isInsideEvent]).toEqual([length, length !== firstEnd])
    }
  })

  it('is inside an event between the two characters of the line ending after it', () => {
    const buffer = new EventBoundaryBuffer()
    expect(pushAll(buffer, 'id: 1\r\ndata: one\r\n\r')).toBe('')
    expect(buffer.isInsideEvent).toBe(true)
    expect(pushAll(buffer, '\n')).toBe('id: 1\r\ndata: one\r\n\r\n')
    expect(buffer.isInsideEvent).toBe(false)
  })

  // Guards against a resumed stream that began again: a comment after the last event hid the event's id.
  it('keeps the id of the last event that had one', () => {
    const buffer = new EventBoundaryBuffer()
    pushAll(buffer, 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n: keep-alive\n\n')
    expect(buffer.lastEventId).toBe('2')
    pushAll(buffer, 'data: id: 7\n\n')
    expect(buffer.lastEventId).toBe('2')
    pushAll(buffer, 'id:3\ndata: three\n\n')
    expect(buffer.lastEventId).toBe('3')
  })

  it('finds blank lines among mixed line endings', () => {
    expect(pushAll(new EventBoundaryBuffer(), 'data: one\n\r\ndata: two\r\n\ndata: 3')).toBe('data: one\n\r\ndata: two\r\n\n')
  })

  it('is not inside an event after comments and blank lines', () => {
    const buffer = new EventBoundaryBuffer()
    pushAll(buffer, 'data: one\n\n: keep-alive\n\n: bye\n')
    expect(buffer.isInsideEvent).toBe(false)
    pushAll(buffer, ': by')
    expect(buffer.isInsideEvent).toBe(true)
  })

  // Guards against a VM that is busy for a minute with one event in chunks of a byte.
  it.each([1, 16])('takes an event up to its limit in chunks of %i bytes in time', (chunkBytes) => {
    const buffer = new EventBoundaryBuffer()
    const chunk = Buffer.alloc(chunkBytes, 'x')
    const startedAt = performance.now()
    let bytes = 0
    while (!buffer.exceedsLimit && performance.now() - startedAt < 3_000) {
      buffer.push(chunk)
      bytes += chunkBytes
    }
    expect(buffer.exceedsLimit).toBe(true)
    expect(bytes).toBe(1_048_576 + chunkBytes)
    expect(buffer.partialEvent()?.length).toBe(bytes)
  })

  // Guards against a VM that stands still for good: blank lines and a word from an upstream took 2^n steps for n lines.
  it.each([
    ['blank lines with CRLF and a word', '\r\n'], ['comments with CRLF and a word', ': x\r\n'], ['blank lines with CR and a word', '\r'], ['mixed line endings and a word', '\r\r\n\n']
  ])('reads %s in time, however many there are', (_name, line) => {
    for (const lineCount of [20, 22, 24, 26, 1_000, 100_000]) {
      const startedAt = performance.now()
      const buffer = new EventBoundaryBuffer()
      expect(pushAll(buffer, `${line.repeat(lineCount)}overloaded\r\n\r\nword`)).not.toBe('')
      expect([buffer.hasCompleteEvents, buffer.isInsideEvent]).toEqual([true, true])
      expect([lineCount, Math.round(performance.now() - startedAt)]).toEqual([lineCount, expect.toSatisfy((milliseconds: number) => milliseconds < 250)])
    }
  })

  it('knows comments and blank lines from events, whatever it was given', () => {
    const isOnlyComments = (text: string): boolean => {
      const lines = text.split(/\r\n|\n|\r(?!$)/)
      return lines.pop() === '' && lines.every((line) => line === '' || line.startsWith(':'))
    }
    fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.constantFrom('\n', '\r', '\r\n', ':', ': x\n', 'x'), { maxLength: 10 }), (texts) => {
      const text = texts.join('')
      const buffer = new EventBoundaryBuffer()
      const passed = pushAll(buffer, text)
      const partial = text.slice(passed.length)
      expect([buffer.hasCompleteEvents, buffer.isInsideEvent]).toEqual([!isOnlyComments(passed), partial !== '' && !isOnlyComments(partial)])
    }), { numRuns: 2_000 })
  })

  it('passes on what it was given, whatever it is and however it is split', () => {
    const piece = fastCheck.array(fastCheck.constantFrom('\n', '\r', 'a', ':', 'id: 1', 'data: ', '\u00ff'), { maxLength: 12 }).map((texts) => texts.join(''))
    fastCheck.assert(fastCheck.property(fastCheck.array(piece, { maxLength: 20 }), fastCheck.integer({ min: 1, max: 9 }), (pieces, pieceLength) => {
      const text = pieces.join('')
      const buffer = new EventBoundaryBuffer()
      const passed = pushAll(buffer, text, pieceLength)
      expect(passed + (buffer.partialEvent()?.toString('latin1') ?? '')).toBe(text)
      expect(passed).toMatch(/^$|[\r\n][\r\n]$/)
      const discarded = buffer.partialEvent()
      buffer.discardPartialEvent()
      expect([buffer.partialEvent(), buffer.isInsideEvent]).toEqual([undefined, false])
      // What was handed out before stays as it was.
      const before = discarded?.toString('latin1')
      pushAll(buffer, 'data: another\n\ndata')
      expect(discarded?.toString('latin1')).toBe(before)
    }))
  })
})
