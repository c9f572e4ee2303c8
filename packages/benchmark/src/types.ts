/**
 * What the benchmark's processes tell each other, one JSON line each.
 */

export const LoadKind = {
  /** Short answers, as many as the subject can take. */
  Small: 'small',
  /** Streams of events, as many as the subject can take. */
  Streamed: 'streamed',
  /** Streams opened at a fixed rate, for the time to the first byte. */
  FirstByte: 'first-byte'
} as const

export type LoadKind = typeof LoadKind[keyof typeof LoadKind]

export interface LoadPlan {
  readonly kind: LoadKind
  readonly origin: string
  readonly key: string
  readonly connections: number
  readonly durationMilliseconds: number
  /** Arrivals a second, for `first-byte`. */
  readonly ratePerSecond: number
}

export interface LoadResult {
  readonly completed: number
  readonly failed: number
  readonly elapsedMilliseconds: number
  readonly firstByteMilliseconds: readonly number[]
}

/** Printed by a server process once it listens. */
export interface ListeningLine {
  readonly port: number
}
