import { describe, expect, it } from 'vitest'
import { AnswerNaming } from './answerNaming.js'
import { ManualClock } from './testSupport.js'
import type { ReceivedAnswer } from './answerNaming.js'
import type { AttemptId } from './types.js'

const attempt = 'a1' as AttemptId
const success = { attempt, isRepeatable: false, named: attempt, isSuccess: true, isFirstOnConnection: false }
const refusal = { ...success, isSuccess: false }
const unnamed = { named: undefined }
const first = { isFirstOnConnection: true }

/** What becomes of each answer of one upstream, and whether orders then need new connections. */
const receive = (answers: ReadonlyArray<Partial<ReceivedAnswer>>, clock = new ManualClock(), naming = new AnswerNaming(clock)): ReadonlyArray<readonly [boolean, boolean]> =>
  answers.map((answer) => [naming.accepts({ ...success, ...answer }), naming.needsNewConnections])

describe('AnswerNaming', () => {
  // Guards against a copy of an earlier answer that counts as that of an order.
  it('accepts an answer to an order that names its attempt, or is the first on its connection', () => {
    for (const answer of [success, refusal]) {
      expect(receive([answer, { ...answer, named: 'a0' as AttemptId }, { ...answer, ...unnamed }]).map(([isAccepted]) => isAccepted)).toEqual([true, false, false])
      expect(receive([{ ...answer, ...unnamed, ...first }, { ...answer, ...unnamed }]).map(([isAccepted]) => isAccepted)).toEqual([true, false])
    }
  })

  // Guards against orders that fail again and again at upstreams that leave answers unnamed.
  it('asks for new connections at an upstream that names no attempts, or not those of refusals', () => {
    expect(receive([{ ...success, ...unnamed, ...first }])).toEqual([[true, true]])
    expect(receive([{ ...refusal, ...unnamed, ...first }, success, { ...refusal, ...unnamed }, success])).toEqual([[true, false], [true, false], [false, true], [true, true]])
  })

  // Guards against new connections without end after one copy.
  it('asks for no more of them once the upstream names a refusal, or some time after an answer that may have been a copy', () => {
    const clock = new ManualClock()
    const naming = new AnswerNaming(clock)
    expect(receive([success, { ...refusal, ...unnamed }, refusal], clock, naming)).toEqual([[true, false], [false, true], [true, false]])
    expect(receive([{ ...refusal, ...unnamed }], clock, naming)).toEqual([[false, true]])
    clock.advance(30_000)
    expect(naming.needsNewConnections).toBe(false)
  })

  it('goes on asking for them if the upstream refuses on one without a name', () => {
    const clock = new ManualClock()
    const naming = new AnswerNaming(clock)
    receive([success, { ...refusal, ...unnamed }, { ...refusal, ...unnamed, ...first }], clock, naming)
    clock.advance(30_000)
    expect(naming.needsNewConnections).toBe(true)
  })

  it('accepts an unproven answer to a repeatable request from an upstream that never names, or of one that leaves refusals unnamed a refusal', () => {
    const repeatable = { isRepeatable: true, ...unnamed }
    const accepted = (answers: ReadonlyArray<Partial<ReceivedAnswer>>): readonly boolean[] => receive(answers).map(([isAccepted]) => isAccepted)
    expect(accepted([{ ...success, ...repeatable }, { ...refusal, ...repeatable }])).toEqual([true, true])
    expect(accepted([success, { ...success, ...repeatable }, { ...refusal, ...repeatable }])).toEqual([true, false, false])
    expect(accepted([success, { ...refusal, ...repeatable, ...first }, { ...refusal, ...repeatable }, { ...success, ...repeatable }])).toEqual([true, true, true, false])
  })
})
