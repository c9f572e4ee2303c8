/**
 * Model of a service whose upstreams crash when they begin to answer a request
 * with a certain part of its prompt, for tests of CrashEvidence. Requests that
 * a crash breaks off are sent again at once to other upstreams.
 */

import { ManualClock, SeededRandom, groupBy, toUpstreamId } from '@cuminvale/common'
import { CrashEvidence } from './crashEvidence.js'
import { SuspectKind } from './crashSuspect.js'
import type { EvidenceRequest, PartCompletion, Quarantine } from './crashEvidence.js'
import type { PromptPartId, ServiceName } from './types.js'

export interface CrashModelOptions {
  readonly seed: number
  readonly upstreams: number
  /** Sound requests that run at one upstream on average while all are up. */
  readonly batch: number
  /** Parts of which each prompt has one after the first part; the first ones are asked for most often. */
  readonly sharedParts: number
  readonly crashingPerSecond: number
  /** Requests with the crashing part that arrive at the same time. */
  readonly crashingAtOnce: number
  /** Parts that all prompts share, and parts of each request alone, before and behind the other ones. */
  readonly commonParts?: number
  readonly ownParts?: number
  /** Time before the first request with the crashing part. */
  readonly calmMilliseconds: number
  readonly seconds: number
  /** Time after which a request with an unproven part is sent again; others are sent at once. */
  readonly holdMilliseconds: number
  /** VMs that send the requests; each knows by itself only what it sent. */
  readonly vms: number
  /** Time until news of a VM are known at all others. */
  readonly newsMilliseconds: number
}

export interface CrashModelOutcome {
  readonly crashes: number
  /** Requests with the crashing part that are sent later than five seconds after the fifth crash. */
  readonly lateCrashingSends: number
  /** Share of the sound requests that are served, of those that arrive later than ten seconds after the fifth crash; 1 if there are fewer crashes. */
  readonly lateSoundShare: number
  /** Crashes that began before the part was quarantined for good; undefined if it isn't at the end. */
  readonly crashesUntilQuarantine: number | undefined
  /** Refusals of requests without the crashing part. */
  readonly soundRefusals: number
  /** The same later than ten seconds after the last crash. */
  readonly lateSoundRefusals: number
  readonly soundCompletions: number
}

interface ModelRequest extends EvidenceRequest {
  readonly isCrashing: boolean
  /** Evidence of the VM that sends it. */
  readonly evidence: CrashEvidence
  attemptsLeft: number
  /** What became of it; undefined for a crashing one. */
  readonly record: { isServed: boolean } | undefined
}

interface ModelUpstream {
  readonly name: string
  isUp: boolean
  readonly inFlight: Set<ModelRequest>
}

interface ModelEvent {
  readonly at: number
  readonly run: () => void
}

const service = 'desk' as ServiceName
const names = (count: number, prefix: string): readonly string[] => Array.from({ length: count }, (_, index) => `${prefix}-${index}`)
const crashingPart = 'crashing' as PromptPartId
const firstParts = 3
const soundMilliseconds = 300
/** Longest time from a send until an upstream begins to answer. */
const beginMilliseconds = 60
const observationMilliseconds = 80
const restartMilliseconds = 3_000
const maximumAttempts = 3
const lateMilliseconds = 10_000
/** Number of the crash from which the users' bounds count, and the time in which requests may still be sent. */
const boundCrash = 5
const noticeMilliseconds = 5_000

class CrashModel {
  private readonly clock = new ManualClock()
  private readonly random: SeededRandom
  /** Latest first. */
  private readonly events: ModelEvent[] = []
  private readonly upstreams: readonly ModelUpstream[]
  /** That of each VM. */
  private readonly evidences: readonly CrashEvidence[]
  private quarantiningVms = 0
  private requests = 0
  private readonly crashedAt: number[] = []
  private readonly crashingSentAt: number[] = []
  private readonly sound: Array<{ readonly at: number, isServed: boolean }> = []
  private crashesUntilQuarantine: number | undefined
  private lastCrashAt = 0
  private soundRefusals = 0
  private lateSoundRefusals = 0
  private soundCompletions = 0

