/**
 * Exchanges evidence of crashes with other VMs. News go out at once, and a VM
 * that learns something new passes it on, so that it reaches all regions and
 * ends by itself. A VM with which a link is made is sent all of it.
 */

import { countReferences, referencesOf } from '@cuminvale/serving'
import { packMessage } from './linkMessages.js'
import { compress } from './recordFeed.js'
import type { Clock, Random, RegionId, VmId } from '@cuminvale/common'
import type { CrashEvidence, CrashObservation, EvidenceNews } from '@cuminvale/serving'
import type { CrashEvidenceMessage, PackedObservation } from './linkMessages.js'

/** Another VM that a message can be sent to. */
export interface EvidencePeer {
  readonly vm: VmId
  readonly region: RegionId
  readonly send: (message: Buffer) => void
}

export interface EvidenceExchangeOptions {
  readonly clock: Clock
  readonly random: Random
  readonly evidence: CrashEvidence
  readonly region: RegionId
  /** Whether the VMs of the region are linked by hubs instead of to each other. */
  readonly usesHubs: () => boolean
  readonly peers: () => readonly EvidencePeer[]
}

const observationsPerMessage = 16
const completionsPerMessage = 500
/** An observation that has more is a message of its own. */
const referencesPerMessage = 16_384
/** Time for which news are repeated to a few VMs, since a message may be lost with its link. */
const repeatMilliseconds = 3_000
const repeatFanout = 2

export class EvidenceExchange {
  private recent: CrashObservation[] = []

  constructor (private readonly options: EvidenceExchangeOptions) {}

  /** Tells all linked VMs what this VM has learned itself. */
  sendNews (): void {
    if (this.options.evidence.hasNews) this.tell(this.takeNews())
  }

  /** Records the evidence of another VM, and passes on what is new. */
  receive ({ observations, completions }: CrashEvidenceMessage, sender: Pick<EvidencePeer, 'vm' | 'region'>): void {
    const { clock, evidence, region, usesHubs } = this.options
    const now = clock.monotonic()
    const timeOf = (ageMilliseconds: number): number => now - Math.max(0, ageMilliseconds)
    for (const [service, part, age] of completions) evidence.recordReportedCompletion({ service, part, at: timeOf(age) })
    for (const [id, upstream, service, age, requests] of observations) {
      evidence.recordCrash({ id, upstream, service, at: timeOf(age), requests: requests.map(([digest, parts]) => ({ digest, parts })) })
    }
    const { observations: newObservations, completions: newCompletions } = this.takeNews()
    // Without hubs, the sender has told all VMs of its region. Completions may be news of this VM.
    this.tell({ observations: newObservations, completions: [] }, (peer) => peer.vm !== sender.vm && (usesHubs() || peer.region !== sender.region || peer.region !== region))
    this.tell({ observations: [], completions: newCompletions })
  }

  /** Sends all evidence to a VM with which a link was made. */
  sendAll (send: (message: Buffer) => void): void {
    if (!this.options.evidence.isEmpty) this.pack(this.options.evidence.all).forEach(send)
  }

  /** Drops what no longer counts, and repeats recent news to a few VMs. Called every second. */
  tick (): void {
    const { clock, evidence, random, peers } = this.options
    evidence.removeExpired()
    if (this.recent.length === 0) return
    const oldest = clock.monotonic() - repeatMilliseconds
    this.recent = this.recent.filter(({ at }) => at > oldest)
    const candidates = [...peers()]
    const messages = this.pack({ observations: this.recent, completions: [] })
    for (let count = 0; count < repeatFanout && candidates.length > 0; count += 1) {
      for (const { send } of candidates.splice(Math.floor(random.next() * candidates.length), 1)) messages.forEach(send)
    }
  }

  private takeNews (): EvidenceNews {
    const news = this.options.evidence.takeNews()
    this.recent.push(...news.observations)
    return news
  }

  private tell (news: EvidenceNews, isReceiver: (peer: EvidencePeer) => boolean = () => true): void {
    if (news.observations.length + news.completions.length === 0) return
    const messages = this.pack(news)
    for (const peer of this.options.peers()) {
      if (isReceiver(peer)) messages.forEach(peer.send)
    }
  }

  /** Completions come first, so that no part is blamed at another VM before it is cleared. */
  private pack ({ observations, completions }: EvidenceNews): readonly Buffer[] {
    const now = this.options.clock.monotonic()
    return [
      ...chunk(completions, completionsPerMessage, ({ part }) => referencesOf(part)).map((some) => packMessage({ kind: 'crash-evidence', observations: [], completions: some.map(({ service, part, at }) => [service, part, Math.round(now - at)] as const) })),
      // The requests of a crash mostly share the first parts of their prompts.
      ...chunk(observations, observationsPerMessage, ({ requests }) => countReferences(requests)).map((some) => compress(packMessage({ kind: 'crash-evidence', observations: some.map((observation) => packObservation(observation, now)), completions: [] })))
    ]
  }
}

const packObservation = ({ id, upstream, service, at, requests }: CrashObservation, now: number): PackedObservation =>
  [id, upstream, service, Math.round(now - at), requests.map(({ digest, parts }) => [digest, parts] as const)]

/** In their order, each chunk with at most `maximumCount` items and the references of a message, or with one item. */
const chunk = <Item>(items: readonly Item[], maximumCount: number, countOf: (item: Item) => number): ReadonlyArray<readonly Item[]> => {
  const chunks: Item[][] = []
  let references = 0
  for (const item of items) {
    const added = countOf(item)
    const last = chunks.at(-1)
    if (last === undefined || last.length >= maximumCount || references + added > referencesPerMessage) {
      chunks.push([item])
      references = added
    } else {
      last.push(item)
      references += added
    }
  }
  return chunks
}
