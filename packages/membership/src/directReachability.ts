/**
 * Which VMs this VM can reach directly, from acknowledged pings and the state
 * of its links. Acknowledgements missed during a pause of this process say
 * nothing about the other VMs, so every ping timeout restarts after a pause.
 */

import type { Clock, VmId } from '@cuminvale/common'
import {
  firstSuspicionIntervalMilliseconds, longestSuspicionIntervalMilliseconds, pingIntervalMilliseconds, pingTimeoutMilliseconds
} from './constants.js'

interface PingState {
  /** Sending time of the last acknowledged ping; before the first one, and after a pause, the start of the timeout. */
  acknowledgedSentAt: number
  nextPingAt: number
  sequence: number
  sentAt: number
  nextSuspicionAt: number
  suspicionIntervalMilliseconds: number
}

export class DirectReachability {
  private readonly pingStates = new Map<VmId, PingState>()
  /** VMs whose link went down and has not come up since, and that have acknowledged no ping since. */
  private readonly broken = new Set<VmId>()

  constructor (private readonly clock: Clock) {}

  /** Sets the VMs to ping and to keep links to. A new target has a full ping timeout to acknowledge. */
  setTargets (targets: ReadonlySet<VmId>, linked: ReadonlySet<VmId>): void {
    const now = this.clock.monotonic()
    for (const vm of this.pingStates.keys()) {
      if (!targets.has(vm)) this.pingStates.delete(vm)
    }
    for (const vm of this.broken) {
      if (!linked.has(vm)) this.broken.delete(vm)
    }
    for (const vm of targets) {
      if (!this.pingStates.has(vm)) this.pingStates.set(vm, newPingState(now))
    }
  }

  onLinkUp (vm: VmId): void {
    this.broken.delete(vm)
    const state = this.pingStates.get(vm)
    if (state !== undefined) state.nextPingAt = this.clock.monotonic()
  }

  onLinkDown (vm: VmId): void {
    this.broken.add(vm)
  }

  /** The VMs whose ping is due, with the sequence number to send. Schedules the next pings. */
  takeDuePings (): ReadonlyArray<{ readonly vm: VmId, readonly sequence: number }> {
    const now = this.clock.monotonic()
    const due = [...this.pingStates].filter(([, state]) => state.nextPingAt <= now)
    return due.map(([vm, state]) => {
      state.sequence += 1
      state.sentAt = now
      state.nextPingAt = now + pingIntervalMilliseconds
      return { vm, sequence: state.sequence }
    })
  }

  acknowledge (vm: VmId, sequence: number): void {
    const state = this.pingStates.get(vm)
    if (state === undefined || sequence !== state.sequence) return
    state.acknowledgedSentAt = state.sentAt
    state.suspicionIntervalMilliseconds = firstSuspicionIntervalMilliseconds
    state.nextSuspicionAt = 0
    this.broken.delete(vm)
  }

  /** Whether the link to a VM is down, or a pinged VM has not acknowledged within the ping timeout. */
  isUnreachable (vm: VmId): boolean {
    if (this.broken.has(vm)) return true
    const state = this.pingStates.get(vm)
    return state !== undefined && this.isOverdue(state)
  }

  /** Whether a suspicion of the VM is due. If so, schedules the next one after an interval that doubles each time. */
  takeDueSuspicion (vm: VmId): boolean {
    const state = this.pingStates.get(vm)
    const now = this.clock.monotonic()
    if (state === undefined || !this.isUnreachable(vm) || now < state.nextSuspicionAt) return false
    state.nextSuspicionAt = now + state.suspicionIntervalMilliseconds
    state.suspicionIntervalMilliseconds = Math.min(longestSuspicionIntervalMilliseconds, state.suspicionIntervalMilliseconds * 2)
    return true
  }

  resumeAfterPause (): void {
    const now = this.clock.monotonic()
    for (const state of this.pingStates.values()) Object.assign(state, newPingState(now), { sequence: state.sequence })
  }

  private isOverdue (state: PingState): boolean {
    return this.clock.monotonic() - state.acknowledgedSentAt > pingTimeoutMilliseconds
  }
}

const newPingState = (now: number): PingState => ({
  acknowledgedSentAt: now, nextPingAt: now, sequence: 0, sentAt: now, nextSuspicionAt: 0, suspicionIntervalMilliseconds: firstSuspicionIntervalMilliseconds
})
