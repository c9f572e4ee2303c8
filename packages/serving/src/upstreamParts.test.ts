import { toUpstreamId } from '@cuminvale/common'
import { describe, expect, it } from 'vitest'
import { UpstreamParts } from './upstreamParts.js'
import { ManualClock } from './testSupport.js'
import type { PromptPartId } from './types.js'

const id = (name: string): PromptPartId => name as PromptPartId
const first = toUpstreamId('i-1')

describe('UpstreamParts', () => {
  it('keeps the parts that each upstream has read recently', () => {
    const clock = new ManualClock()
    const parts = new UpstreamParts(clock)
    parts.add(first, [id('a'), id('b')])
    parts.add(toUpstreamId('i-2'), [id('c')])
    expect(parts.all).toEqual([['i-1', ['a', 'b']], ['i-2', ['c']]])
    clock.advance(13_000)
    parts.add(first, [id('b')])
    expect(parts.all).toEqual([['i-1', ['b']]])
  })

  it('forgets the parts of a removed upstream', () => {
    const parts = new UpstreamParts(new ManualClock())
    parts.add(first, [id('a')])
    parts.forget(first)
    expect(parts.of(first)).toEqual([])
  })
})
