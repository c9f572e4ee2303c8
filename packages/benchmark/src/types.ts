/**
 * Messages between the benchmark's processes, each one line of JSON.
 */

export const LoadKind = {
  /** Short responses; each connection sends its next request when the last one ends. */
  Small: 'small',
  /** Event streams; each connection sends its next request when the last one ends. */
  Streamed: 'streamed',
  /** Streams opened at a fixed rate, to measure the time to the first byte. */
  FirstByte: 'first-byte'
} as const

export type LoadKind = typeof LoadKind[keyof typeof LoadKind]

export interface LoadPlan {
  readonly kind: LoadKind
  readonly origin: string
  readonly key: string
  readonly connections: number
  readonly durationMilliseconds: number
  /** Requests per second; used for `first-byte` only. */
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
