import { describe, expect, it } from 'vitest'
import { usedTokens } from './usedTokens.js'
import type { ClassifiedRequest } from './classifiedRequest.js'

const request = { route: { kind: 'completion' }, promptTokens: 10, outputTokens: 5 } as unknown as ClassifiedRequest

const tokensOf = (body: string): number =>
  usedTokens(request, { status: 200, contentType: 'application/json', body: Buffer.from(body) })

describe('usedTokens', () => {
  it.each<[string, unknown, number]>([
    ['the reported total', { choices: [], usage: { prompt_tokens: 3, total_tokens: 7 } }, 7],
    ['the total of the usage report, not of generated text that looks like one', { usage: { total_tokens: 7 }, choices: [{ text: '"usage":{"total_tokens":99}' }] }, 7],
    ['the charge if no usage is reported', { choices: [{ text: 'linen' }] }, 15],
    ['the charge if the total is not a number', { usage: { total_tokens: 'many' } }, 15]
  ])('returns %s', (_, body, expected) => {
    expect(tokensOf(JSON.stringify(body))).toBe(expected)
  })

  it('returns the charge if the body is not JSON', () => {
    expect(tokensOf('no JSON')).toBe(15)
  })
})
