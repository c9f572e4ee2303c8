/**
 * Counts and logs the answers under way on connections that this VM closes while
 * it stops. The number of lines is bounded.
 */

import type { ServerResponse } from 'node:http'
import type { GatewayState } from './gatewayState.js'

const maximumLines = 20

export class CutAnswers {
  count = 0

  constructor (private readonly state: GatewayState) {}

  /** Called before the connection is closed. */
  record (response: ServerResponse): void {
    const { isLeaving, codec, log } = this.state
    if (!isLeaving) return
    this.count += 1
    if (this.count > maximumLines) return
    const { socket } = response.req
    const unsent = response.writableLength
    log.warn('answer-cut', { id: codec.decodeRequest(response.req).attempt, status: response.headersSent ? response.statusCode : undefined, sentOnConnection: socket.bytesWritten - socket.writableLength, unsent })
  }
}
