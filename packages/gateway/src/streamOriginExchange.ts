/**
 * Shares with other VMs which software version each stream began at, so that it
 * can go on at any VM after the one that began it was killed. A VM tells a few
 * others of its region of each stream, and its speakers tell those of two other
 * regions. A VM that lacks a stream asks all VMs that it is linked to, which
 * ask others in turn.
 */

import { rendezvousScore } from '@cuminvale/common'
import { StreamOrigins, streamKeyBytes } from '@cuminvale/serving'
import { packMessage } from './linkMessages.js'
import { maximumQuestionedStreams, originGatherMilliseconds, originLookupMilliseconds, originRelayMilliseconds } from './constants.js'
import type { Clock, IncarnationId, VmId } from '@cuminvale/common'
import type { PeerIdentity, ServiceName, SoftwareVersion, StreamKey, StreamOrigin } from '@cuminvale/serving'
import type { EvidencePeer } from './evidenceExchange.js'
import type { PackedOrigins, StreamOriginsMessage, StreamQuestionMessage } from './linkMessages.js'

export interface OriginPeer extends EvidencePeer {
  readonly incarnation: IncarnationId
}

export interface OriginLinks {
  readonly usesHubs: boolean
  readonly isSpeaker: boolean
  /** The speakers of this region. */
  readonly speakers: ReadonlySet<VmId>
  /** Linked VMs of this region: all of a small one; hubs in a large one. */
  readonly near: readonly OriginPeer[]
  /** Linked VMs of other regions. */
  readonly far: readonly OriginPeer[]
}

export interface StreamOriginExchangeOptions {
  readonly clock: Clock
  readonly self: PeerIdentity
  readonly links: () => OriginLinks
  /** Called with each version that another VM tells of; true if this VM didn't know it. */
  readonly onVersionReported?: (version: StreamOrigin) => boolean
}

/** VMs of its region, by rank, that a VM tells of its streams beside the speakers. */
const nearKeeperCount = 1
/** Other regions whose speakers keep the streams of a region. */
const keeperRegionCount = 2
/** How often a question may be passed on: to a speaker, to another region, to a hub there. */
const maximumQuestionHops = 3

type OriginSender = Pick<EvidencePeer, 'vm' | 'region'>
type ToldStream = readonly [StreamKey, StreamOrigin]

/** Streams of this VM of which others were told. */
export interface ToldStreams {
  readonly hasTold: boolean
  readonly told: readonly ToldStream[]
}

type OriginListener = (origin: StreamOrigin | undefined) => void

/** Time after which a question that is not answered is asked again, if another request needs it. */
const questionRepeatMilliseconds = 50

interface Question {
  askedAt: number
  readonly listeners: Set<OriginListener>
}

/** Streams of which some VMs are told together. */
class GatheredStreams {
  private streams: ToldStream[] = []

  constructor (private readonly gatherMilliseconds: number, private readonly receivers: () => readonly EvidencePeer[]) {}

  add (key: StreamKey, origin: StreamOrigin): void {
    this.streams.push([key, origin])
    if (this.streams.length > 1) return
    setTimeout(() => {
      const message = packOrigins(this.streams)
      this.streams = []
      for (const { send } of this.receivers()) send(message)
    }, this.gatherMilliseconds).unref()
  }
}

export class StreamOriginExchange {
  readonly origins: StreamOrigins
  /** Streams that began at this VM. */
  private readonly begun = new GatheredStreams(originGatherMilliseconds, () => this.keepers)
  /** Streams that other VMs of its region told of, to be told to other regions. */
  private readonly toRelay = new GatheredStreams(originRelayMilliseconds, () => this.relayTargets)
  /** Starts of the VMs that were told at the last tick; undefined if none was. */
  private toldKeepers: ReadonlySet<IncarnationId> | undefined
  private readonly questions = new Map<StreamKey, Question>()

  constructor (private readonly options: StreamOriginExchangeOptions) {
    this.origins = new StreamOrigins(options.clock)
  }

  /** Records a stream that began at this VM. Returns false if its origin was known. */
  recordBegin (key: StreamKey, origin: StreamOrigin): boolean {
    return this.origins.record(key, origin)
  }

