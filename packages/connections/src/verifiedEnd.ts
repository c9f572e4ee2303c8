/**
 * Tells the orderly end of a connection from a reset that looks like one. libuv
 * reports a reset that arrives together with data as an end of file. And an
 * upstream that ends in the middle of an upload may close in order, and reset
 * the connection only when the next part of the upload arrives. So an end of
 * file is held back until the upload was written and a reset would have
 * arrived. A write then shows whether there was one.
 */

import type { Socket } from 'node:net'

const lineEnd = '\r\n'
/** Time in which a reset arrives that answers bytes which an upstream of the region hasn't read: four round trips. */
const resetNoticeMilliseconds = 20

/** Whether a connection was reset without an error so far. A write to a closed connection succeeds once more; a write to a reset one fails at once, unless earlier ones wait to be written. */
export const isUndetectedReset = (socket: Socket): boolean => {
  socket.write(lineEnd)
  return socket.errored !== null
}

export interface VerifiedEndOptions {
  /** Whether nothing but the end of the connection ends what is read. */
  readonly mustVerify: () => boolean
  /** Whether the upstream may have received only a part of what was written. */
  readonly mayBeUnread: () => boolean
}

/** Holds back the ends of file of a connection that must be verified, until they are. A reset destroys the socket with an error. */
export const verifyEnd = (socket: Socket, { mustVerify, mayBeUnread }: VerifiedEndOptions): void => {
  const push = socket.push.bind(socket)
  let isHeld = false
  let timer: NodeJS.Timeout | undefined

  const verify = (mustWait: boolean): void => {
    if (socket.destroyed) return
    const isWriting = socket.writableLength > 0
    if (isWriting || mustWait) timer = setTimeout(() => verify(isWriting), resetNoticeMilliseconds)
    else if (!isUndetectedReset(socket)) push(null)
  }

  socket.push = (chunk: unknown, encoding?: BufferEncoding): boolean => {
    if (chunk !== null || !mustVerify()) return push(chunk, encoding)
    // Node may report the end of file once more while it is held.
    if (!isHeld) verify(mayBeUnread())
    isHeld = true
    return false
  }
  socket.once('close', () => clearTimeout(timer))
}
