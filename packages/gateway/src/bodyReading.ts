/**
 * Reads the body of an admitted request, within the limits of one body, of its
 * deadline, and of what the VM holds for all callers. A request whose body isn't
 * read to its end has not run.
 */

import { RefusalReason, refuse } from '@cuminvale/common'
import { CountedBody } from './countedBody.js'
import { checkIntervalMilliseconds, leavingReadMilliseconds, noRoomRetryMilliseconds } from './constants.js'
import type { Refusal } from '@cuminvale/common'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { MemoryHolder } from './callerMemory.js'
import type { GatewayState } from './gatewayState.js'

export interface BodyReadingOptions {
  readonly state: GatewayState
  readonly request: IncomingMessage
  readonly response: ServerResponse
  /** Monotonic time until which the caller waits. */
  readonly deadlineAt: number
  /** The holder, if there is one, is to be released once the request is answered. */
  readonly onRead: (body: Buffer | null, holder: MemoryHolder | undefined) => void
  /** With closes, nothing more is to be read on the connection. */
  readonly onRefused: (refusal: Refusal, options: { readonly closes: boolean }) => void
}

export class BodyReading {
  private readonly maximumBytes: number
  private readonly body: CountedBody
  private timer: NodeJS.Timeout | undefined
  private isOver = false

  constructor (private readonly options: BodyReadingOptions) {
    const { state, request } = options
    this.maximumBytes = state.configuration?.document.limits.bodyBytes ?? 0
    this.body = new CountedBody({ request, memory: state.callerMemory, maximumBytes: this.maximumBytes, onNoRoom: () => this.refuseForRoom() })
  }

  start (): void {
    const { request, response, onRead } = this.options
    if (this.body.isTooLong) return this.refuseAsTooLong()
    if (this.options.state.callerMemory.isFull) return this.refuseForRoom()
    if (request.headers.expect !== undefined) response.writeContinue()
    // All bodies have the same interval, since timers with a delay of their own cost more.
    this.timer = setInterval(() => this.checkTime(), checkIntervalMilliseconds)
    request.on('close', () => this.finish())
    request.on('data', (chunk: Buffer) => {
      if (!this.body.append(chunk)) this.refuseAsTooLong()
    })
    request.on('end', () => {
      if (this.isOver) return
      const { bytes, holder } = this.body.take()
      this.finish()
      onRead(bytes.length === 0 ? null : bytes, holder)
    })
  }

  private checkTime (): void {
    const { state, deadlineAt } = this.options
    const now = state.clock.monotonic()
    if (now >= deadlineAt) this.refuse(refuse(RefusalReason.DeadlineExceeded, 'the time was over before the body had come'))
    else if (state.stopPlan !== undefined && now >= state.stopPlan.endsAt + leavingReadMilliseconds) this.refuse(refuse(RefusalReason.Draining, 'the VM stops before the body has come'))
  }

  private refuseAsTooLong (): void {
    this.refuse(refuse(RefusalReason.BodyTooLarge, `the body is longer than ${this.maximumBytes} bytes`), { closes: true })
  }

  private refuseForRoom (): void {
    this.refuse(refuse(RefusalReason.QueueFull, 'the memory for requests is used up', { retryAfterMilliseconds: noRoomRetryMilliseconds }), { closes: true })
  }

  private refuse (refusal: Refusal, { closes }: { readonly closes: boolean } = { closes: false }): void {
    if (this.isOver) return
    this.finish()
    this.options.onRefused(refusal, { closes })
  }

  private finish (): void {
    this.isOver = true
    clearInterval(this.timer)
    this.body.drop()
  }
}
