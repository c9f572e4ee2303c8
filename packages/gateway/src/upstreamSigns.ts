/**
 * What this VM sees of upstreams that end, fall silent, can't be reached or are
 * back: each sign is told to the parts that decide by it.
 */

import { acceptsConnections } from './upstreamReach.js'
import { probeRefusal } from './crashDetector.js'
import { StartSign } from '@cuminvale/serving'
import { requestSilenceTimeoutMilliseconds } from './constants.js'
import type { Clock, UpstreamId } from '@cuminvale/common'
import type { Log } from '@cuminvale/logs'
import type { AnnouncedUpstream, UpstreamState, UpstreamTable } from '@cuminvale/serving'
import type { LocalAttempt } from './attempts.js'
import type { UpstreamReach } from './upstreamReach.js'
import type { UpstreamStarts } from './upstreamStarts.js'

export interface UpstreamSignsOptions {
  readonly clock: Clock
  readonly log: Log
  readonly upstreams: UpstreamTable
  readonly reach: UpstreamReach
  readonly starts: UpstreamStarts
  /** Whether an upstream is one of this VM's region. */
  readonly isHere: (upstream: AnnouncedUpstream) => boolean
}

/** Time without any answer from an upstream after which a connection that breaks may show an end long before. */
const quietMilliseconds = 250
/** Time since an answer in which an upstream counts as reached, though it takes no new connection. */
const recentAnswerMilliseconds = 500
/** Upstreams that are dialled to tell a crash of another one from a cut. */
const maximumDialledUpstreams = 3

export class UpstreamSigns {
  constructor (private readonly options: UpstreamSignsOptions) {}

  /** Records that this VM stood still: upstreams may have started anew meanwhile, and messages from before may arrive now. */
  standstill (): void {
    for (const { startDoubt } of this.options.upstreams.all) startDoubt.raise()
    this.options.starts.suspectAll(StartSign.Missed)
  }

  /** Records that a connection to an upstream broke during a request that was sent at the given time. */
  connectionBroke (upstream: UpstreamState, sentAt: number): void {
    upstream.failed()
    // It may have ended before, and be back.
    if (this.options.clock.monotonic() - Math.max(sentAt, upstream.lastAnswerAt) > quietMilliseconds) upstream.startDoubt.raise()
  }

  /** Records that an upstream refused a connection after requests broke there. */
  died ({ id }: AnnouncedUpstream, requests: number): void {
    const upstream = this.options.upstreams.find(id)
    this.options.log.warn('upstream-died', { upstream: id, requests, answered: upstream?.answerAgeMilliseconds })
    if (upstream === undefined) return
    upstream.startDoubt.raise()
    this.options.starts.suspect(upstream, StartSign.Lost)
  }

  /** Records that a connection to an upstream was lost, or that none is left on which its end would show. */
  connectionEnded (id: UpstreamId, sign: StartSign): void {
    const upstream = this.options.upstreams.find(id)
    if (upstream !== undefined) this.options.starts.suspect(upstream, sign)
  }

  /** Ejects the upstream of an attempt if it answered nothing at all for too long, whatever becomes of the request. */
  noticeSilence ({ upstream, sentAt, predictedMilliseconds }: LocalAttempt, now: number): void {
    if (upstream.needsTrial || upstream.lastAnswerAt > sentAt || now - sentAt <= requestSilenceTimeoutMilliseconds + predictedMilliseconds) return
    upstream.fellSilent()
    this.options.starts.suspect(upstream, StartSign.Lost)
    this.options.reach.doubtOthers()
    this.options.log.warn('upstream-silent', { upstream: upstream.announced.id, service: upstream.announced.service })
    acceptsConnections(upstream.announced).then((isAccepted) => { if (!isAccepted) this.unreachable(upstream) }, () => { /* not decided */ })
  }

  /** Whether an upstream ended: it refuses connections, and not all others of the region are out of reach too, which would be a fault of this VM's own links. */
  async hasEnded (upstream: AnnouncedUpstream): Promise<boolean> {
    if (!await probeRefusal(upstream)) return false
    const others = [...this.options.upstreams.all].map(({ announced }) => announced).filter((other) => other.id !== upstream.id && this.options.isHere(other))
    if (others.length === 0) return true
    const accepted = await Promise.all(others.slice(0, maximumDialledUpstreams).map(async (other) => await acceptsConnections(other)))
    return accepted.includes(true)
  }

  /** Records that no connection to an upstream could be made. */
  unreachable (upstream: UpstreamState): void {
    const { clock, log, reach } = this.options
    upstream.startDoubt.raise()
    this.options.starts.suspect(upstream, StartSign.Lost)
    // As much as the failures that eject an upstream.
    upstream.failed(3)
    // One that answers on other connections takes no more of them for now.
    if (clock.monotonic() - upstream.lastAnswerAt <= recentAnswerMilliseconds) return
    if (upstream.unreachedSince === undefined) log.warn('upstream-lost', { upstream: upstream.announced.id, service: upstream.announced.service, answered: upstream.answerAgeMilliseconds })
    reach.recordUnreached(upstream)
  }

  /** Records an answer of an upstream to a request that was sent at the given time. */
  reachable (upstream: UpstreamState, sentAt: number): void {
    // A connection from before may have stayed open.
    if (upstream.unreachedSince !== undefined && sentAt > upstream.unreachedSince) this.regained(upstream)
  }

  /** Records that an upstream is reached again. It may have restarted, and then counts as cold, unless other VMs of the region reached it all the time. */
  regained (upstream: UpstreamState): void {
    const { log, reach, upstreams } = this.options
    const mayHaveEnded = reach.mayHaveEnded(upstream)
    upstream.readmit()
    if (mayHaveEnded) upstreams.markReturned(upstream)
    else this.options.starts.suspect(upstream, StartSign.Missed)
    log.info('upstream-regained', { upstream: upstream.announced.id, service: upstream.announced.service, mayHaveEnded })
  }
}
