import { Duplex } from 'node:stream'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { verifyEnd } from './verifiedEnd.js'
import type { Socket } from 'node:net'

beforeEach(() => { vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout'] }) })
afterEach(() => { vi.useRealTimers() })

interface Connection {
  readonly socket: Duplex
  /** Ends the write under way, and lets further ones end at once. */
  readonly drain: (error?: Error) => void
  readonly hasEnded: () => boolean
}

const connect = ({ mustVerify = true, mayBeUnread = false, isWriting = false }): Connection => {
  let pending: ((error?: Error) => void) | undefined
  let mustFail: Error | undefined
  const socket = new Duplex({
    allowHalfOpen: true,
    read: () => { /* pushed below */ },
    write: (_chunk, _encoding, done) => {
      if (isWriting) pending = done
      else done(mustFail)
    }
  })
  let hasEnded = false
  socket.on('end', () => { hasEnded = true }).on('error', () => { /* expected */ }).resume()
  verifyEnd(socket as Socket, { mustVerify: () => mustVerify, mayBeUnread: () => mayBeUnread })
  if (isWriting) socket.write('upload')
  return {
    socket,
    drain: (error) => {
      isWriting = false
      mustFail = error
      pending?.()
    },
    hasEnded: () => hasEnded
  }
}

const turn = async (): Promise<void> => await new Promise((resolve) => setImmediate(resolve))
const advance = async (milliseconds: number): Promise<void> => {
  await turn()
  vi.advanceTimersByTime(milliseconds)
  await turn()
}

describe('verifyEnd', () => {
  it.each([[{ mustVerify: false, isWriting: true }], [{}]])('passes on an end at once (%o)', async (options) => {
    const { socket, hasEnded } = connect(options)
    socket.push(null)
    await turn()
    expect(hasEnded()).toBe(true)
  })

  it('waits for a reset after what the other side may not have read', async () => {
    const { socket, hasEnded } = connect({ mayBeUnread: true })
    socket.push(null)
    await advance(19)
    expect(hasEnded()).toBe(false)
    await advance(1)
    expect(hasEnded()).toBe(true)
  })

  it('waits until all was written, and for a reset after that', async () => {
    const { socket, drain, hasEnded } = connect({ isWriting: true })
    socket.push(null)
    await advance(200)
    drain()
    await advance(19)
    expect(hasEnded()).toBe(false)
    await advance(21)
    expect(hasEnded()).toBe(true)
  })

  it('passes on no end if the connection was reset meanwhile', async () => {
    const { socket, drain, hasEnded } = connect({ isWriting: true })
    socket.push(null)
    await advance(20)
    drain(new Error('reset'))
    await advance(40)
    expect([hasEnded(), socket.destroyed]).toEqual([false, true])
  })

  it('passes on one end if it is reported twice, and keeps no timer once the connection is closed', async () => {
    const { socket, hasEnded } = connect({ mayBeUnread: true })
    socket.push(null)
    socket.push(null)
    expect(vi.getTimerCount()).toBe(1)
    socket.destroy()
    await advance(0)
    expect([vi.getTimerCount(), hasEnded()]).toEqual([0, false])
  })
})
