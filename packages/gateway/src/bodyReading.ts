/**
 * Reads the body of an admitted request, within the limits of one body, of its
 * deadline, and of what the VM holds for all callers. A request whose body isn't
 * read to its end has not run.
 */

import { RefusalReason, refuse } from '@cuminvale/common'
import { GrowingBuffer } from './growingBuffer.js'
import { checkIntervalMilliseconds, leavingReadMilliseconds, noRoomRetryMilliseconds, requestCostBytes } from './constants.js'
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
  /** What holds the request from now on is released by the caller of this module. */
  readonly onRead: (body: Buffer | null, holder: MemoryHolder) => void
  /** With closes, nothing more is to be read on the connection. */
  readonly onRefused: (refusal: Refusal, options: { readonly closes: boolean }) => void
}

export class BodyReading {
  private readonly maximumBytes: number
  /** 0 for a body without a length. */
  private readonly announcedBytes: number
  private readonly holder: MemoryHolder
  private readonly body: GrowingBuffer
  private timer: NodeJS.Timeout | undefined
  private isOver = false

  constructor (private readonly options: BodyReadingOptions) {
    const { state, request } = options
    const limit = state.configuration?.document.limits.bodyBytes ?? 0
    const announced = request.headers['content-length']
    const announcedBytes = announced === undefined ? undefined : Number(announced)
    this.maximumBytes = limit
    this.holder = state.callerMemory.hold({ canGiveWay: () => !this.isOver, giveWay: () => this.refuseForRoom() })
    this.body = new GrowingBuffer({
      held: { allowance: Infinity, recordGrowth: (bytes) => { this.holder.grow(bytes) } },
      maximumBytes: Math.min(limit, announcedBytes ?? limit)
    })
    this.announcedBytes = announcedBytes ?? 0
  }

  start (): void {
    const { request, response, onRead } = this.options
    if (this.announcedBytes > this.maximumBytes) return this.refuseAsTooLong()
    if (!this.holder.grow(requestCostBytes)) return this.refuseForRoom()
    if (request.headers.expect !== undefined) response.writeContinue()
    // All bodies have the same interval, since timers with a delay of their own cost more.
    this.timer = setInterval(() => this.checkTime(), checkIntervalMilliseconds)
    request.on('close', () => {
      clearInterval(this.timer)
      if (!this.isOver) this.finish()
    })
    request.on('data', (chunk: Buffer) => this.append(chunk))
    request.on('end', () => {
      if (this.isOver) return
      this.isOver = true
      clearInterval(this.timer)
      onRead(this.body.length === 0 ? null : this.body.bytes, this.holder)
    })
  }

  private append (chunk: Buffer): void {
    if (this.isOver) return
    if (this.body.length + chunk.length > this.maximumBytes) return this.refuseAsTooLong()
    this.holder.recordProgress(chunk.length)
    this.body.append(chunk)
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
    this.holder.release()
    this.body.clear()
  }
}
