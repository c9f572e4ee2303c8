/**
 * Logs when the event loop of this VM gets behind its callers' requests, and
 * when it has caught up. Short stalls, as of a garbage collection, are not logged.
 */

import type { Log } from '@cuminvale/logs'

/** Time for which the VM is behind before it is logged: several turns over their budget. */
const minimumOverloadMilliseconds = 100
/** Time without a turn over its budget and without refusals after which the VM has caught up. */
const caughtUpMilliseconds = 1_000

export interface OverloadCounts {
  refused: number
  left: number
  refusedConnections: number
}

export class OverloadLog {
  private since: number | undefined
  private lastAt = 0
  private longestMilliseconds = 0
  private isLogged = false
  private counts: OverloadCounts = { refused: 0, left: 0, refusedConnections: 0 }

  constructor (private readonly log: Log) {}

  count (kind: keyof OverloadCounts): void {
    this.counts[kind] += 1
  }

  /** Records whether the turn that ended now was over its budget. */
  record (now: number, turnMilliseconds: number, isOver: boolean): void {
    const { refused, left, refusedConnections } = this.counts
    if (isOver) {
      this.since ??= now - turnMilliseconds
      this.lastAt = now
      this.longestMilliseconds = Math.max(this.longestMilliseconds, turnMilliseconds)
      if (this.isLogged || now - this.since < minimumOverloadMilliseconds) return
      this.isLogged = true
      this.log.warn('overloaded', { turn: Math.round(turnMilliseconds), refused, left, refusedConnections })
    } else if (this.since !== undefined && now - this.lastAt >= caughtUpMilliseconds) {
      if (this.isLogged) this.log.info('overload-ended', { milliseconds: Math.round(this.lastAt - this.since), longestTurn: Math.round(this.longestMilliseconds), refused, left, refusedConnections })
      this.since = undefined
      this.isLogged = false
      this.longestMilliseconds = 0
      this.counts = { refused: 0, left: 0, refusedConnections: 0 }
    }
  }
}
