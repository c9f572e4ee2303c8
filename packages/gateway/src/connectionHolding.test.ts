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
    holding.begin({ hasSentAhead: false })
    memory.hold({ canGiveWay: () => false, giveWay: () => { /* stays */ } }).grow(40_000)
    expect(gone).toEqual(['stalled'])
  })

  // Guards against callers that are turned away since others have sent whole requests ahead, which wait for slow upstreams.
  it('gives way with several whole requests, and not with one', () => {
    const memory = new CallerMemory({ clock: runtimeClock, maximumBytes: 200_000 })
    const gone: number[] = []
    for (const requests of [1, 2, 1, 3]) {
      const socket = { writableLength: 0, bytesWritten: 0, resetAndDestroy: () => { gone.push(requests) } } as unknown as Socket
      const exchanges = new Set<ServerResponse>()
      const holding = new ConnectionHolding({ socket, exchanges, memory })
      holding.open()
      for (let request = 0; request < requests; request += 1) {
        exchanges.add({ req: { complete: true }, headersSent: false, socket: null, writableLength: 0 } as unknown as ServerResponse)
        holding.begin({ hasSentAhead: request > 0 })
      }
    }
    while (memory.giveWayOne()) { /* all that can */ }
    expect(gone.sort()).toEqual([2, 3])
  })

  // Guards against answers that lie in the kernel until the machine is out of memory, as nobody reads them.
  it('counts what was sent to a caller that sends ahead, and not what one has read that waits for its answers', () => {
    const memory = new CallerMemory({ clock: runtimeClock, maximumBytes: 100_000_000 })
    const open = (hasSentAhead: boolean): void => {
      const socket = { writableLength: 0, bytesWritten: 0 }
      const exchanges = new Set<ServerResponse>()
      const holding = new ConnectionHolding({ socket: socket as Socket, exchanges, memory })
      holding.open()
      for (let answer = 0; answer < 20; answer += 1) {
        const response = {} as ServerResponse
        exchanges.add(response)
        holding.begin({ hasSentAhead })
        socket.bytesWritten += 100_000
        exchanges.delete(response)
        holding.end()
      }
    }
    open(false)
    expect(memory.total).toBeLessThan(100_000)
    open(true)
    expect(memory.total).toBeGreaterThan(1_900_000)
  })
})
