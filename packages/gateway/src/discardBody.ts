/**
 * Reads the rest of a request body that nobody waits for, so that its
 * connection can be used again, within limits of bytes and time.
 */

import { discardedBodyTimeoutMilliseconds } from './constants.js'
import type { IncomingMessage } from 'node:http'

export const discardBody = (request: IncomingMessage, maximumBytes: number): void => {
  const { socket, headers } = request
  request.resume()
  if (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined) return
  let remainingBytes = maximumBytes
  // The response has no socket any more once it is complete, so the socket itself is closed.
  const timer = setTimeout(() => socket.destroy(), discardedBodyTimeoutMilliseconds)
  request.on('data', (chunk: Buffer) => {
    remainingBytes -= chunk.length
    if (remainingBytes < 0) socket.destroy()
  })
  request.on('close', () => clearTimeout(timer))
}
