/**
 * A caller's request that was admitted and read completely, and is to be started.
 */

import type { ServerResponse } from 'node:http'
import type { TeamId } from '@cuminvale/common'
import type { AdmittedRequest, IntakeItem } from '@cuminvale/serving'

export class ReadRequest implements IntakeItem {
  constructor (
    readonly response: ServerResponse,
    readonly request: AdmittedRequest,
    readonly body: Buffer | null,
    readonly receivedAt: number
  ) {}

  get rank (): number {
    return this.request.priority
  }

  get team (): TeamId | undefined {
    return this.request.team?.id
  }

  get deadlineAt (): number {
    const { head, route } = this.request
    return this.receivedAt + Math.min(head.deadlineMilliseconds ?? Infinity, route.timeoutMilliseconds)
  }

  /** Node destroys the response some turns after it has read the end of the connection. */
  get hasLeft (): boolean {
    const { socket } = this.response.req
    return this.response.destroyed || socket.destroyed || socket.readableEnded
  }
}
