/**
 * A simulated network between the peer protocols of VMs that injects delay,
 * loss, reordering, partitions, pauses, crashes and restarts. Messages pass
 * through the real codec.
 */

import { decodePeerMessage, encodePeerMessage, mechanismOf } from '@cuminvale/messages'
import type { Random, VmId } from '@cuminvale/common'
import type { Mechanism, OutboundMessage, PeerIdentity, PeerMessage, PeerProtocol } from '@cuminvale/messages'
import type { VirtualClock } from './virtualClock.js'

export interface FakeVm {
  readonly identity: PeerIdentity
  readonly protocols: ReadonlyMap<Mechanism, PeerProtocol<never>>
}

export interface FakeLinkOptions {
  readonly clock: VirtualClock
  readonly random: Random
  readonly localDelayMilliseconds: number
  readonly interRegionDelayMilliseconds: number
}

export interface LinkCounters {
  messages: number
  bytes: number
  lost: number
}

interface AttachedVm {
  readonly vm: FakeVm
  isPaused: boolean
  /** Work that fell due during a pause; it runs on resume. */
  readonly held: Array<() => void>
}

/** Maximum random addition to a delay, relative to that delay. */
const jitterShare = 0.5

export class FakeLink {
  readonly counters: LinkCounters = { messages: 0, bytes: 0, lost: 0 }
  /** Share of messages lost, 0 to 1. */
  lossShare = 0
  /** Maximum extra random delay of each message, which reorders messages. */
  reorderMilliseconds = 0
  private readonly attached = new Map<VmId, AttachedVm>()
  private readonly cutPairs = new Set<string>()

  constructor (private readonly options: FakeLinkOptions) {}

  /** Attaches a VM in place of its earlier incarnation, if any, and schedules the ticks of its protocols. */
  attach (vm: FakeVm): void {
    const attached: AttachedVm = { vm, isPaused: false, held: [] }
    this.attached.set(vm.identity.vm, attached)
    for (const protocol of vm.protocols.values()) this.scheduleTick(attached, protocol)
  }

  /** Crashes a VM: its protocols stop ticking and receiving. */
  detach (name: VmId): void {
    this.attached.delete(name)
  }

  isAttached (name: VmId): boolean {
    return this.attached.has(name)
  }

  pause (name: VmId): void {
    const attached = this.attached.get(name)
    if (attached !== undefined) attached.isPaused = true
  }

  /** Resumes a paused VM and runs the work that fell due during the pause. */
  resume (name: VmId): void {
    const attached = this.attached.get(name)
    if (attached === undefined) return
    attached.isPaused = false
    for (const run of attached.held.splice(0)) run()
  }

  isPaused (name: VmId): boolean {
    return this.attached.get(name)?.isPaused === true
  }

  /** Cuts the link between two VMs in both directions. */
  cut (first: VmId, second: VmId): void {
    this.cutPairs.add(pairName(first, second))
  }

  heal (): void {
    this.cutPairs.clear()
  }

  isCut (first: VmId, second: VmId): boolean {
    return this.cutPairs.has(pairName(first, second))
  }

  /** Cuts every link between the named VMs and all other attached VMs. */
  isolate (names: readonly VmId[]): void {
    for (const other of this.attached.keys()) {
      if (!names.includes(other)) names.forEach((name) => this.cut(name, other))
    }
  }

  send (from: FakeVm, outbound: readonly OutboundMessage[]): void {
    for (const { to, message } of outbound) this.sendMessage(from, to, message)
  }

  /** Runs work on behalf of a VM: at once, or on resume if the VM is paused. Drops the work if the VM is detached. */
  runOn (name: VmId, work: () => void): void {
    const attached = this.attached.get(name)
    if (attached !== undefined) this.runWhenAwake(attached, work)
  }

  private sendMessage (from: FakeVm, to: VmId, message: PeerMessage): void {
    const bytes = encodePeerMessage(message)
    this.counters.messages += 1
    this.counters.bytes += bytes.length
    if (this.options.random.next() < this.lossShare) {
      this.counters.lost += 1
      return
    }
    const target = this.attached.get(to)
    if (target === undefined) return
    this.options.clock.schedule(this.delay(from, target.vm), () => this.deliver(from, to, bytes))
  }

  private deliver (from: FakeVm, to: VmId, bytes: Uint8Array): void {
    const target = this.attached.get(to)
    if (target === undefined || this.isCut(from.identity.vm, to)) return
    this.runWhenAwake(target, () => {
      const decoded = decodePeerMessage(bytes)
      if (decoded.isErr) throw decoded.error
      const protocol = target.vm.protocols.get(mechanismOf(decoded.value))
      if (protocol !== undefined) this.send(target.vm, protocol.receive(from.identity, decoded.value as never))
    })
  }

  private scheduleTick (attached: AttachedVm, protocol: PeerProtocol<never>): void {
    this.options.clock.schedule(protocol.tickMilliseconds, () => {
      this.runWhenAwake(attached, () => {
        if (this.attached.get(attached.vm.identity.vm) !== attached) return
        this.send(attached.vm, protocol.tick())
        this.scheduleTick(attached, protocol)
      })
    })
  }

  private runWhenAwake (attached: AttachedVm, run: () => void): void {
    if (attached.isPaused) attached.held.push(run)
    else run()
  }

  private delay (from: FakeVm, to: FakeVm): number {
    const { localDelayMilliseconds, interRegionDelayMilliseconds, random } = this.options
    const isLocal = from.identity.region === to.identity.region
    const baseDelayMilliseconds = isLocal ? localDelayMilliseconds : interRegionDelayMilliseconds
    return baseDelayMilliseconds * (1 + jitterShare * random.next()) + this.reorderMilliseconds * random.next()
  }
}

const pairName = (first: VmId, second: VmId): string =>
  first < second ? `${first} ${second}` : `${second} ${first}`
