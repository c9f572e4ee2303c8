/**
 * Detects what crashes upstreams, in the gateway process: single requests, and
 * parts of prompts that requests share. A connection that breaks during a
 * request proves nothing by itself. If the upstream then refuses a new
 * connection, the requests whose connections broke there become evidence.
 */

import { connect } from 'node:net'
import { RefusalReason, refuse, toTeamId } from '@cuminvale/common'
import { digestRequest } from '@cuminvale/routing'
import { CrashEvidence, SuspectKind } from '@cuminvale/serving'
import type { Clock, Refusal, UpstreamId } from '@cuminvale/common'
import type { AdmittedRequest, AnnouncedUpstream, EvidenceRequest, PromptPartId, Quarantine } from '@cuminvale/serving'

export interface CrashDetectorOptions {
  readonly clock: Clock
  /** Names this run of the VM among all VMs. */
  readonly source: string
  /** Whether the upstream refuses a connection; called once after connections to it have broken. */
  readonly isRefusing: (upstream: AnnouncedUpstream) => Promise<boolean>
  /** Called with an upstream that has crashed, and the number of requests whose connections broke. */
  readonly onCrash: (upstream: AnnouncedUpstream, requests: number) => void
  readonly onQuarantined?: (quarantine: Quarantine) => void
  readonly onReleased?: (quarantine: Quarantine) => void
  readonly onRefusal?: (kind: SuspectKind) => void
}

interface BrokenUpstream {
  readonly upstream: AnnouncedUpstream
  readonly at: number
  readonly requests: EvidenceRequest[]
}

/** Delay before the probe. A crashed upstream refuses connections at once, and a busy one may accept them late. */
const probeDelayMilliseconds = 60
const probeTimeoutMilliseconds = 400
/** Length that tells digests apart; the whole of them would be most of a message. */
const digestLength = 16
const noBody = Buffer.alloc(0)

/** Whether an upstream refuses connections. One that gives no answer may be paused or cut off. */
export const probeRefusal = async ({ host, port }: AnnouncedUpstream): Promise<boolean> => await new Promise((resolve) => {
  const socket = connect({ host, port, timeout: probeTimeoutMilliseconds })
  const finish = (isRefusing: boolean): void => {
    socket.destroy()
    resolve(isRefusing)
  }
  socket.once('connect', () => finish(false))
  socket.once('timeout', () => finish(false))
  socket.once('error', ({ code }: NodeJS.ErrnoException) => finish(code === 'ECONNREFUSED'))
})

export class CrashDetector {
  readonly evidence: CrashEvidence
  /** Called when there is evidence to tell other VMs. */
  onNews: () => void = () => { /* no links yet */ }
  private observations = 0
  /** Upstreams at which connections broke, until they have been probed. */
  private readonly broken = new Map<UpstreamId, BrokenUpstream>()

  constructor (private readonly options: CrashDetectorOptions) {
    this.evidence = new CrashEvidence(options)
  }

  /** Refusal for a request that is quarantined, or has a part that is; undefined if it may be sent. */
  refusalOf (request: AdmittedRequest, body: Buffer | null): Refusal | undefined {
    if (this.evidence.quarantinedCount === 0) return undefined
    const quarantine = this.evidence.quarantineOf({ service: request.service, parts: sharedPartsOf(request) }, () => digestOf(request, body))
    if (quarantine === undefined) return undefined
    this.options.onRefusal?.(quarantine.kind)
    return refuse(RefusalReason.CrashSuspect, describe(quarantine), { retryAfterMilliseconds: quarantine.remainingMilliseconds })
  }

  /** Whether a request that broke off should be sent again only once the crash, if it was one, is known: no upstream is known to have completed one with all of its parts. */
  mustHoldRetry (request: AdmittedRequest): boolean {
    return this.evidence.hasUnprovenPart({ service: request.service, parts: sharedPartsOf(request) })
  }

  /** Records that the connection broke during a request, and schedules a probe of the upstream. */
  recordBrokenConnection (request: AdmittedRequest, body: Buffer | null, upstream: AnnouncedUpstream): void {
    const entry = { service: request.service, digest: digestOf(request, body), parts: sharedPartsOf(request) }
    const known = this.broken.get(upstream.id)
    if (known !== undefined) {
      known.requests.push(entry)
      return
    }
    this.broken.set(upstream.id, { upstream, at: this.options.clock.monotonic(), requests: [entry] })
    setTimeout(() => {
      this.options.isRefusing(upstream).then((isRefusing) => this.handleProbeResult(upstream.id, isRefusing), () => this.handleProbeResult(upstream.id, false))
    }, probeDelayMilliseconds)
  }

  /**
   * Records that an answer ended whole. Only one with success shows that an
   * upstream got through the parts of the prompt, and one that reports a failure
   * of the upstream shows nothing: it may have come before the run.
   */
  recordCompletion (request: AdmittedRequest, body: Buffer | null, { status }: { readonly status: number }): void {
    if (status >= 500) return
    const isSuccess = status >= 200 && status < 300
    this.evidence.recordCompletion({ service: request.service, parts: isSuccess ? sharedPartsOf(request) : [] }, () => digestOf(request, body))
    this.onNews()
  }

  private handleProbeResult (id: UpstreamId, isCrashed: boolean): void {
    const broken = this.broken.get(id)
    this.broken.delete(id)
    if (!isCrashed || broken === undefined) return
    const { upstream, at, requests } = broken
    this.options.onCrash(upstream, requests.length)
    this.observations += 1
    this.evidence.recordCrash({ id: `${this.options.source} ${this.observations}`, upstream: id, service: upstream.service, at, requests })
    this.onNews()
  }
}

/** The last part of a prompt belongs to the request itself. */
const sharedPartsOf = ({ head }: AdmittedRequest): readonly PromptPartId[] => head.parts.slice(0, -1).map(({ id }) => id)

const digestOf = ({ team, route, head }: AdmittedRequest, body: Buffer | null): string =>
  digestRequest({ team: team?.id ?? toTeamId(''), route: route.name, target: `${head.method} ${head.path}`, body: body ?? noBody }).slice(0, digestLength)

const describe = ({ kind, id, crashes, ageMilliseconds }: Quarantine): string =>
  `${crashes} upstreams crashed with ${kind === SuspectKind.Part ? 'part' : 'request'} ${id}, the last ${(ageMilliseconds / 1_000).toFixed(1)} s ago`
