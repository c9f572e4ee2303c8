import { describe, expect, it } from 'vitest'
import { toRevision } from '@cuminvale/common'
import { decodePeerMessage, encodePeerMessage } from './codec.js'
import { mechanismOf } from './peerMessage.js'

describe('peer message codec', () => {
  it('decodes an encoded message to an equal one', () => {
    const message = { kind: 'configuration.announce', revision: toRevision(9) } as const
    const decoded = decodePeerMessage(encodePeerMessage(message))
    expect(decoded.isOk && decoded.value).toEqual(message)
    expect(mechanismOf(message)).toBe('configuration')
  })

  it.each([
    ['truncated bytes', encodePeerMessage({ kind: 'configuration.announce', revision: toRevision(9) }).subarray(0, 9)],
    ['a message of an unknown mechanism', encodePeerMessage({ kind: 'gossip.rumour' } as never)],
    ['a bare number', Uint8Array.of(7)]
  ])('reports %s as an error', (_, bytes) => {
    expect(decodePeerMessage(bytes).isErr).toBe(true)
  })
})
