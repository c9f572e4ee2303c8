/**
 * Writes one log line and updates the metrics for each request that has ended.
 */

import { RefusalReason } from '@cuminvale/common'
import { RefusalCause } from '@cuminvale/serving'
import type { Clock, Refusal } from '@cuminvale/common'
import type { Log } from '@cuminvale/logs'
import type { AdmittedRequest, RequestHead } from '@cuminvale/serving'
import type { RequestExecution } from './requestExecution.js'
import type { GatewayMetrics } from './gatewayMetrics.js'

const roundToTenths = (milliseconds: number): number => Math.round(milliseconds * 10) / 10

export interface RequestOrigin {
  /** Monotonic time. */
  readonly receivedAt: number
  /** Whether it came from another VM, and the name of that VM, unless it is of an earlier version. */
  readonly isForwarded: boolean
  readonly sender?: string | undefined
}

export class RequestLog {
  /** Requests that ended since the stop signal: those received after it, and those that were refused or cut because of it. */
  readonly stopCounts = { received: 0, refused: 0, cut: 0 }

  constructor (private readonly clock: Clock, private readonly log: Log, private readonly metrics: GatewayMetrics, private readonly stopSignalledAt: () => number | undefined = () => undefined) {}

  ended (execution: RequestExecution, { receivedAt, isForwarded, sender }: RequestOrigin): void {
    const { request } = execution
    const stopSignalledAt = this.stopSignalledAt()
    const now = this.clock.monotonic()
    const firstAnswerMilliseconds = execution.firstAnswerAt === undefined ? undefined : roundToTenths(execution.firstAnswerAt - receivedAt)
    const cause = execution.outcome === 'refused' ? execution.refusalCause : undefined
    this.log.info('request', {
      id: request.attempt,
      route: request.route.name,
      team: request.team?.id,
      version: request.configurationVersion,
      outcome: execution.outcome,
      status: execution.status === 0 ? undefined : execution.status,
      target: execution.target,
      software: execution.softwareVersion,
      resumes: request.head.resumes,
      sends: execution.sends,
      silences: execution.silences === 0 ? undefined : execution.silences,
      expected: execution.predictedMilliseconds,
      unread: execution.unreadTokens,
      retryAfter: execution.retryAfterMilliseconds,
      rank: cause === undefined ? undefined : request.priority,
      cause,
      framing: execution.framing,
      partialEvent: execution.partialEventBytes === 0 ? undefined : execution.partialEventBytes,
      first: firstAnswerMilliseconds,
      total: roundToTenths(now - receivedAt),
      forwarded: isForwarded || undefined,
      sender,
      peer: execution.brokenForwardPeer,
      sinceStop: stopSignalledAt === undefined ? undefined : Math.round(receivedAt - stopSignalledAt),
      detail: execution.detail === '' ? undefined : execution.detail
    })
    if (execution.framing !== undefined) this.metrics.answerEnds.inc({ framing: execution.framing, end: execution.partialEventBytes === 0 ? 'whole' : 'inside-event' })
    if (cause !== undefined && cause !== RefusalCause.Stop) this.metrics.admissionRefusals.inc({ rank: request.priority, reason: cause })
    if (stopSignalledAt !== undefined) this.countAtStop(execution, receivedAt > stopSignalledAt)
    if (isForwarded) return
    this.metrics.requests.inc({ kind: request.route.kind, outcome: execution.outcome })
    if (execution.sends > 1) this.metrics.retries.inc(execution.sends - 1)
    if (firstAnswerMilliseconds !== undefined) this.metrics.firstAnswerSeconds.observe({ kind: request.route.kind }, firstAnswerMilliseconds / 1_000)
  }

  private countAtStop ({ endReason, outcome, request: { route: { kind } } }: RequestExecution, isReceivedSince: boolean): void {
    if (isReceivedSince) this.stopCounts.received += 1
    if (endReason !== RefusalReason.Draining) return
    if (outcome === 'refused') {
      this.stopCounts.refused += 1
      this.metrics.stopRefusals.inc({ kind })
    } else {
      this.stopCounts.cut += 1
      this.metrics.stopCuts.inc({ kind })
    }
  }

  /** Logs a request whose caller left while it waited to be placed. */
  leftBeforePlacement ({ attempt, route, team, configurationVersion }: AdmittedRequest, receivedAt: number): void {
    this.log.info('request', {
      id: attempt, route: route.name, team: team?.id, version: configurationVersion, outcome: 'caller-left', sends: 0, total: roundToTenths(this.clock.monotonic() - receivedAt), detail: 'before it was placed'
    })
    this.metrics.requests.inc({ kind: route.kind, outcome: 'caller-left' })
    this.metrics.leftBeforePlacement.inc()
  }

  /** Logs a request that was refused before a target was chosen for it. */
  refused (head: RequestHead, refusal: Refusal, version: number | undefined): void {
    this.log.info('refused', { id: head.attempt, version, reason: refusal.reason, detail: refusal.detail, retryAfter: refusal.retryAfterMilliseconds })
    this.metrics.refusals.inc({ reason: refusal.reason })
  }
}
