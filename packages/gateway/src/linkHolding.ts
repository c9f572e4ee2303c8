/**
 * Counts what a VM holds of messages that other VMs haven't sent to their end,
 * with what it holds for callers: anybody who reaches the port for VMs can open
 * a link. One with a long part of a message is closed when there is no room.
 */

import type { Socket } from 'node:net'
import type { WebSocket } from 'ws'
import type { CallerMemory } from './callerMemory.js'

/** Most parts of a message; VMs send messages in one part. */
export const maximumMessageParts = 64
/** Messages that are shorter never give way. */
const ordinaryMessageBytes = 65_536
/** Memory of a read beside its bytes. */
const readCostBytes = 256

export interface LinkHoldingOptions {
  readonly link: WebSocket
  /** The connection that the link uses. */
  readonly socket: Socket
  readonly memory: CallerMemory
}

export const holdUnfinishedMessages = ({ link, socket, memory }: LinkHoldingOptions): void => {
  const holder = memory.hold({ canGiveWay: () => holder.bytes > ordinaryMessageBytes, giveWay: () => link.terminate() })
  // Before the listener that may complete a message.
  socket.prependListener('data', (chunk: Buffer) => {
    holder.recordProgress(chunk.length)
    holder.grow(chunk.length + readCostBytes)
  })
  link.on('message', () => holder.resize(0))
  link.on('close', () => holder.release())
}
