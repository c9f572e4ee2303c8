import { describe, expect, it } from 'vitest'
import { isAnswerProven, signAnswer } from './answerProof.js'
import { FrameOpener, FrameSealer, deriveSessionKey } from './frameSeal.js'

const sessionKey = deriveSessionKey(Buffer.from('fleet-secret'), 'transcript')
const first = Buffer.from('first')
const second = Buffer.from('second')

const sealTwo = (): readonly [Buffer, Buffer] => {
  const sealer = new FrameSealer(sessionKey, 'dialer')
  return [sealer.seal(first), sealer.seal(second)]
}

const openAll = (frames: readonly Uint8Array[], key = sessionKey, sender = 'dialer'): Array<string | undefined> => {
  const opener = new FrameOpener(key, sender)
  return frames.map((frame) => {
    const payload = opener.open(frame)
    return payload === undefined ? undefined : Buffer.from(payload).toString()
  })
}

describe('frame authentication', () => {
  it('opens frames in the order in which they were sealed, including empty heartbeat frames', () => {
    expect(openAll(sealTwo())).toEqual(['first', 'second'])
    expect(openAll([new FrameSealer(sessionKey, 'dialer').seal(Buffer.alloc(0))])).toEqual([''])
  })

  it.each<[string, (frames: readonly [Buffer, Buffer]) => readonly Uint8Array[]]>([
    ['repeated', ([one]) => [one, one]],
    ['sent after a dropped frame', ([, two]) => [two]],
    ['changed', ([one]) => [Buffer.concat([one.subarray(0, -1), Buffer.from('X')])]],
    ['truncated', ([one]) => [one.subarray(0, 3)]],
    ['empty', () => [Buffer.alloc(0)]]
  ])('rejects a frame that was %s', (_, change) => {
    expect(openAll(change(sealTwo())).at(-1)).toBeUndefined()
  })

  it('rejects frames of another session and frames reflected to their sender', () => {
    expect(openAll(sealTwo(), deriveSessionKey(Buffer.from('fleet-secret'), 'another'))[0]).toBeUndefined()
    expect(openAll(sealTwo(), sessionKey, 'listener')[0]).toBeUndefined()
  })
})

describe('answer proof', () => {
  it('is valid for one nonce, under any accepted secret', () => {
    const secret = Buffer.from('fleet-secret')
    const proof = signAnswer('n-1', secret)
    expect(isAnswerProven('n-1', proof, [Buffer.from('next'), secret])).toBe(true)
    expect(isAnswerProven('n-2', proof, [secret])).toBe(false)
    expect(isAnswerProven('n-1', '', [secret])).toBe(false)
  })
})
