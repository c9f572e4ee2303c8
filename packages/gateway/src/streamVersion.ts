/**
 * The software version that a stream goes on at: that of the upstream which
 * made the first event that its caller got. Until then, any version will do. If
 * that upstream may have started anew since its announcement, the version is
 * unknown, and the stream can't go on at another one.
 */

import { streamKeyOf, streamLifetimeMilliseconds } from '@cuminvale/serving'
import type { AdmittedRequest, SoftwareVersion, StreamKey } from '@cuminvale/serving'
import type { AnswerRelay } from './answerRelay.js'
import type { Attempt } from './attempts.js'
import type { GatewayState } from './gatewayState.js'

export interface StreamVersionOptions {
  readonly state: GatewayState
  readonly request: AdmittedRequest
  readonly relay: AnswerRelay
  /** Whether a caller of this VM sent the request, rather than another VM. */
  readonly isOfCaller: boolean
  /** The version, if the caller or another VM has events of the stream. */
  readonly softwareVersion: SoftwareVersion | undefined
}

export class StreamVersion {
  private hasData = false
  private fixed: { readonly softwareVersion: SoftwareVersion | undefined } | undefined

  constructor (private readonly options: StreamVersionOptions) {
    const { softwareVersion } = options
    if (softwareVersion !== undefined) this.fixed = { softwareVersion }
  }

  /** The version that the next attempt must go on at; undefined if any will do, or if none is known to. */
  get required (): SoftwareVersion | undefined {
    return this.fixed?.softwareVersion
  }

  /** Whether the stream has begun at a version that isn't known. */
  get isUnknown (): boolean {
    return this.fixed !== undefined && this.fixed.softwareVersion === undefined
  }

  /** Version of the upstream that answers an attempt; undefined if it isn't known for certain. */
  of (attempt: Attempt): SoftwareVersion | undefined {
    return attempt.kind === 'forward' ? attempt.softwareVersion : this.options.state.softwareVersionOf(attempt.upstream)
  }

  /** Called when the head of an attempt's answer was passed on. A VM that forwarded the request is told the version with the head, so that it is fixed from there. */
  headPassedOn (attempt: Attempt): void {
    const { isOfCaller, relay } = this.options
    if (!isOfCaller && relay.hasStreamHead) this.fixed ??= { softwareVersion: this.of(attempt) }
  }

  /** Called when data of an attempt's answer was passed on. */
  dataPassedOn (attempt: Attempt): void {
    if (this.hasData || !this.options.relay.hasStreamEvents) return
    this.hasData = true
    this.fixed ??= { softwareVersion: this.of(attempt) }
    const { state, request: { service, route, head: { host, path } } } = this.options
    const { fixed: { softwareVersion }, key } = this
    if (softwareVersion === undefined || key === undefined) return
    state.versions.recordBegin(key, { origin: { service, softwareVersion }, routed: { host, path, service }, lifetimeMilliseconds: streamLifetimeMilliseconds(route) })
  }

  /** Called when the answer was passed on to its end. */
  wholePassedOn (): void {
    if (this.hasData && this.key !== undefined) this.options.state.versions.recordWhole(this.key)
  }

  /**
   * By what the caller would name the stream: the attempt that began it. Undefined
   * for a forwarded request, as the VM that took it from its caller tells of it,
   * and for a stream that is taken up without a name.
   */
  private get key (): StreamKey | undefined {
    const { request: { team, head: { resumes }, attempt }, isOfCaller, softwareVersion } = this.options
    if (!isOfCaller || (softwareVersion !== undefined && resumes === undefined)) return undefined
    return streamKeyOf(team?.id, softwareVersion === undefined ? attempt : resumes ?? attempt)
  }
}
