/**
 * The requests under way at a VM. They are checked for deadlines and silent
 * targets at an interval; the timer runs only while there are any, since each
 * wake-up of an idle VM costs processor time.
 */

import { RefusalReason, refuse } from '@cuminvale/common'
import { checkIntervalMilliseconds, stallMilliseconds } from './constants.js'
import { describeError } from './errors.js'
import type { Clock, Refusal } from '@cuminvale/common'
import type { Log } from '@cuminvale/logs'
import type { HeldBytes } from './heldBytes.js'
import type { RequestExecution } from './requestExecution.js'

export class Executions {
  private readonly running = new Set<RequestExecution>()
  private timer: NodeJS.Timeout | undefined
  private checkedAt = 0
  /** Whether the last check was left out. */
  private wasLeftOut = false
  private hasEnded = false

  constructor (private readonly clock: Clock, private readonly log: Log, private readonly held: HeldBytes) {}

  get size (): number {
    return this.running.size
  }

  add (execution: RequestExecution): void {
    this.running.add(execution)
    if (this.timer !== undefined) return
    this.checkedAt = this.clock.monotonic()
    this.timer = setInterval(() => this.check(), checkIntervalMilliseconds)
  }

  delete (execution: RequestExecution): void {
    this.running.delete(execution)
  }

  /** Ends all requests with a failure, or a refusal if they were not sent; no answer under way looks complete to its caller. */
  close (): void {
    this.hasEnded = true
    this.stopTimer()
    const refusal = refuse(RefusalReason.Draining, 'the VM stops')
    for (const execution of this.running) this.abandon(execution, refusal)
  }

  /** Starts a request, or refuses it after all requests were ended. */
  start (execution: RequestExecution): void {
    this.guard(execution, () => {
      if (this.hasEnded) execution.abandon(refuse(RefusalReason.Draining, 'the VM stops'))
      else execution.start()
    })
  }

  /** Runs a step of a request. If it throws, that request is ended, and the others go on. */
  private guard (execution: RequestExecution, step: () => void): void {
    try {
      step()
    } catch (error) {
      this.log.error('request-error', { detail: describeError(error) })
      this.abandon(execution, refuse(RefusalReason.NotReady, 'a fault of the gateway'))
    }
  }

  private abandon (execution: RequestExecution, refusal: Refusal): void {
    try {
      execution.abandon(refusal)
    } catch (error) {
      this.log.error('request-error', { detail: describeError(error) })
    }
    this.running.delete(execution)
  }

  private stopTimer (): void {
    clearInterval(this.timer)
    this.timer = undefined
  }

  private check (): void {
    const now = this.clock.monotonic()
    // Timers run before the sockets are read, so after a stall of this VM all its upstreams look silent once.
    this.wasLeftOut = !this.wasLeftOut && now - this.checkedAt > stallMilliseconds
    this.checkedAt = now
    if (this.wasLeftOut) return
    let heldBytes = 0
    for (const execution of this.running) {
      this.guard(execution, () => execution.check(now))
      heldBytes += execution.heldBytes
    }
    this.held.recount(heldBytes)
    if (this.running.size === 0) this.stopTimer()
  }
}
