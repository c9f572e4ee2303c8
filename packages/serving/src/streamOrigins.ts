/**
 * Which software version each recent stream began at, at this VM or another
 * one. Streams are known by a short digest of the attempt that began them. A
 * stream that two reports name with different versions has none that is known.
 */

import { hash } from 'node:crypto'
import type { Brand, Clock, TeamId } from '@cuminvale/common'
import type { AttemptId, ServiceName, SoftwareVersion } from './types.js'

/** Digest of 48 bits of the team and the attempt, so that no team finds the stream of another one. */
export type StreamKey = Brand<number, 'StreamKey'>

/** The service and the software version of the upstream that made the first event of a stream. */
export interface StreamOrigin {
  readonly service: ServiceName
  readonly softwareVersion: SoftwareVersion
}

export const streamKeyBytes = 6
/** Time for which a stream is known at least; more than the longest time that callers wait for one. */
export const streamMemoryMilliseconds = 30_000
/** Streams of one such time; beyond it, the oldest are forgotten. */
const maximumStreamCount = 100_000

export const streamKeyOf = (team: TeamId | undefined, attempt: AttemptId): StreamKey =>
  Number.parseInt(hash('sha1', `${team ?? ''}\n${attempt}`, 'hex').slice(0, 2 * streamKeyBytes), 16) as StreamKey

const isSame = (first: StreamOrigin, second: StreamOrigin): boolean =>
  first.service === second.service && first.softwareVersion === second.softwareVersion

/** Stands for a stream with contradicting reports. */
const contradicted = Symbol('contradicted')
type KnownOrigin = StreamOrigin | typeof contradicted

export class StreamOrigins {
  private newer = new Map<StreamKey, KnownOrigin>()
  private older: ReadonlyMap<StreamKey, KnownOrigin> = new Map()
  private newerSince: number

  constructor (private readonly clock: Clock) {
    this.newerSince = clock.monotonic()
  }

  /** Undefined if the stream isn't known, or if its reports contradict each other. */
  find (key: StreamKey): StreamOrigin | undefined {
    const origin = this.lookUp(key)
    return origin === contradicted ? undefined : origin
  }

  /** Records the origin of a stream; false if that was known already. */
  record (key: StreamKey, origin: StreamOrigin): boolean {
    this.rotate()
    const known = this.lookUp(key)
    if (known === contradicted || (known !== undefined && isSame(known, origin))) return false
    this.newer.set(key, known === undefined ? origin : contradicted)
    return known === undefined
  }

  private lookUp (key: StreamKey): KnownOrigin | undefined {
    return this.newer.get(key) ?? this.older.get(key)
  }

  private rotate (): void {
    const now = this.clock.monotonic()
    if (now - this.newerSince < streamMemoryMilliseconds && this.newer.size < maximumStreamCount) return
    this.older = this.newer
    this.newer = new Map()
    this.newerSince = now
  }
}
