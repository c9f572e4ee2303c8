/**
 * An actor that repeats one asynchronous step, such as reading a platform service. The step returns
 * the delay until its next run.
 */

import { dispatch, spawnStateless } from 'nact'
import type { Ref } from 'nact'
import type { Log } from '@cuminvale/logs'

export interface PollMessage {
  readonly type: 'poll'
}

export interface PollingActorOptions {
  readonly name: string
  /** Runs one step; returns the milliseconds until the next one. */
  readonly poll: () => Promise<number>
  /** Delay after a step that threw. */
  readonly retryMilliseconds: number
  readonly log: Log
}

export const spawnPollingActor = (parent: Ref<never>, options: PollingActorOptions): Ref<PollMessage> => {
  const step = async (): Promise<void> => {
    let delayMilliseconds = options.retryMilliseconds
    try {
      delayMilliseconds = await options.poll()
    } catch (error) {
      options.log.error('poll-failed', { poll: options.name, detail: String(error) })
    }
    setTimeout(() => dispatch(actor, { type: 'poll' }), delayMilliseconds).unref()
  }
  const actor = spawnStateless(parent, step, options.name) as Ref<PollMessage>
  dispatch(actor, { type: 'poll' })
  return actor
}
