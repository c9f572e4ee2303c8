import { readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import { readAnswerFrame } from './answerFrames.js'
import { FrameDecoder, FrameKind, decodeForward } from './forwardFrames.js'
import { readFrame } from './linkFrames.js'
import { dataSample, failureSamples, forwardSamples, headSamples, linkMessageSamples, refusalSamples } from './messageSamples.js'
import type { AttemptId } from '@cuminvale/serving'
import type { AnswerFrame } from './answerFrames.js'

type Recorded = Readonly<Record<string, string>>

const { links, forwards, frames } = JSON.parse(readFileSync(new URL('../fixtures/productionMessages.json', import.meta.url), 'utf8')) as Record<'links' | 'forwards' | 'frames', Recorded>
const bytesOf = (recorded: Recorded, name: string): Buffer => Buffer.from(recorded[name] ?? '', 'base64')
const unreadable = (detail: string): void => { throw new Error(detail) }
const maximumBytes = 1_000_000

// Guards against a change of format by which VMs of the production build and new ones misread each other while VMs are replaced.
describe('what the production build wrote', () => {
  it.each(Object.entries({ ...linkMessageSamples, compressed: linkMessageSamples['records'] }))('as %s on a link is read with all its values', (name, message) => {
    expect(readFrame(bytesOf(links, name), maximumBytes, unreadable)).toEqual([message])
  })

  it('as several messages in one frame is read', () => {
    const frame = Buffer.concat([bytesOf(links, 'acknowledgement'), bytesOf(links, 'digest')])
    expect(readFrame(frame, maximumBytes, unreadable)).toEqual([linkMessageSamples['acknowledgement'], linkMessageSamples['digest']])
  })

  it.each(Object.entries(forwardSamples))('as a forward %s is read with all its values', (name, { envelope, body }) => {
    expect(decodeForward(bytesOf(forwards, name))).toEqual({ envelope, body })
  })

  const answer = (kind: FrameKind, value: Partial<AnswerFrame>): Partial<AnswerFrame> => ({ kind, ...value })
  it.each([
    ['received', answer(FrameKind.Received, {}), false] as const,
    ['data', answer(FrameKind.Data, {}), true] as const,
    ['end', answer(FrameKind.End, {}), true] as const,
    ...Object.entries(headSamples).map(([name, head]) => [name, answer(FrameKind.Head, { head }), false] as const),
    ...Object.entries(refusalSamples).map(([name, refusal]) => [name, answer(FrameKind.Refused, { refusal }), false] as const),
    ...Object.entries(failureSamples).map(([name, failure]) => [name, answer(FrameKind.Failed, { failure }), false] as const)
  ])('as the frame %s of an answer is read with all its values', (name, expected, isAnswered) => {
    const [frame] = new FrameDecoder().push(bytesOf(frames, name))
    if (frame === undefined) throw new Error('no frame')
    expect(readAnswerFrame(frame, { attempt: 'a1' as AttemptId, isAnswered })).toEqual(expected)
    if (name === 'data') expect(frame.content).toEqual(dataSample)
  })

  it('holds everything that is recorded', () => {
    expect(Object.keys(links).sort()).toEqual([...Object.keys(linkMessageSamples), 'compressed'].sort())
    expect(Object.keys(forwards).sort()).toEqual(Object.keys(forwardSamples).sort())
    expect(Object.keys(frames)).toHaveLength(3 + [headSamples, refusalSamples, failureSamples].flatMap(Object.keys).length)
  })
})