  constructor (private readonly options: CrashModelOptions) {
    this.random = new SeededRandom(options.seed)
    this.upstreams = Array.from({ length: options.upstreams }, (_, index) => ({ name: `u${index}`, isUp: true, inFlight: new Set() }))
    const change = (by: number) => ({ kind, id }: Quarantine): void => {
      if (kind !== SuspectKind.Part || id !== crashingPart) return
      this.quarantiningVms += by
      this.crashesUntilQuarantine = this.quarantiningVms === options.vms ? this.crashes : undefined
    }
    this.evidences = Array.from({ length: options.vms }, () => new CrashEvidence({ clock: this.clock, onQuarantined: change(1), onReleased: change(-1) }))
  }

  play (): CrashModelOutcome {
    const { upstreams, batch, crashingPerSecond, crashingAtOnce, calmMilliseconds, seconds } = this.options
    const start = this.clock.now
    const end = start + seconds * 1_000
    this.arriveEvery(soundMilliseconds / (upstreams * batch), start, end, () => this.send(this.soundRequest()))
    this.arriveEvery(1_000 / crashingPerSecond, start + calmMilliseconds, end, () => {
      for (let count = 0; count < crashingAtOnce; count += 1) this.send(this.crashingRequest())
    })
    for (let event = this.takeEvent(); event !== undefined && event.at <= end; event = this.takeEvent()) {
      this.clock.now = event.at
      event.run()
    }
    for (const evidence of this.evidences) evidence.removeExpired()
    const { crashes, crashesUntilQuarantine, soundRefusals, lateSoundRefusals, soundCompletions } = this
    const boundAt = this.crashedAt[boundCrash - 1] ?? Infinity
    // Those that arrive last may still be running.
    const lateSound = this.sound.filter(({ at }) => at > boundAt + lateMilliseconds && at < end - 2 * soundMilliseconds)
    return {
      crashes,
      lateCrashingSends: this.crashingSentAt.filter((at) => at > boundAt + noticeMilliseconds).length,
      lateSoundShare: lateSound.length === 0 ? 1 : lateSound.filter(({ isServed }) => isServed).length / lateSound.length,
      crashesUntilQuarantine,
      soundRefusals,
      lateSoundRefusals,
      soundCompletions
    }
  }

  private get crashes (): number {
    return this.crashedAt.length
  }

  private arriveEvery (meanMilliseconds: number, from: number, until: number, run: () => void): void {
    const at = from - Math.log(1 - this.random.next()) * meanMilliseconds
    if (at > until) return
    this.schedule(at, () => {
      run()
      this.arriveEvery(meanMilliseconds, at, until, run)
    })
  }

  private soundRequest (): ModelRequest {
    const index = Math.floor(this.random.next() ** 2 * this.options.sharedParts)
    return this.request([`first-${this.requests % firstParts}`, `shared-${index}`], false)
  }

  private crashingRequest (): ModelRequest {
    return this.request([`first-${this.requests % firstParts}`, crashingPart], true)
  }

  private request (parts: readonly string[], isCrashing: boolean): ModelRequest {
    this.requests += 1
    const evidence = this.evidences[Math.floor(this.random.next() * this.evidences.length)] ?? new CrashEvidence({ clock: this.clock })
    const record = { at: this.clock.now, isServed: false }
    if (!isCrashing) this.sound.push(record)
    const { commonParts = 0, ownParts = 0 } = this.options
    const all: readonly string[] = [...names(commonParts, 'common'), ...parts, ...names(ownParts, `own-${this.requests}`)]
    return { service, digest: `d${this.requests}`, parts: all as readonly PromptPartId[], isCrashing, evidence, attemptsLeft: maximumAttempts, record: isCrashing ? undefined : record }
  }

