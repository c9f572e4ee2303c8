/**
 * Unpacks a frame of a link between VMs, and the compressed messages in it,
 * within a limit for all of them together.
 */

import { isWellFormed } from './linkMessageShapes.js'
import { unpackMessages } from './linkMessages.js'
import { decompress } from './recordFeed.js'
import type { CompressedMessage, LinkMessage } from './linkMessages.js'

export type PlainLinkMessage = Exclude<LinkMessage, CompressedMessage>

const isPlain = (message: LinkMessage | null | undefined): message is PlainLinkMessage => message?.kind !== 'compressed'

/** Throws if the frame can't be read, inflates beyond the limit, or has a compressed message inside another one. */
export const unpackFrame = (frame: Buffer, maximumBytes: number): readonly PlainLinkMessage[] => {
  let remainingBytes = maximumBytes
  return unpackMessages(frame).flatMap((message): readonly PlainLinkMessage[] => {
    if (isPlain(message)) return [message]
    if (remainingBytes <= 0) throw new RangeError(`compressed messages of over ${maximumBytes} bytes`)
    const inflated = decompress(message, remainingBytes)
    remainingBytes -= inflated.length
    const messages = unpackMessages(inflated)
    if (!messages.every(isPlain)) throw new RangeError('a compressed message inside another one')
    return messages
  })
}

/** The messages of a frame that can be read; malformed ones are reported and left out. */
export const readFrame = (frame: Buffer, maximumBytes: number, onUnreadable: (detail: string) => void): readonly PlainLinkMessage[] => {
  try {
    return unpackFrame(frame, maximumBytes).filter((message) => {
      const isReadable = isWellFormed(message)
      if (!isReadable) onUnreadable('a malformed message')
      return isReadable
    })
  } catch (error) {
    onUnreadable((error as Error).message)
    return []
  }
}