  /** Tells the VMs that keep the streams of this VM of one that it has recorded. */
  tell (key: StreamKey, origin: StreamOrigin): void {
    this.begun.add(key, origin)
  }

  /** Tells VMs that are to keep the streams of this VM only now, as others have ended or they have started, of those that were told before. */
  tellNewKeepers ({ hasTold, told }: ToldStreams): void {
    // Most of the time there is one version, and nothing was told.
    if (!hasTold) {
      this.toldKeepers = undefined
      return
    }
    const { keepers, toldKeepers } = this
    this.toldKeepers = new Set(keepers.map(({ incarnation }) => incarnation))
    const added = toldKeepers === undefined ? [] : keepers.filter(({ incarnation }) => !toldKeepers.has(incarnation))
    if (added.length === 0) return
    const message = packOrigins(told)
    for (const { send } of added) send(message)
  }

  /** Finds the origin of a stream, with the help of other VMs if this VM doesn't know it; undefined if none of them answers in time. */
  async find (key: StreamKey): Promise<StreamOrigin | undefined> {
    const known = this.origins.find(key)
    if (known !== undefined) return known
    return await new Promise((resolve) => this.ask([key], maximumQuestionHops, undefined, () => resolve))
  }

  /** Tells all linked VMs of versions that this VM learnt, before their records hold them; each passes on what it didn't know. */
  announceVersions (versions: readonly StreamOrigin[], sender?: OriginSender): void {
    if (versions.length === 0) return
    const { near, far } = this.options.links()
    const noKeys = Buffer.alloc(0)
    const message = packMessage({ kind: 'stream-origins', origins: versions.map(({ service, softwareVersion }): PackedOrigins => [service, softwareVersion, noKeys]) })
    for (const { vm, send } of [...near, ...far]) {
      if (vm !== sender?.vm) send(message)
    }
  }

  receiveOrigins ({ origins, isAnswer = false }: StreamOriginsMessage, sender: OriginSender | undefined): void {
    const reported = origins.filter(([, , keys]) => keys.length === 0).map(([service, softwareVersion]) => ({ service, softwareVersion }))
    this.announceVersions(reported.filter((version) => this.options.onVersionReported?.(version) === true), sender)
    for (const [service, softwareVersion, keys] of origins) {
      const origin = { service, softwareVersion }
      for (const key of unpackKeys(keys)) {
        const isNew = this.origins.record(key, origin)
        this.settle(key)
        if (isNew && !isAnswer && sender?.region === this.options.self.region) this.toRelay.add(key, origin)
      }
    }
  }

  receiveQuestion ({ keys, hops }: StreamQuestionMessage, sender: OriginSender | undefined, send: EvidencePeer['send']): void {
    const known: ToldStream[] = []
    const unknown: StreamKey[] = []
    for (const key of unpackKeys(keys).slice(0, maximumQuestionedStreams)) {
      const origin = this.origins.find(key)
      if (origin === undefined) unknown.push(key)
      else known.push([key, origin])
    }
    if (known.length > 0) send(packOrigins(known, { isAnswer: true }))
    if (unknown.length === 0 || hops <= 0) return
    this.ask(unknown, hops, sender, (key) => (origin) => {
      if (origin !== undefined) send(packOrigins([[key, origin]], { isAnswer: true }))
    })
  }

  /** The VMs that keep the streams which begin at this VM. */
  private get keepers (): readonly OriginPeer[] {
    const { self, links } = this.options
    const { near, speakers } = links()
    const others = near.filter(({ vm }) => !speakers.has(vm))
    return [...near.filter(({ vm }) => speakers.has(vm)), ...rank(others, self.vm, ({ vm }) => vm).slice(0, nearKeeperCount), ...this.farKeepers]
  }

  /** The VMs that keep what the VMs of this region have told this one. */
  private get relayTargets (): readonly OriginPeer[] {
    const { isSpeaker, usesHubs, near, speakers } = this.options.links()
    if (isSpeaker) return this.farKeepers
    return usesHubs ? near.filter(({ vm }) => speakers.has(vm)) : []
  }

