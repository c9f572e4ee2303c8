/**
 * Takes over what other VMs know of the software versions of the past, while
 * this VM knows less than it needs to conclude at which version a stream began:
 * after its start, a standstill, or a gap of its records. It asks one linked VM
 * at a time, which answers if it knows more.
 */

import { packMessage } from './linkMessages.js'
import { handOverIntervalMilliseconds } from './constants.js'
import { compress } from './recordFeed.js'
import type { Clock, VmId } from '@cuminvale/common'
import type { Log } from '@cuminvale/logs'
import type { HandedRouting, PeerTable, ServingConfiguration, SoftwareVersionHistory } from '@cuminvale/serving'
import type { EvidencePeer } from './evidenceExchange.js'
import type { PackedRouting, VersionHistoryMessage, VersionHistoryRequestMessage } from './linkMessages.js'

export interface VersionHandOversOptions {
  readonly clock: Clock
  readonly log: Log
  readonly history: SoftwareVersionHistory
  readonly peers: Pick<PeerTable, 'neverHeard' | 'heardAge' | 'recordHeardElsewhere'>
  readonly configuration: () => ServingConfiguration | undefined
  /** Position up to which the records are known. */
  readonly position: () => number
  /** VMs of any region to which a message can be sent. */
  readonly linked: () => readonly EvidencePeer[]
}

/** How much longer a history must be to be handed over; those of VMs that started together differ by less. */
const minimumGainMilliseconds = 1_000

export class VersionHandOvers {
  private requestCount = 0
  private request: { readonly id: number, readonly askedAt: number } | undefined
  private askedAt = -Infinity
  /** VMs that were asked since all of them were. */
  private readonly asked = new Set<VmId>()

  constructor (private readonly options: VersionHandOversOptions) {}

  /** Asks another VM if this one knows too little. Called every tick. */
  tick (): void {
    const { clock, history, peers, configuration, linked } = this.options
    const lifetime = configuration()?.longestStreamMilliseconds ?? 0
    const now = clock.monotonic()
    if (lifetime === 0 || now - this.askedAt < handOverIntervalMilliseconds || history.isComplete(lifetime)) return
    const peer = this.nextOf(linked())
    if (peer === undefined) return
    this.askedAt = now
    this.requestCount += 1
    this.request = { id: this.requestCount, askedAt: now }
    peer.send(packMessage({ kind: 'version-history-request', request: this.requestCount, completeAge: history.completeMilliseconds(lifetime), unheard: peers.neverHeard }))
  }

  answer ({ request, completeAge, unheard }: VersionHistoryRequestMessage, send: EvidencePeer['send']): void {
    const { history, peers, configuration, position } = this.options
    const current = configuration()
    if (current === undefined || history.completeMilliseconds(current.longestStreamMilliseconds) < completeAge + minimumGainMilliseconds) return
    const handed = history.handOver(position(), current.longestStreamMilliseconds)
    if (handed === undefined) return
    const heard = unheard.flatMap((address): Array<readonly [string, number]> => {
      const age = peers.heardAge(address)
      return age === undefined ? [] : [[address, age]]
    })
    send(compress(packMessage({ ...handed, kind: 'version-history', request, configuration: current.version, routings: handed.routings.map(packRouting), heard })))
  }

  receive ({ request, configuration: version, heard, routings, ...handed }: VersionHistoryMessage, sender: Pick<EvidencePeer, 'vm'> | undefined): void {
    const { log, history, peers, configuration } = this.options
    const current = configuration()
    if (this.request?.id !== request) return
    const { askedAt } = this.request
    this.request = undefined
    // Former routings are told by how they differ from the current one.
    if (current?.version !== version) return
    if (!history.adopt({ ...handed, routings: routings.map(unpackRouting) }, { askedAt, lifetimeMilliseconds: current.longestStreamMilliseconds })) return
    for (const [address, age] of heard) peers.recordHeardElsewhere(address, askedAt - age)
    log.info('version-history-adopted', { from: sender?.vm, complete: Math.round(handed.completeAge), versions: handed.versions.length, silences: handed.silences.length, routings: routings.length })
  }

  /** Forgets a question: its answer may have waited while this VM stood still. */
  forgetRequest (): void {
    this.request = undefined
  }

  private nextOf (linked: readonly EvidencePeer[]): EvidencePeer | undefined {
    const next = linked.find(({ vm }) => !this.asked.has(vm))
    if (next === undefined) this.asked.clear()
    const peer = next ?? linked[0]
    if (peer !== undefined) this.asked.add(peer.vm)
    return peer
  }
}

const packRouting = ({ age, routes }: HandedRouting): PackedRouting =>
  [age, routes.map(({ host, pathPrefix, timeoutMilliseconds, targets }) => [host, pathPrefix, timeoutMilliseconds, targets.map(({ service }) => service)])]

const unpackRouting = ([age, routes]: PackedRouting): HandedRouting =>
  ({ age, routes: routes.map(([host, pathPrefix, timeoutMilliseconds, services]) => ({ host, pathPrefix, timeoutMilliseconds, targets: services.map((service) => ({ service })) })) })
