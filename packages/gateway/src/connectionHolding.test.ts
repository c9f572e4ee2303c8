import { EventEmitter } from 'node:events'
import { runtimeClock } from '@cuminvale/common'
import { describe, expect, it } from 'vitest'
import { CallerMemory } from './callerMemory.js'
import { ConnectionHolding } from './connectionHolding.js'
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

const idleMilliseconds = 60_000
const stalledMilliseconds = 1_000

describe('ConnectionHolding', () => {
  // Guards against an ordinary caller that gives way to a crowd since its connection was idle before.
  it('counts a request that has just begun as one that is not behind', () => {
    let now = 0
    const memory = new CallerMemory({ clock: { ...runtimeClock, monotonic: () => now }, maximumBytes: 100_000 })
    const gone: string[] = []
    const socket = Object.assign(new EventEmitter(), { writableLength: 0, bytesWritten: 0, destroy: () => { gone.push('ordinary') } }) as unknown as Socket
    const exchanges = new Set<ServerResponse>()
    const holding = new ConnectionHolding({ socket, exchanges, memory })
    holding.open()
    now = idleMilliseconds
    const stalled = memory.hold({ canGiveWay: () => true, giveWay: () => { gone.push('stalled') } })
    stalled.grow(40_000)
    now += stalledMilliseconds
    exchanges.add({ req: { complete: false }, headersSent: false } as unknown as ServerResponse)
    holding.begin()
    memory.hold({ canGiveWay: () => false, giveWay: () => { /* stays */ } }).grow(40_000)
    expect(gone).toEqual(['stalled'])
  })
})
