/**
 * Shares with the other VMs of the region what upstreams name as the limit that
 * they take from all VMs together. In a region whose VMs are linked to each
 * other, each one also tells the others how often it has sent to such an
 * upstream. Totals are told, so that a lost message loses nothing for long.
 */

import { packMessage } from './linkMessages.js'
import type { Clock, IncarnationId, UpstreamId, VmId } from '@cuminvale/common'
import type { Log } from '@cuminvale/logs'
import type { NamedLimit, SharedSendLimit, UpstreamState } from '@cuminvale/serving'
import type { PackedLimit, UpstreamLimitsMessage } from './linkMessages.js'

export interface LimitExchangeOptions {
  readonly clock: Clock
  readonly log: Log
  readonly vm: VmId
  readonly incarnation: IncarnationId
  readonly findUpstream: (id: UpstreamId) => UpstreamState | undefined
  readonly upstreams: () => Iterable<UpstreamState>
  /** Whether VMs of the region are linked by hubs, which pass on no totals. */
  readonly usesHubs: () => boolean
}

/** Time for which sends are gathered before the others are told. */
const gatherMilliseconds = 50

export class LimitExchange {
  /** Sends a message to the VMs of the region that this VM is linked to. */
  sendToRegion: (message: Buffer) => void = () => { /* no links yet */ }
  private readonly untold = new Set<UpstreamState>()
  private isTimerSet = false
  /** Sends of each incarnation of another VM as last told. */
  private readonly toldSends = new WeakMap<SharedSendLimit, Map<IncarnationId, number>>()

  constructor (private readonly options: LimitExchangeOptions) {}

  /** Number of upstreams that name a limit. */
  get limitedCount (): number {
    return [...this.options.upstreams()].filter(({ sendLimit }) => sendLimit.isLimited).length
  }

  /** Records the limit that an answer named; null if it named none. */
  recordAnswer (upstream: UpstreamState, perSecond: number | null): void {
    this.name(upstream, perSecond ?? undefined, this.options.clock.monotonic(), () => this.tell(upstream))
  }

  /** Records a send to an upstream that names a limit. */
  recordSend (upstream: UpstreamState): void {
    if (!this.options.usesHubs()) this.tell(upstream)
  }

  receive ({ incarnation, limits }: UpstreamLimitsMessage): void {
    const now = this.options.clock.monotonic()
    for (const [id, startedAt, perSecond, age, sent] of limits) {
      const upstream = this.options.findUpstream(id)
      // What an earlier start of the upstream said no longer holds.
      if (upstream === undefined || upstream.announced.startedAt !== (startedAt ?? undefined)) continue
      this.name(upstream, perSecond ?? undefined, now - Math.max(0, age), () => {
        // Without hubs, the VM that was answered tells all others itself.
        if (this.options.usesHubs()) this.tell(upstream)
      })
      this.recordToldSends(upstream.sendLimit, incarnation, sent)
    }
  }

  /** Tells a VM with which a link was made of all limits. */
  sendAll (send: (message: Buffer) => void): void {
    const limited = [...this.options.upstreams()].filter(({ sendLimit }) => sendLimit.isLimited)
    if (limited.length > 0) send(this.pack(limited))
  }

  private name (upstream: UpstreamState, perSecond: NamedLimit, at: number, onChanged: () => void): void {
    const { announced: { id, service }, sendLimit } = upstream
    const wasLimited = sendLimit.isLimited
    if (!sendLimit.name(perSecond, at)) return
    if (wasLimited !== sendLimit.isLimited) this.options.log.info('upstream-limit', { upstream: id, service, perSecond: perSecond ?? 'unlimited' })
    onChanged()
  }

  private recordToldSends (sendLimit: SharedSendLimit, incarnation: IncarnationId, sent: number): void {
    const told = this.toldSends.get(sendLimit) ?? new Map<IncarnationId, number>()
    this.toldSends.set(sendLimit, told)
    const last = told.get(incarnation)
    told.set(incarnation, sent)
    if (last !== undefined && sent > last) sendLimit.recordOtherSends(sent - last)
  }

  private tell (upstream: UpstreamState): void {
    this.untold.add(upstream)
    if (this.isTimerSet) return
    this.isTimerSet = true
    setTimeout(() => {
      this.isTimerSet = false
      const upstreams = [...this.untold]
      this.untold.clear()
      this.sendToRegion(this.pack(upstreams))
    }, gatherMilliseconds).unref()
  }

  private pack (upstreams: readonly UpstreamState[]): Buffer {
    const { clock, vm, incarnation } = this.options
    const now = clock.monotonic()
    const limits = upstreams.map(({ announced: { id, startedAt }, sendLimit }): PackedLimit => [id, startedAt, sendLimit.perSecond ?? null, Math.round(now - sendLimit.namedAt), sendLimit.sent])
    return packMessage({ kind: 'upstream-limits', vm, incarnation, limits })
  }
}