  private send (request: ModelRequest): void {
    if (request.evidence.quarantineOf(request, () => request.digest) !== undefined) {
      if (!request.isCrashing) this.soundRefusals += 1
      if (!request.isCrashing && this.clock.now > this.lastCrashAt + lateMilliseconds) this.lateSoundRefusals += 1
      return
    }
    const up = this.upstreams.filter(({ isUp }) => isUp)
    const upstream = up[Math.floor(this.random.next() * up.length)]
    if (upstream === undefined || request.attemptsLeft === 0) return
    request.attemptsLeft -= 1
    upstream.inFlight.add(request)
    if (request.isCrashing) this.crashingSentAt.push(this.clock.now)
    const milliseconds = request.isCrashing ? this.random.next() * beginMilliseconds : soundMilliseconds * (0.5 + this.random.next())
    this.schedule(this.clock.now + milliseconds, () => {
      if (!upstream.inFlight.has(request)) return
      if (request.isCrashing) return this.crash(upstream)
      upstream.inFlight.delete(request)
      this.soundCompletions += 1
      if (request.record !== undefined) request.record.isServed = true
      request.evidence.recordCompletion(request, () => request.digest)
      this.tell(request.evidence)
    })
  }

  private crash (upstream: ModelUpstream): void {
    this.crashedAt.push(this.clock.now)
    this.lastCrashAt = this.clock.now
    upstream.isUp = false
    const broken = [...upstream.inFlight]
    upstream.inFlight.clear()
    const at = this.clock.now
    this.schedule(at + observationMilliseconds, () => this.observe(upstream, at, broken))
    this.schedule(at + restartMilliseconds, () => { upstream.isUp = true })
    for (const request of broken) {
      const mustHold = this.options.holdMilliseconds > 0 && request.evidence.hasUnprovenPart(request)
      if (mustHold) this.schedule(at + this.options.holdMilliseconds, () => this.send(request))
      else this.send(request)
    }
  }

  /** Each VM records the requests that it had at the crashed upstream. */
  private observe (upstream: ModelUpstream, at: number, broken: readonly ModelRequest[]): void {
    for (const [evidence, requests] of groupBy(broken, (request) => request.evidence)) {
      evidence.recordCrash({ id: `o${this.crashes} ${at} ${this.evidences.indexOf(evidence)}`, upstream: toUpstreamId(upstream.name), service, at, requests })
      this.tell(evidence)
    }
  }

  private tell (evidence: CrashEvidence): void {
    if (!evidence.hasNews) return
    const { observations, completions } = evidence.takeNews()
    this.schedule(this.clock.now + this.options.newsMilliseconds, () => {
      for (const other of this.evidences) {
        if (other === evidence) continue
        for (const completion of completions) other.recordReportedCompletion(completion)
        for (const observation of observations) other.recordCrash(observation)
        // What others told is known to all; only completions that this VM adds are news.
        const added = other.takeNews().completions.filter(({ part }) => !completions.some((told) => told.part === part))
        this.tellCompletions(other, added)
      }
    })
  }

  private tellCompletions (from: CrashEvidence, completions: readonly PartCompletion[]): void {
    if (completions.length === 0) return
    this.schedule(this.clock.now + this.options.newsMilliseconds, () => {
      for (const other of this.evidences) {
        if (other === from) continue
        for (const completion of completions) other.recordReportedCompletion(completion)
        other.takeNews()
      }
    })
  }

  private schedule (at: number, run: () => void): void {
    let low = 0
    let high = this.events.length
    while (low < high) {
      const middle = (low + high) >> 1
      if ((this.events[middle]?.at ?? 0) > at) low = middle + 1
      else high = middle
    }
    this.events.splice(low, 0, { at, run })
  }

  private takeEvent (): ModelEvent | undefined {
    return this.events.pop()
  }
}

export const playCrashModel = (options: CrashModelOptions): CrashModelOutcome => new CrashModel(options).play()
