/**
 * Starts the attempts of one request execution: chooses the target and the
 * connection, counts the work as running and sends the request.
 */

import { RefusalReason, refuse } from '@cuminvale/common'
import { PlacementKind, RefusalCause, RequestKind } from '@cuminvale/serving'
import { ForwardAttemptListener, LocalAttemptListener } from './attemptListeners.js'
import { startLocalAttempt } from './attempts.js'
import { ForwardCall } from './forwardCall.js'
import { UpstreamCall } from './upstreamCall.js'
import { leavingRetryMilliseconds } from './constants.js'
import type { Refusal, RegionId, UpstreamId, VmId } from '@cuminvale/common'
import type { AdmittedRequest, Placement, SoftwareVersion } from '@cuminvale/serving'
import type { AttemptHandler } from './attemptListeners.js'
import type { Attempt, ForwardAttempt, LocalAttempt } from './attempts.js'
import type { GatewayState } from './gatewayState.js'

/** Multiple of the predicted time from which on a forward that was late already tells that the other region is slower than it reports. */
const lateForwardFactor = 2

type RefusedPlacement = Extract<Placement, { kind: 'refuse' }>
type TargetPlacement = Exclude<Placement, RefusedPlacement>

const stopPlacement: RefusedPlacement = {
  kind: PlacementKind.Refuse, reason: 'the VM stops before the answer would end', retryAfterMilliseconds: leavingRetryMilliseconds, isPaused: false, cause: RefusalCause.Stop
}

export interface AttemptStarterOptions {
  readonly state: GatewayState
  readonly request: AdmittedRequest
  readonly body: Buffer | null
  /** Monotonic time of the deadline, at which the request fails. */
  readonly deadlineAt: number
  /** Monotonic time until which the first answer meets the route's objective. */
  readonly firstAnswerDueAt: number
  readonly mayForward: boolean
  /** Monotonic time by which the answers before it on its connection have ended; undefined if there are none. */
  readonly precedingEndsAt?: number | undefined
  readonly handler: AttemptHandler
  /** Called with each attempt before it is sent, since its call may fail at once. */
  readonly onStarted: (attempt: Attempt) => void
}

export interface ExcludedTargets {
  readonly upstreams: ReadonlySet<UpstreamId>
  readonly vms: ReadonlySet<VmId>
  readonly regions: ReadonlySet<RegionId>
}

/** How a stream goes on. */
export interface Continuation {
  /** Id of the event after which it is resumed; undefined for a stream that begins. */
  readonly resumeAfter: string | undefined
  /** Software version that it must go on at; undefined if any will do. */
  readonly softwareVersion: SoftwareVersion | undefined
}

export interface ForwardStart extends Continuation {
  readonly placement: Extract<Placement, { kind: 'forward' }>
  /** Number of upstream attempts that the other VM may make. */
  readonly grantedAttempts: number
  /** VMs that it must not go to. */
  readonly excludedVms: ReadonlySet<VmId>
}

export class AttemptStarter {
  constructor (private readonly options: AttemptStarterOptions) {}

  /** Whether two upstreams may work on the request for long: not on a stream, nor at engines, which would both read the prompt. */
  get mayOverlap (): boolean {
    const { state, request: { route, service } } = this.options
    return route.kind === RequestKind.Safe && state.configuration?.service(service)?.isEngine !== true
  }

  chooseTarget ({ upstreams, regions }: ExcludedTargets, softwareVersion: SoftwareVersion | undefined): Placement {
    const { state, request, deadlineAt, firstAnswerDueAt, mayForward } = this.options
    const now = state.clock.monotonic()
    const placement = state.placement.choose({
      request,
      remainingMilliseconds: deadlineAt - now,
      objectiveRemainingMilliseconds: firstAnswerDueAt - now,
      mayForward,
      excludedUpstreams: upstreams,
      excludedRegions: regions,
      softwareVersion
    })
    return placement.kind === PlacementKind.Refuse || this.endsInTime(placement, now) ? placement : stopPlacement
  }

  /** The refusal of a request without a target, of which one may have been refused elsewhere before. */
  refusalOf ({ reason, retryAfterMilliseconds, isPaused, cause }: RefusedPlacement, lastRefusal: Refusal | undefined): Refusal {
    const { state, request, mayForward } = this.options
    if (cause === RefusalCause.Stop) return refuse(RefusalReason.Draining, reason, { retryAfterMilliseconds })
    return lastRefusal !== undefined && !isPaused ? lastRefusal : refuse(state.refusalReason(request.service, { isForwarded: !mayForward }), reason, { retryAfterMilliseconds })
  }

