/**
 * Requests and answers between simulated VMs, over the same faulty network as
 * their messages. Either may be lost, delayed or cut off, or may reach a VM
 * that was restarted or paused after the request was sent.
 */

import type { Random, VmId } from '@cuminvale/common'
import type { FakeLink } from './fakeLink.js'
import type { VirtualClock } from './virtualClock.js'

export interface FakeCall<Answer> {
  readonly from: VmId
  readonly to: VmId
  /** Runs at the receiver. */
  readonly serve: () => Promise<Answer>
  /** Whether the incarnation that sent the request is still running. */
  readonly isSenderAlive: () => boolean
  readonly timeoutMilliseconds: number
}

export interface FakeCallsOptions {
  readonly clock: VirtualClock
  readonly random: Random
  readonly link: FakeLink
  readonly longestDelayMilliseconds: number
}

export class FakeCalls {
  constructor (private readonly options: FakeCallsOptions) {}

  /** Resolves with the answer, or with undefined on failure or time-out. Never settles if the sender's incarnation has ended. */
  async send <Answer> (call: FakeCall<Answer>): Promise<Answer | undefined> {
    return await new Promise((resolve) => {
      const settle = (answer: Answer | undefined): void => {
        if (call.isSenderAlive()) this.options.link.runOn(call.from, () => resolve(answer))
      }
      this.options.clock.schedule(call.timeoutMilliseconds, () => settle(undefined))
      this.transmit(call, call.to, () => {
        call.serve().then((answer) => this.transmit(call, call.from, () => settle(answer)), () => settle(undefined))
      })
    })
  }

  private transmit ({ from, to }: Pick<FakeCall<unknown>, 'from' | 'to'>, target: VmId, deliver: () => void): void {
    const { clock, random, link, longestDelayMilliseconds } = this.options
    if (random.next() < link.lossShare) return
    clock.schedule(random.next() * longestDelayMilliseconds, () => {
      if (!link.isCut(from, to)) link.runOn(target, deliver)
    })
  }
}
