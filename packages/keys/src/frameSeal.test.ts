import { describe, expect, it } from 'vitest'
import { isValidAnswerProof, createAnswerProof } from './answerProof.js'
import { FrameOpener, FrameSealer, deriveSessionKey } from './frameSeal.js'

const sessionKey = deriveSessionKey(Buffer.from('fleet-secret'), 'transcript')
const firstPayload = Buffer.from('first')
const secondPayload = Buffer.from('second')

const sealTwoFrames = (): readonly [Buffer, Buffer] => {
  const sealer = new FrameSealer(sessionKey, 'dialer')
  return [sealer.seal(firstPayload), sealer.seal(secondPayload)]
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
    expect(openAll(sealTwoFrames())).toEqual(['first', 'second'])
    expect(openAll([new FrameSealer(sessionKey, 'dialer').seal(Buffer.alloc(0))])).toEqual([''])
  })

  it.each<[string, (frames: readonly [Buffer, Buffer]) => readonly Uint8Array[]]>([
    ['repeated', ([firstFrame]) => [firstFrame, firstFrame]],
    ['sent after a dropped frame', ([, secondFrame]) => [secondFrame]],
    ['changed', ([firstFrame]) => [Buffer.concat([firstFrame.subarray(0, -1), Buffer.from('X')])]],
    ['truncated', ([firstFrame]) => [firstFrame.subarray(0, 3)]],
    ['empty', () => [Buffer.alloc(0)]]
  ])('rejects a frame that was %s', (_, tamper) => {
    expect(openAll(tamper(sealTwoFrames())).at(-1)).toBeUndefined()
  })

  it('rejects frames of another session and frames reflected to their sender', () => {
    expect(openAll(sealTwoFrames(), deriveSessionKey(Buffer.from('fleet-secret'), 'another'))[0]).toBeUndefined()
    expect(openAll(sealTwoFrames(), sessionKey, 'listener')[0]).toBeUndefined()
  })
})

describe('answer proof', () => {
  it('is valid for one nonce, under any accepted secret', () => {
    const secret = Buffer.from('fleet-secret')
    const proof = createAnswerProof('n-1', secret)
    expect(isValidAnswerProof('n-1', proof, [Buffer.from('next'), secret])).toBe(true)
    expect(isValidAnswerProof('n-2', proof, [secret])).toBe(false)
    expect(isValidAnswerProof('n-1', '', [secret])).toBe(false)
  })
})