  /** Whether this VM is still there when the answer of a placed request ends. */
  private endsInTime (placement: TargetPlacement, now: number): boolean {
    const { state: { stopPlan, answerDurations }, request: { route }, deadlineAt, precedingEndsAt } = this.options
    if (stopPlan === undefined) return true
    return stopPlan.serves({ now, deadlineAt, boundMilliseconds: answerDurations.boundMilliseconds(route, this.wholeMilliseconds(placement)), precedingEndsAt })
  }

  /** Predicted time from the send to the end of the answer. */
  private wholeMilliseconds (placement: TargetPlacement): number {
    const { state, request: { service, head: { tokens } } } = this.options
    const firstMilliseconds = placement.kind === PlacementKind.Run ? placement.prediction.milliseconds : placement.milliseconds
    // A prediction for a plain service is that of the whole answer.
    if (tokens === undefined || state.configuration?.service(service)?.isEngine !== true) return firstMilliseconds
    if (placement.kind === PlacementKind.Forward) return firstMilliseconds + state.upstreams.performanceOf(service).outputMilliseconds(tokens)
    const { performance } = placement.upstream
    return firstMilliseconds + performance.slotMilliseconds(tokens) - performance.firstEventMilliseconds
  }

  startLocal (placement: Extract<Placement, { kind: 'run' }>, resumeAfter: string | undefined): LocalAttempt {
    const { state, request, body, deadlineAt, handler, onStarted } = this.options
    const { upstream, prediction } = placement
    const { head, route } = request
    const { announced } = upstream
    const now = state.clock.monotonic()
    const listener = new LocalAttemptListener(handler)
    const connection = state.connections.acquire(announced, { isOrder: route.kind !== RequestKind.Safe, isSingleUse: !request.isRepeatable && upstream.naming.needsNewConnections })
    const call = new UpstreamCall(state.connections, connection, listener)
    const attempt = startLocalAttempt({ call, upstream, prediction, wholeMilliseconds: this.wholeMilliseconds(placement), sentAt: now, tokens: resumeAfter === undefined ? head.tokens : undefined })
    listener.attempt = attempt
    call.mayWrite = () => {
      const service = state.configuration?.service(request.service)
      // Its own reservation is counted already.
      if (service !== undefined && !state.starts.allows(service, upstream, 0)) return false
      attempt.send.at = state.clock.monotonic()
      return true
    }
    state.starts.recordSend(upstream)
    state.recordSentParts(upstream, head.parts)
    onStarted(attempt)
    const headers = state.codec.upstreamHeaders({ request, upstream: announced.id, remainingMilliseconds: deadlineAt - now, resumeAfter })
    call.send({ method: head.method, path: head.path, headers, body })
    return attempt
  }

  /** Undefined if no VM of the region can be reached. */
  startForward ({ placement, grantedAttempts, excludedVms, resumeAfter, softwareVersion }: ForwardStart): ForwardAttempt | undefined {
    const { state, request, body, deadlineAt, firstAnswerDueAt, handler, onStarted } = this.options
    const { region, workMilliseconds, milliseconds } = placement
    const peer = state.choosePeer(region, request.service, excludedVms)
    if (peer === undefined) return undefined
    const now = state.clock.monotonic()
    const listener = new ForwardAttemptListener(handler)
    const call = new ForwardCall({ clock: state.clock, pool: state.forwardPools.poolFor(peer.linkAddress), listener, sender: state.settings.vm, roundTripMilliseconds: state.roundTripMillisecondsTo(region), memory: state.callerMemory })
    const attempt: ForwardAttempt = { kind: 'forward', call, region, vm: peer.vm, granted: grantedAttempts, workMilliseconds, wholeMilliseconds: this.wholeMilliseconds(placement), sentAt: now, dueAt: Math.max(firstAnswerDueAt, now + milliseconds * lateForwardFactor), softwareVersion: undefined, isAnswered: false, isRetryDenied: false }
    listener.attempt = attempt
    state.forecasts.forwarded(region, request.service, workMilliseconds)
    state.recordForwardedParts(region, request.head.parts)
    onStarted(attempt)
    call.send({ request, body, remainingMilliseconds: deadlineAt - now, onTimeMilliseconds: firstAnswerDueAt - now, attemptsLeft: grantedAttempts, resumeAfter, softwareVersion })
    return attempt
  }
}