  private get farKeepers (): readonly OriginPeer[] {
    const { isSpeaker, far } = this.options.links()
    if (!isSpeaker) return []
    const regions = [...new Set(far.map(({ region }) => region))]
    const { vm, region } = this.options.self
    const keeperRegions = rank(regions, region, (name) => name).slice(0, keeperRegionCount)
    // The other speaker of this region mostly chooses another one there.
    return keeperRegions.flatMap((name) => rank(far.filter((peer) => peer.region === name), vm, (peer) => peer.vm).slice(0, 1))
  }

  /** Asks other VMs for streams, unless they were asked just now, and calls a listener for each once it is known or the time is over. */
  private ask (keys: readonly StreamKey[], hops: number, sender: OriginSender | undefined, listenerOf: (key: StreamKey) => OriginListener): void {
    const { clock, self, links } = this.options
    const now = clock.monotonic()
    const asked: StreamKey[] = []
    for (const key of keys) {
      const question = this.questions.get(key) ?? { askedAt: -Infinity, listeners: new Set() }
      this.questions.set(key, question)
      const listener = listenerOf(key)
      question.listeners.add(listener)
      setTimeout(() => this.giveUp(key, listener), originLookupMilliseconds).unref()
      if (now - question.askedAt < questionRepeatMilliseconds) continue
      question.askedAt = now
      asked.push(key)
    }
    if (asked.length === 0) return
    const { usesHubs, near, far } = links()
    const isFromHere = sender?.region === self.region
    const message = packMessage({ kind: 'stream-question', keys: packKeys(asked), hops: hops - 1 })
    for (const { vm, region, send } of [...near, ...far]) {
      // A VM has asked those that it is linked to itself: in a small region all others of it, and as a speaker those of other regions.
      const wasAsked = sender !== undefined && (vm === sender.vm || (isFromHere ? !usesHubs && region === self.region : region !== self.region))
      if (!wasAsked) send(message)
    }
  }

  /** Tells those that wait for a stream of its origin, once it was reported. */
  private settle (key: StreamKey): void {
    const question = this.questions.get(key)
    if (question === undefined) return
    this.questions.delete(key)
    const origin = this.origins.find(key)
    question.listeners.forEach((listener) => listener(origin))
  }

  private giveUp (key: StreamKey, listener: OriginListener): void {
    const question = this.questions.get(key)
    if (question?.listeners.delete(listener) !== true) return
    if (question.listeners.size === 0) this.questions.delete(key)
    listener(undefined)
  }
}

const rank = <Item>(items: readonly Item[], by: string, nameOf: (item: Item) => string): readonly Item[] =>
  [...items].sort((first, second) => rendezvousScore(by, nameOf(second)) - rendezvousScore(by, nameOf(first)))

const packKeys = (keys: readonly StreamKey[]): Buffer => {
  const packed = Buffer.allocUnsafe(keys.length * streamKeyBytes)
  keys.forEach((key, index) => packed.writeUIntBE(key, index * streamKeyBytes, streamKeyBytes))
  return packed
}

const unpackKeys = (packed: Buffer): readonly StreamKey[] =>
  Array.from({ length: Math.floor(packed.length / streamKeyBytes) }, (_, index) => packed.readUIntBE(index * streamKeyBytes, streamKeyBytes) as StreamKey)

const packOrigins = (streams: readonly ToldStream[], { isAnswer = false } = {}): Buffer => {
  const groups = new Map<string, { readonly service: ServiceName, readonly softwareVersion: SoftwareVersion, readonly keys: StreamKey[] }>()
  for (const [key, { service, softwareVersion }] of streams) {
    const name = `${service}\n${softwareVersion}`
    const group = groups.get(name) ?? { service, softwareVersion, keys: [] }
    groups.set(name, group)
    group.keys.push(key)
  }
  const origins = [...groups.values()].map(({ service, softwareVersion, keys }): PackedOrigins => [service, softwareVersion, packKeys(keys)])
  return packMessage({ kind: 'stream-origins', origins, ...isAnswer ? { isAnswer } : {} })
}
