/**
 * Helpers of the capacity probes: they measure processor time and live heap,
 * compute the size of a message on the wire, and extrapolate samples.
 */

import { fitLine, valueAt } from './linearFit.js'
import type { CapacityFits, CapacityRow, CapacitySample } from './capacityProbe.js'

const kilobytes = 1_000
const megabytes = 1_000_000

/** Headers of IPv4 (20), of TCP with timestamps (32), and of a masked WebSocket frame with a short payload (6). */
const frameHeaderBytes = 20 + 32 + 6

export const bytesOfFrame = (payloadBytes: number): number => payloadBytes + frameHeaderBytes

/** Runs the work and returns its processor time, user and system, in microseconds. */
export const processorShare = (work: () => void): number => {
  const before = process.cpuUsage()
  work()
  const spent = process.cpuUsage(before)
  return spent.user + spent.system
}

const liveHeap = (): number => {
  const collect = globalThis.gc
  if (collect === undefined) throw new Error('measuring the live heap requires node --expose-gc')
  collect()
  collect()
  return process.memoryUsage().heapUsed
}

/** Builds a value and returns it with the live heap that it adds, in bytes. Holding the value keeps it from collection. */
export const measureHeap = <Held>(build: () => Held): { readonly bytes: number, readonly held: Held } => {
  const before = liveHeap()
  const held = build()
  return { bytes: Math.max(0, liveHeap() - before), held }
}

const microsecondsPerCorePercent = 10_000

const fitOf = (samples: readonly CapacitySample[], field: keyof CapacityFits) =>
  fitLine(samples.map((sample) => ({ x: sample.size, y: sample[field] })))

export interface RowOptions {
  readonly mechanism: string
  readonly carriedBy: string
  readonly samples: readonly CapacitySample[]
  /** Size to extrapolate to, in the unit of the samples. */
  readonly size: number
}

/** Extrapolates the samples linearly to the given size. */
export const capacityRowOf = ({ mechanism, carriedBy, samples, size }: RowOptions): CapacityRow => {
  const fits: CapacityFits = {
    stateBytes: fitOf(samples, 'stateBytes'),
    bytesPerSecond: fitOf(samples, 'bytesPerSecond'),
    processorMicrosecondsPerSecond: fitOf(samples, 'processorMicrosecondsPerSecond')
  }
  return {
    mechanism,
    perNodeCorePercent: valueAt(fits.processorMicrosecondsPerSecond, size) / microsecondsPerCorePercent,
    perNodeMegabytes: valueAt(fits.stateBytes, size) / megabytes,
    perNodeKilobytesPerSecond: valueAt(fits.bytesPerSecond, size) / kilobytes,
    carriedBy,
    samples,
    fits
  }
}
